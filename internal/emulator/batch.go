package emulator

import (
	"container/heap"
	"slices"
	"time"
)

// job is one generation in the batch model.
type job struct {
	tier      int
	seq       uint64
	prompt    int
	output    int
	blocks    []uint64
	prefill   int // prompt tokens that are still to be processed
	share     int // prompt tokens processed in the current iteration
	generated int
	running   bool
	index     int // position in the waiting queue, -1 outside
	stream    *stream
}

// waitQueue orders waiting jobs by tier and then by arrival.
type waitQueue []*job

// Len is part of heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	if q[i].tier != q[j].tier {
		return q[i].tier < q[j].tier
	}
	return q[i].seq < q[j].seq
}

// Swap is part of heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is part of heap.Interface.
func (q *waitQueue) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop is part of heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	j.index = -1
	return j
}

// batch is the continuous batching model. It holds no clock: plan returns how long
// the next iteration takes and commit applies its result.
type batch struct {
	model   Model
	waiting waitQueue
	running []*job
	tokens  int // token budget in use
	seq     uint64
	cache   *prefixCache
}

func newBatch(m Model) *batch {
	return &batch{model: m, cache: newPrefixCache(m.CacheTokens / blockTokens)}
}

// add queues a job. A job that has generated tokens before (a resumed one)
// processes these again as part of its prompt.
func (b *batch) add(j *job) {
	b.seq++
	j.seq = b.seq
	heap.Push(&b.waiting, j)
}

// remove takes a job out, whatever its state.
func (b *batch) remove(j *job) {
	switch {
	case j.running:
		j.running = false
		b.tokens -= j.size()
		b.running = slices.DeleteFunc(b.running, func(x *job) bool { return x == j })
	case j.index >= 0:
		heap.Remove(&b.waiting, j.index)
	}
}

// size is the share of the token budget that the job takes for its whole run. The
// model knows the output length in advance, so a running job is never evicted.
func (j *job) size() int { return j.prompt + j.output }

// admit moves waiting jobs into the batch, highest tier first. A job larger than
// the whole token budget runs when the batch is empty.
func (b *batch) admit() []*job {
	var admitted []*job
	for len(b.waiting) > 0 && len(b.running) < b.model.Slots {
		j := b.waiting[0]
		if len(b.running) > 0 && b.tokens+j.size() > b.model.TokenBudget {
			break
		}
		heap.Pop(&b.waiting)
		cached := b.cache.use(j.blocks) * blockTokens
		// At least one token is computed: the first output token needs it.
		j.prefill = max(1, j.prompt+j.generated-cached)
		j.running = true
		b.tokens += j.size()
		b.running = append(b.running, j)
		admitted = append(admitted, j)
	}
	return admitted
}

// plan admits jobs and returns the duration of the next iteration; it is zero when
// there is nothing to do.
func (b *batch) plan() (time.Duration, []*job) {
	admitted := b.admit()
	budget, decoding := b.model.PrefillChunk, 0
	for _, j := range b.running {
		if j.prefill == 0 {
			decoding++
			continue
		}
		j.share = min(j.prefill, budget)
		budget -= j.share
	}
	d := time.Duration(b.model.PrefillChunk-budget) * b.model.PrefillPerToken
	return d + b.model.interval(decoding), admitted
}

// commit ends the iteration and returns the jobs that gained a token.
func (b *batch) commit() []*job {
	var progressed []*job
	for _, j := range b.running {
		if j.prefill > 0 {
			j.prefill -= j.share
			j.share = 0
			if j.prefill > 0 {
				continue
			}
		}
		j.generated++
		progressed = append(progressed, j)
	}
	for _, j := range progressed {
		if j.generated >= j.output {
			b.remove(j)
		}
	}
	return progressed
}
