package standins

import (
	"container/list"
	"hash/fnv"
	"sync"
	"time"
)

// cacheBlockBytes is the size of a block of the prefix cache: 256 tokens of 4
// bytes.
const cacheBlockBytes = 1024

// maxCacheEvents bounds the number of events that an engine retains.
const maxCacheEvents = 4096

// CacheEvent records that the first block of a prompt was stored in the cache or
// removed from it. Sequence numbers are consecutive; a missing one means that an
// event was lost.
type CacheEvent struct {
	Sequence   int    `json:"sequence"`
	Stored     bool   `json:"stored"` // false: removed
	PrefixHash uint64 `json:"prefix-hash"`
	at         time.Time
}

// cacheConfig configures a prefixCache.
type cacheConfig struct {
	Blocks   int           // blocks that fit in the cache
	Delay    time.Duration // time until an event becomes readable
	GapEvery int           // every n-th event is lost, 0 for none
}

// prefixCache is an LRU cache of prompt blocks. A block is identified by the
// hash of the prompt up to the end of the block.
type prefixCache struct {
	cfg cacheConfig

	mu           sync.Mutex
	lru          *list.List // of uint64, most recently used first
	blocks       map[uint64]*list.Element
	firstBlocks  map[uint64]bool // hashes of the first blocks of prompts
	events       []CacheEvent
	lastSequence int // sequence number of the last event, lost ones included
}

func newPrefixCache(cfg cacheConfig) *prefixCache {
	return &prefixCache{cfg: cfg, lru: list.New(), blocks: map[uint64]*list.Element{}, firstBlocks: map[uint64]bool{}}
}

// lookupAndStore returns the number of leading prompt tokens that are in the
// cache, and stores all full blocks of the prompt.
func (c *prefixCache) lookupAndStore(now time.Time, prompt string) (cached int) {
	if c.cfg.Blocks == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := fnv.New64a()
	hit := true
	for start := 0; start+cacheBlockBytes <= len(prompt); start += cacheBlockBytes {
		_, _ = h.Write([]byte(prompt[start : start+cacheBlockBytes]))
		hash := h.Sum64()
		element := c.blocks[hash]
		hit = hit && element != nil
		if hit {
			cached += cacheBlockBytes / bytesPerToken
		}
		if element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.store(now, hash, start == 0)
	}
	return cached
}

func (c *prefixCache) store(now time.Time, hash uint64, first bool) {
	c.blocks[hash] = c.lru.PushFront(hash)
	if first {
		c.firstBlocks[hash] = true
		c.addEvent(now, true, hash)
	}
	for c.lru.Len() > c.cfg.Blocks {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, oldest)
		if c.firstBlocks[oldest] {
			delete(c.firstBlocks, oldest)
			c.addEvent(now, false, oldest)
		}
	}
}

func (c *prefixCache) addEvent(now time.Time, stored bool, hash uint64) {
	c.lastSequence++
	if c.cfg.GapEvery > 0 && c.lastSequence%c.cfg.GapEvery == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Stored: stored, PrefixHash: hash, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsSince returns the readable events after a sequence number.
func (c *prefixCache) eventsSince(now time.Time, after int) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && now.Sub(e.at) >= c.cfg.Delay {
			out = append(out, e)
		}
	}
	return out
}

// clear removes all blocks without recording an event, as when an engine loses its
// cache unnoticed.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.blocks)
	clear(c.firstBlocks)
}
