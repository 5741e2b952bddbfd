package peertransport

import (
	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// Limits of what is queued for one peer.
const (
	maxQueuedMessages     = 2048
	maxQueuedMessageBytes = 24 << 20
	maxQueuedCalls        = 512
)

// messageQueue is the queue of consensus messages for a peer, oldest first.
type messageQueue struct {
	messages []GroupMessage
	bytes    int    // estimated, see sizeOf
	dropped  uint64 // messages, since the start
}

// push adds a message and drops the oldest ones beyond the limits. The newest always stays.
func (q *messageQueue) push(shard shards.ID, message consensus.Message) {
	q.messages = append(q.messages, GroupMessage{Shard: shard, Message: message})
	q.bytes += sizeOf(message)
	for len(q.messages) > 1 && (len(q.messages) > maxQueuedMessages || q.bytes > maxQueuedMessageBytes) {
		q.bytes -= sizeOf(q.messages[0].Message)
		q.messages = q.messages[1:]
		q.dropped++
	}
}

// take removes messages of up to about limit bytes, and at least one if there is any.
func (q *messageQueue) take(limit int) []GroupMessage {
	count, bytes := 0, 0
	for count < len(q.messages) {
		size := sizeOf(q.messages[count].Message)
		if count > 0 && bytes+size > limit {
			break
		}
		bytes += size
		count++
	}
	taken := q.messages[:count:count]
	q.messages = q.messages[count:]
	q.bytes -= bytes
	if len(q.messages) == 0 {
		q.messages = nil
	}
	return taken
}

// clear drops all messages.
func (q *messageQueue) clear() {
	q.dropped += uint64(len(q.messages))
	q.messages, q.bytes = nil, 0
}
