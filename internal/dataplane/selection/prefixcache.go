package selection

import "container/list"

// blockTokens is the unit in which memory goes.
const blockTokens = 16

// kept models what parts of prompts a worker keeps: those unused longest give way. What other nodes
// send there is covered by the weight of parts that are a request's own.
type kept struct {
	capacity float64 // tokens
	used     float64
	byID     map[uint64]*list.Element
	order    list.List // of keptPart; the longest unused is last
}

type keptPart struct {
	id     uint64
	weight float64 // tokens that it takes from the capacity
}

// has tells whether a part is kept.
func (k *kept) has(id uint64) bool {
	_, is := k.byID[id]
	return is
}

// prefix is the number of tokens of a prompt that need no reading: whole blocks of the parts before
// the first that is not kept.
func (k *kept) prefix(prompt []Part) float64 {
	tokens := 0
	for _, part := range prompt {
		if !k.has(part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return float64(tokens - tokens%blockTokens)
}

// add takes in that a worker has read or fetched a prompt; others is how many nodes send it parts of
// their own as this one does.
func (k *kept) add(prompt []Part, others int, busy float64) {
	if k.byID == nil {
		k.byID = map[uint64]*list.Element{}
	}
	for i := len(prompt) - 1; i >= 0; i-- { // the first parts are used last: they give way last
		weight := float64(prompt[i].Tokens)
		if i == len(prompt)-1 {
			weight *= float64(max(1, others))
		}
		k.use(prompt[i].ID, weight)
	}
	k.trim(k.capacity - busy)
}

// use puts a part first.
func (k *kept) use(id uint64, weight float64) {
	if element, is := k.byID[id]; is {
		part := element.Value.(*keptPart)
		k.used += weight - part.weight
		part.weight = weight
		k.order.MoveToFront(element)
		return
	}
	k.byID[id] = k.order.PushFront(&keptPart{id, weight})
	k.used += weight
}

// trim lets the parts unused longest give way.
func (k *kept) trim(capacity float64) {
	for k.used > max(0, capacity) && k.order.Len() > 0 {
		last := k.order.Back()
		part := k.order.Remove(last).(*keptPart)
		delete(k.byID, part.id)
		k.used -= part.weight
	}
}
