// Package quarantine is a placeholder until the decisions land.
package quarantine

import "time"

type Fingerprint uint64
type Verdict int

const (
	Clear Verdict = iota
	Suspect
	Refuse
)

type CrashID struct{ Upstream, Incarnation string }
type Suspicion struct{ Fingerprint Fingerprint }
type Quarantine struct{}

func New() *Quarantine                                                          { return &Quarantine{} }
func (q *Quarantine) Check(now time.Duration, f Fingerprint) Verdict            { return Clear }
func (q *Quarantine) Started(now time.Duration, f Fingerprint, upstream string) {}
func (q *Quarantine) Finished(now time.Duration, f Fingerprint, upstream string, ok bool) []Suspicion {
	return nil
}
func (q *Quarantine) Crashed(now time.Duration, c CrashID) []Suspicion { return nil }
func (q *Quarantine) Merge(now time.Duration, s []Suspicion)           {}
