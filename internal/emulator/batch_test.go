package emulator

import (
	"bytes"
	"testing"
	"time"
)

func newTestJob(tier, promptTokens, outputTokens int) *job {
	return &job{tier: tier, promptTokens: promptTokens, outputTokens: outputTokens, queueIndex: -1}
}

// Requests must wait while the slots or the token budget are used up, and be admitted by
// tier.
func TestBatchAdmitsByTierWithinBudgets(t *testing.T) {
	b := newBatch(Performance{Slots: 2, TokenBudget: 100}.withDefaults())
	low, high, large := newTestJob(3, 10, 5), newTestJob(1, 10, 5), newTestJob(2, 200, 5)
	first := newTestJob(3, 10, 5)
	for _, j := range []*job{first, low, large, high} {
		b.add(j)
	}
	b.beginIteration()
	if !high.running || large.running || len(b.running) != 1 {
		t.Fatalf("running %d, want the highest tier alone before the request that exceeds the budget", len(b.running))
	}
	b.remove(high)
	b.beginIteration()
	if !large.running || low.running {
		t.Error("a request above the budget must run alone")
	}
	b.remove(large)
	b.beginIteration()
	if !first.running || !low.running || b.tokensInUse != 30 {
		t.Errorf("token budget in use %d, want 30", b.tokensInUse)
	}
}

// Iterations must get slower above FullSpeedBatch, and the prefill time must be
// proportional to the length of the prompt.
func TestBatchTimes(t *testing.T) {
	m := Performance{Slots: 4, PrefillPerToken: time.Millisecond, PrefillChunk: 8, DecodeInterval: 10 * time.Millisecond, FullSpeedBatch: 2, Slowdown: 1}.withDefaults()
	b := newBatch(m)
	b.add(newTestJob(1, 12, 2))
	for i, want := range []time.Duration{8, 4, 10, 0} {
		if d, _ := b.beginIteration(); d != want*time.Millisecond {
			t.Fatalf("iteration %d takes %v, want %d ms", i, d, want)
		}
		b.endIteration()
	}
	for n, want := range []time.Duration{0, 10, 10, 15, 20} {
		if d := m.decodeTime(n); d != want*time.Millisecond {
			t.Errorf("interval of %d is %v, want %d ms", n, d, want)
		}
	}
}

// A cached prefix must shorten the prefill, and the cache must stay within its limit.
func TestPrefixCache(t *testing.T) {
	prompt := bytes.Repeat([]byte("abcd"), 4*blockTokens)
	prompt[len(prompt)-1] = 'x'
	blocks := prefixBlocks(prompt)
	other := prefixBlocks(append([]byte("y"), prompt...))
	c := newPrefixCache(6)
	for i, step := range []struct {
		blocks []uint64
		want   int
	}{{blocks, 0}, {blocks, 4}, {blocks[:2], 2}, {other, 0}, {blocks, 2}} {
		if hits := c.lookupAndStore(step.blocks); hits != step.want || c.order.Len() > 6 {
			t.Errorf("step %d: %d blocks cached of %d, want %d", i, hits, c.order.Len(), step.want)
		}
	}
	b := newBatch(Performance{}.withDefaults())
	for i, want := range []int{64, 1} {
		j := newTestJob(1, 64, 1)
		j.prefixBlocks = blocks
		b.add(j)
		if b.beginIteration(); j.prefillLeft != want {
			t.Errorf("prefill %d of %d tokens, want %d", i, j.prefillLeft, want)
		}
		b.remove(j)
	}
}
