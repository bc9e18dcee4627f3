package engine

import "container/list"

// cacheKey identifies a cache block of one model.
type cacheKey struct {
	model string
	hash  uint64
}

// cache is a prefix cache that evicts the least recently used blocks. Its capacity is a number of blocks.
type cache struct {
	capacity int
	blocks   map[cacheKey]*list.Element
	// order lists the keys of the blocks, the most recently used first.
	order *list.List
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[cacheKey]*list.Element{}, order: list.New()}
}

// cachedPrefix returns the number of leading blocks that are cached and marks these blocks as used.
func (c *cache) cachedPrefix(model string, hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := c.blocks[cacheKey{model, hash}]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

// add adds blocks to the cache. It returns the blocks that were not cached before and the blocks evicted to make room.
func (c *cache) add(model string, hashes []uint64) (added, evicted []cacheKey) {
	if c.capacity <= 0 {
		return nil, nil
	}
	for _, hash := range hashes {
		key := cacheKey{model, hash}
		if element, ok := c.blocks[key]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[key] = c.order.PushFront(key)
		added = append(added, key)
		if c.order.Len() > c.capacity {
			last := c.order.Remove(c.order.Back()).(cacheKey)
			delete(c.blocks, last)
			evicted = append(evicted, last)
		}
	}
	return added, evicted
}

// removeModel removes all blocks of a model and returns them.
func (c *cache) removeModel(model string) (evicted []cacheKey) {
	for key, element := range c.blocks {
		if key.model == model {
			c.order.Remove(element)
			delete(c.blocks, key)
			evicted = append(evicted, key)
		}
	}
	return evicted
}
