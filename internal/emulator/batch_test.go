package emulator

import (
	"bytes"
	"testing"
	"time"
)

func testJob(tier, prompt, output int) *job {
	return &job{tier: tier, prompt: prompt, output: output, index: -1}
}

// Full slots and a full token budget must hold requests back, highest tier first.
func TestBatchAdmitsByTierWithinBudgets(t *testing.T) {
	b := newBatch(Model{Slots: 2, TokenBudget: 100}.withDefaults())
	low, high, large := testJob(3, 10, 5), testJob(1, 10, 5), testJob(2, 200, 5)
	first := testJob(3, 10, 5)
	for _, j := range []*job{first, low, large, high} {
		b.add(j)
	}
	b.plan()
	if !high.running || large.running || len(b.running) != 1 {
		t.Fatalf("running %d, want the highest tier alone before the request that exceeds the budget", len(b.running))
	}
	b.remove(high)
	b.plan()
	if !large.running || low.running {
		t.Error("a request above the budget must run alone")
	}
	b.remove(large)
	b.plan()
	if !first.running || !low.running || b.tokens != 30 {
		t.Errorf("token budget in use %d, want 30", b.tokens)
	}
}

// Iterations must get slower above the comfortable size, and a prefill must cost
// time in proportion to the prompt.
func TestBatchTimes(t *testing.T) {
	m := Model{Slots: 4, PrefillPerToken: time.Millisecond, PrefillChunk: 8, DecodeInterval: 10 * time.Millisecond, Comfortable: 2, Growth: 1}.withDefaults()
	b := newBatch(m)
	b.add(testJob(1, 12, 2))
	for i, want := range []time.Duration{8, 4, 10, 0} {
		if d, _ := b.plan(); d != want*time.Millisecond {
			t.Fatalf("iteration %d takes %v, want %d ms", i, d, want)
		}
		b.commit()
	}
	for n, want := range []time.Duration{0, 10, 10, 15, 20} {
		if d := m.interval(n); d != want*time.Millisecond {
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
		if hit := c.use(step.blocks); hit != step.want || c.order.Len() > 6 {
			t.Errorf("step %d: %d blocks cached of %d, want %d", i, hit, c.order.Len(), step.want)
		}
	}
	b := newBatch(Model{}.withDefaults())
	for i, want := range []int{64, 1} {
		j := testJob(1, 64, 1)
		j.blocks = blocks
		b.add(j)
		if b.plan(); j.prefill != want {
			t.Errorf("prefill %d of %d tokens, want %d", i, j.prefill, want)
		}
		b.remove(j)
	}
}
