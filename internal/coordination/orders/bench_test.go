package orders

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkBeginToFinish measures one order at its owner, from the issue of the ticket to
// the stored response of 256 bytes, while the given number of outcomes is retained. It also
// reports the heap bytes per retained ticket.
func BenchmarkBeginToFinish(b *testing.B) {
	for _, retained := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("retained=", retained), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := newBenchLedger(b, retained)
			for range retained {
				l.completeStandardOrder()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				l.completeStandardOrder()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(retained), "heap-B/ticket")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkWitness measures an intent and its outcome without a response. It also reports
// the heap bytes per record with 65,536 retained records.
func BenchmarkWitness(b *testing.B) {
	l := newBenchLedger(b, 1000)
	tickets := make([]Ticket, DefaultMaxWitnessRecords)
	for i := range tickets {
		tickets[i] = l.issue(l.witness)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := NewWitness(WitnessOptions{Self: l.witness.Incarnation})
	record := func(t Ticket) {
		w.RecordIntent(0, t, BodyHash{1})
		w.RecordOutcome(0, t, BodyHash{1}, Outcome{Kind: NotRun})
	}
	for _, t := range tickets {
		record(t)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		record(l.issue(l.witness))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(tickets)), "heap-B/record")
	runtime.KeepAlive(tickets)
	runtime.KeepAlive(w)
}

// BenchmarkTicket measures issuing a ticket and parsing its text form.
func BenchmarkTicket(b *testing.B) {
	l := newBenchLedger(b, 1000)
	text := l.issue(l.witness).String()
	b.Run("issue", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			l.issue(l.witness)
		}
	})
	b.Run("parse", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := l.options.Keys.ParseText(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

type benchLedger struct{ testLedger }

// newBenchLedger returns a ledger whose tickets are distributed over all shards.
func newBenchLedger(b *testing.B, retained int) benchLedger {
	l := newTestLedger(b, LedgerOptions{MaxOutcomes: retained, MaxResponseBytes: 1 << 30})
	l.options.Random = newSimulation(7, 0, instanceLimits{}).idSource
	return benchLedger{l}
}

func (l benchLedger) completeStandardOrder() {
	l.completeOrder(0, Response{Status: 200, ContentType: "application/json", Body: make([]byte, 256)})
}
