package orders

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkBeginToFinish measures one order at its owner, from the issue of the ticket to
// the stored answer of 256 bytes, while the given number of outcomes is retained. It also
// reports the heap for each retained ticket.
func BenchmarkBeginToFinish(b *testing.B) {
	for _, retained := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("retained=", retained), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := newBenchLedger(b, retained)
			for range retained {
				l.order()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				l.order()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(retained), "heap-B/ticket")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkWitness measures an intent and its outcome without an answer. It also reports
// the heap for each of 65,536 retained records.
func BenchmarkWitness(b *testing.B) {
	l := newBenchLedger(b, 1000)
	tickets := make([]Ticket, DefaultWitnessRecords)
	for i := range tickets {
		tickets[i] = l.issue(l.witness)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := NewWitness(WitnessOptions{Self: l.witness.Incarnation})
	record := func(t Ticket) {
		w.Intent(0, t, BodyHash{1})
		w.Outcome(0, t, BodyHash{1}, Outcome{Kind: NotRun})
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

// BenchmarkTicket measures the forms of a ticket.
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

// newBenchLedger returns a ledger whose tickets spread over all shards.
func newBenchLedger(b *testing.B, retained int) benchLedger {
	l := newTestLedger(b, LedgerOptions{Outcomes: retained, Answers: 1 << 30})
	l.options.Random = newWorld(7, 0, bounds{}).random
	return benchLedger{l}
}

func (l benchLedger) order() {
	l.done(0, Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 256)})
}
