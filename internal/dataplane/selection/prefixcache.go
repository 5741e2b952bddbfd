package selection

import "container/list"

// blockTokens is the unit in which engines allocate KV cache; only complete blocks are reused.
const blockTokens = 16

// prefixCache models which prompt segments a worker has cached, with eviction of the least recently
// used one. It is updated by this node's calls alone. To account for the other nodes, the last segment of
// a prompt, which is specific to the request, counts once for each node.
type prefixCache struct {
	capacity float64 // tokens
	used     float64 // tokens
	byID     map[uint64]*list.Element
	recency  list.List // of *cachedSegment; the least recently used is last
}

// cachedSegment is an entry of a prefixCache.
type cachedSegment struct {
	id     uint64
	weight float64 // tokens of the capacity that it uses
}

// contains reports whether a segment is cached.
func (c *prefixCache) contains(id uint64) bool {
	_, cached := c.byID[id]
	return cached
}

// cachedTokens returns how many tokens of a prompt need no prefill: those in complete blocks of the
// segments before the first one that is not cached.
func (c *prefixCache) cachedTokens(prompt []PromptSegment) float64 {
	tokens := 0
	for _, segment := range prompt {
		if !c.contains(segment.ID) {
			break
		}
		tokens += segment.Tokens
	}
	return float64(tokens - tokens%blockTokens)
}

// add records that the worker has computed or fetched the KV cache of a prompt. Nodes is the number of
// nodes that send requests to the worker, occupied the number of tokens that its running requests occupy.
func (c *prefixCache) add(prompt []PromptSegment, nodes int, occupied float64) {
	if c.byID == nil {
		c.byID = map[uint64]*list.Element{}
	}
	for i := len(prompt) - 1; i >= 0; i-- { // the first segments are touched last, so that they are evicted last
		weight := float64(prompt[i].Tokens)
		if i == len(prompt)-1 {
			weight *= float64(max(1, nodes))
		}
		c.touch(prompt[i].ID, weight)
	}
	c.evict(c.capacity - occupied)
}

// touch makes a segment the most recently used one, adding it if necessary.
func (c *prefixCache) touch(id uint64, weight float64) {
	if element, cached := c.byID[id]; cached {
		segment := element.Value.(*cachedSegment)
		c.used += weight - segment.weight
		segment.weight = weight
		c.recency.MoveToFront(element)
		return
	}
	c.byID[id] = c.recency.PushFront(&cachedSegment{id, weight})
	c.used += weight
}

// evict removes the least recently used segments until the remaining ones fit the capacity.
func (c *prefixCache) evict(capacity float64) {
	for c.used > max(0, capacity) && c.recency.Len() > 0 {
		last := c.recency.Back()
		segment := c.recency.Remove(last).(*cachedSegment)
		delete(c.byID, segment.id)
		c.used -= segment.weight
	}
}
