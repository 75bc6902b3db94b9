//go:build review

package main

import "time"

func init() { cases["refused"] = refused }

// refused: the servers of one zone crash together while the same question of a tenant is answered at both.
func refused(w *world, trouble bool) string {
	return queries(w, 2*zones, 12, func(list []*server) {
		if trouble {
			zone := -1
			for deadline := time.Now().Add(20 * time.Second); zone < 0 && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
				for z := range zones {
					if list[z].inFlightOf("/query/") > 0 && list[z+zones].inFlightOf("/query/") > 0 {
						zone = z
					}
				}
			}
			if zone < 0 {
				die("no zone has a query at both of its servers")
			}
			logf("TROUBLE the servers of zone-%d crash: %s %s", zone, list[zone].id, list[zone+zones].id)
			old := []string{list[zone].id, list[zone+zones].id}
			list[zone].crash()
			list[zone+zones].crash()
			time.AfterFunc(3600*time.Millisecond, func() { // three heartbeats of silence
				for _, id := range old {
					w.store.Delete("servers/" + id)
				}
			})
			time.Sleep(4300 * time.Millisecond)
			list[zone].start(w)
			list[zone+zones].start(w)
			logf("the servers are back")
		} else {
			time.Sleep(4300 * time.Millisecond)
		}
	})
}
