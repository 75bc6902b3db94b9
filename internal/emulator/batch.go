package emulator

import (
	"container/heap"
	"slices"
	"time"
)

// job is one generation request in the batching model.
type job struct {
	tier         int
	seq          uint64
	promptTokens int
	outputTokens int
	prefixBlocks []uint64
	prefillLeft  int // prompt tokens still to be processed
	prefillChunk int // prompt tokens processed in the current iteration
	generated    int
	running      bool
	queueIndex   int // position in the waiting queue; -1 if not queued
	stream       *stream
}

// waitQueue orders waiting jobs by tier and then by arrival.
type waitQueue []*job

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	if q[i].tier != q[j].tier {
		return q[i].tier < q[j].tier
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	j := x.(*job)
	j.queueIndex = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	j.queueIndex = -1
	return j
}

// batch models continuous batching. It does not read a clock: beginIteration returns
// the duration of the next iteration and endIteration applies its result.
type batch struct {
	performance Performance
	waiting     waitQueue
	running     []*job
	tokensInUse int // part of the token budget taken by running jobs
	seq         uint64
	cache       *prefixCache
}

func newBatch(p Performance) *batch {
	return &batch{performance: p, cache: newPrefixCache(p.CacheTokens / blockTokens)}
}

// add queues a job. A resumed job processes the tokens it has already generated again
// as part of its prompt.
func (b *batch) add(j *job) {
	b.seq++
	j.seq = b.seq
	heap.Push(&b.waiting, j)
}

// remove removes a job from the batch or from the waiting queue.
func (b *batch) remove(j *job) {
	switch {
	case j.running:
		j.running = false
		b.tokensInUse -= j.totalTokens()
		b.running = slices.DeleteFunc(b.running, func(other *job) bool { return other == j })
	case j.queueIndex >= 0:
		heap.Remove(&b.waiting, j.queueIndex)
	}
}

// totalTokens is the part of the token budget reserved for the job until it ends. The
// model knows the output length in advance, so a running job is never evicted.
func (j *job) totalTokens() int { return j.promptTokens + j.outputTokens }

// admit moves waiting jobs into the batch, the highest tier (lowest number) first. A job
// that exceeds the whole token budget is admitted when the batch is empty.
func (b *batch) admit() []*job {
	var admitted []*job
	for len(b.waiting) > 0 && len(b.running) < b.performance.Slots {
		j := b.waiting[0]
		if len(b.running) > 0 && b.tokensInUse+j.totalTokens() > b.performance.TokenBudget {
			break
		}
		heap.Pop(&b.waiting)
		cached := b.cache.lookupAndStore(j.prefixBlocks) * blockTokens
		// Even a fully cached prompt needs one prompt token processed to produce the
		// first output token.
		j.prefillLeft = max(1, j.promptTokens+j.generated-cached)
		j.running = true
		b.tokensInUse += j.totalTokens()
		b.running = append(b.running, j)
		admitted = append(admitted, j)
	}
	return admitted
}

// beginIteration admits jobs and returns the duration of the next iteration, which is
// zero when no job is running, and the admitted jobs.
func (b *batch) beginIteration() (time.Duration, []*job) {
	admitted := b.admit()
	chunkLeft, decoding := b.performance.PrefillChunk, 0
	for _, j := range b.running {
		if j.prefillLeft == 0 {
			decoding++
			continue
		}
		j.prefillChunk = min(j.prefillLeft, chunkLeft)
		chunkLeft -= j.prefillChunk
	}
	prefillTime := time.Duration(b.performance.PrefillChunk-chunkLeft) * b.performance.PrefillPerToken
	return prefillTime + b.performance.decodeTime(decoding), admitted
}

// endIteration applies the iteration and returns the jobs that generated a token.
func (b *batch) endIteration() []*job {
	var progressed []*job
	for _, j := range b.running {
		if j.prefillLeft > 0 {
			j.prefillLeft -= j.prefillChunk
			j.prefillChunk = 0
			if j.prefillLeft > 0 {
				continue
			}
		}
		j.generated++
		progressed = append(progressed, j)
	}
	for _, j := range progressed {
		if j.generated >= j.outputTokens {
			b.remove(j)
		}
	}
	return progressed
}
