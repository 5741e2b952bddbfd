package selection

import "container/list"

// blockTokens is the unit in which memory goes.
const blockTokens = 16

// prefixCache models what parts of prompts a worker keeps: those unused longest give way. What other nodes
// send there is covered by the weight of parts that are a request's own.
type prefixCache struct {
	capacity    float64 // tokens
	used        float64
	byID        map[uint64]*list.Element
	leastRecent list.List // of keptPart; the longest unused is last
}

type cachedSegment struct {
	id     uint64
	weight float64 // tokens that it takes from the capacity
}

// has tells whether a part is kept.
func (k *prefixCache) has(id uint64) bool {
	_, is := k.byID[id]
	return is
}

// cachedTokens is the number of tokens of a prompt that need no reading: whole blocks of the parts before
// the first that is not kept.
func (k *prefixCache) cachedTokens(prompt []PromptSegment) float64 {
	tokens := 0
	for _, segment := range prompt {
		if !k.has(segment.ID) {
			break
		}
		tokens += segment.Tokens
	}
	return float64(tokens - tokens%blockTokens)
}

// add takes in that a worker has read or fetched a prompt; others is how many nodes send it parts of
// their own as this one does.
func (k *prefixCache) add(prompt []PromptSegment, nodes int, occupied float64) {
	if k.byID == nil {
		k.byID = map[uint64]*list.Element{}
	}
	for i := len(prompt) - 1; i >= 0; i-- { // the first parts are used last: they give way last
		weight := float64(prompt[i].Tokens)
		if i == len(prompt)-1 {
			weight *= float64(max(1, nodes))
		}
		k.touch(prompt[i].ID, weight)
	}
	k.evict(k.capacity - occupied)
}

// touch puts a part first.
func (k *prefixCache) touch(id uint64, weight float64) {
	if element, is := k.byID[id]; is {
		segment := element.Value.(*cachedSegment)
		k.used += weight - segment.weight
		segment.weight = weight
		k.leastRecent.MoveToFront(element)
		return
	}
	k.byID[id] = k.leastRecent.PushFront(&cachedSegment{id, weight})
	k.used += weight
}

// evict lets the parts unused longest give way.
func (k *prefixCache) evict(capacity float64) {
	for k.used > max(0, capacity) && k.leastRecent.Len() > 0 {
		last := k.leastRecent.Back()
		segment := k.leastRecent.Remove(last).(*cachedSegment)
		delete(k.byID, segment.id)
		k.used -= segment.weight
	}
}
