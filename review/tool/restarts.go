//go:build review

package main

import "time"

func init() { cases["restarts"] = restarts }

// restarts: single servers crash one after the other, and each is back at its address under a new id while its old
// entry has not expired yet.
func restarts(w *world, trouble bool) string {
	const (
		between   = 700 * time.Millisecond
		down      = 2 * time.Second // reuse-after-s; three of twelve servers are down at once
		heartbeat = 1200 * time.Millisecond
		silence   = 3 * heartbeat   // after which the entry of a crashed server is removed
		cold      = 3 * time.Second // the servers are slow for so long after a start, and say so in their entries
	)
	return queries(w, 3*zones, 14, func(list []*server) {
		for _, s := range list {
			time.Sleep(between)
			if !trouble {
				continue
			}
			old, address := s.id, s.address
			logf("TROUBLE server %s crashes", old)
			s.crash()
			time.AfterFunc(silence, func() { w.store.Delete("servers/" + old) })
			time.AfterFunc(down, func() {
				s.startAt(w, address)
				logf("the server at %s is back as %s", address, s.id)
				for left := cold; left > 0; left -= heartbeat {
					s.put(w, left)
					time.Sleep(heartbeat)
				}
				s.put(w, 0)
			})
		}
		time.Sleep(silence)
	})
}
