package emulator

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual ratio for English text.
	bytesPerToken = 4
	// blockTokens is the number of tokens in a block of the prefix cache.
	blockTokens = 16
)

// countTokens returns the estimated length of the prompt in tokens, at least one.
func countTokens(prompt []byte) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// prefixBlocks returns a digest for each full block of the prompt. A digest also covers
// all blocks before its own, so that equal digests mean equal prefixes.
func prefixBlocks(prompt []byte) []uint64 {
	const size = blockTokens * bytesPerToken
	blocks := make([]uint64, 0, len(prompt)/size)
	h := xxhash.New()
	for ; len(prompt) >= size; prompt = prompt[size:] {
		_, _ = h.Write(prompt[:size])
		blocks = append(blocks, h.Sum64())
	}
	return blocks
}

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	limit  int
	order  *list.List // front: most recently used
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookupAndStore returns how many leading blocks are cached, and stores all blocks as the
// most recently used ones.
func (c *prefixCache) lookupAndStore(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	// The last block is stored first, so that eviction shortens a prefix from its end.
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.blocks[blocks[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		delete(c.blocks, c.order.Remove(last).(uint64))
	}
	return hits
}
