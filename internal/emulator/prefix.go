package emulator

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual ratio for English text.
	bytesPerToken = 4
	// blockTokens is the unit of the prefix cache.
	blockTokens = 16
)

// countTokens returns the prompt's length in tokens, at least one.
func countTokens(prompt []byte) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// prefixBlocks returns a digest for each full block of the prompt. A digest covers
// everything before its block, so that equal digests mean equal prefixes.
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

// prefixCache remembers the most recently used blocks in a bounded number of entries.
type prefixCache struct {
	limit  int
	order  *list.List // front: used most recently
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use returns how many leading blocks are cached and makes all of them the most
// recently used ones.
func (c *prefixCache) use(blocks []uint64) int {
	hit := 0
	for hit < len(blocks) && c.blocks[blocks[hit]] != nil {
		hit++
	}
	// The last block goes in first: eviction then shortens a prefix from its end.
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
	return hit
}
