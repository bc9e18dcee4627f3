package route

import "time"

const (
	// blockTokens is the number of tokens in a cache block.
	blockTokens = 1024
	// maxHolders is the number of engines recorded for each block.
	maxHolders = 4
	// hintLifetime is how long an engine is assumed to hold a block after the last event or prefill that confirms the
	// block.
	hintLifetime = 5 * time.Minute
	// maxGenerationBlocks bounds the blocks of one generation. The index keeps at most two generations, about 10 MB.
	maxGenerationBlocks = 1 << 16
)

// holder records that an engine holds a block.
type holder struct {
	// key is the key of the engine's node.
	key uint32
	// at is the time of the last event or prefill, in seconds since the epoch of the index.
	at uint32
}

// prefixIndex records which engines hold which blocks. The records are hints. When the current generation is full, the
// previous one is dropped, so that blocks that are no longer used expire.
type prefixIndex struct {
	nodes             map[uint32]*node
	current, previous map[uint64][maxHolders]holder
	epoch             time.Time
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{current: map[uint64][maxHolders]holder{}}
}

func (x *prefixIndex) seconds(now time.Time) uint32 {
	if x.epoch.IsZero() {
		x.epoch = now.Add(-time.Second)
	}
	return uint32(now.Sub(x.epoch) / time.Second)
}

func (x *prefixIndex) get(hash uint64) ([maxHolders]holder, bool) {
	if h, ok := x.current[hash]; ok {
		return h, true
	}
	h, ok := x.previous[hash]
	return h, ok
}

func (x *prefixIndex) add(now time.Time, n *node, hashes []uint64) {
	at := x.seconds(now)
	for _, hash := range hashes {
		list, _ := x.get(hash)
		slot := 0
		for i, h := range list {
			if h.key == n.key {
				slot = i
				break
			}
			if h.at < list[slot].at {
				slot = i
			}
		}
		list[slot] = holder{n.key, at}
		if len(x.current) >= maxGenerationBlocks {
			x.current, x.previous = make(map[uint64][maxHolders]holder, maxGenerationBlocks), x.current
		}
		x.current[hash] = list
	}
}

func (x *prefixIndex) remove(n *node, hashes []uint64) {
	for _, hash := range hashes {
		list, ok := x.get(hash)
		if !ok {
			continue
		}
		left := false
		for i := range list {
			if list[i].key == n.key {
				list[i] = holder{}
			}
			left = left || list[i].key != 0
		}
		delete(x.previous, hash)
		delete(x.current, hash)
		if left {
			x.current[hash] = list
		}
	}
}

// longestPrefix calls f for the engines that hold the longest known prefix and returns its number of blocks.
func (x *prefixIndex) longestPrefix(now time.Time, hashes []uint64, f func(n *node)) int {
	at := x.seconds(now)
	for i := len(hashes) - 1; i >= 0; i-- {
		list, ok := x.get(hashes[i])
		if !ok {
			continue
		}
		found := false
		for _, h := range list {
			if n := x.nodes[h.key]; n != nil && at-h.at < uint32(hintLifetime/time.Second) {
				f(n)
				found = true
			}
		}
		if found {
			return i + 1
		}
	}
	return 0
}

// cachedBlocks returns the number of leading blocks that an engine is assumed to hold.
func (x *prefixIndex) cachedBlocks(now time.Time, hashes []uint64, n *node) int {
	at := x.seconds(now)
	for i := len(hashes) - 1; i >= 0; i-- {
		list, ok := x.get(hashes[i])
		if !ok {
			continue
		}
		for _, h := range list {
			if h.key == n.key && at-h.at < uint32(hintLifetime/time.Second) {
				return i + 1
			}
		}
	}
	return 0
}
