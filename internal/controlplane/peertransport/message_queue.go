package peertransport

import (
	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// Limits of the queues for one peer.
const (
	maxQueuedMessages     = 2048
	maxQueuedMessageBytes = 24 << 20
	maxQueuedCalls        = 512
)

// messageQueue is the queue of consensus messages for one peer, oldest first. It is not safe for concurrent use.
type messageQueue struct {
	messages   []GroupMessage
	totalBytes int    // see estimatedSize
	dropped    uint64 // number of messages dropped since the start
}

// push adds a message, and drops the oldest messages while a limit is exceeded. The new message always remains, even if it alone
// exceeds maxQueuedMessageBytes.
func (q *messageQueue) push(shard shards.ID, message consensus.Message) {
	q.messages = append(q.messages, GroupMessage{Shard: shard, Message: message})
	q.totalBytes += estimatedSize(message)
	for len(q.messages) > 1 && (len(q.messages) > maxQueuedMessages || q.totalBytes > maxQueuedMessageBytes) {
		q.totalBytes -= estimatedSize(q.messages[0].Message)
		q.messages = q.messages[1:]
		q.dropped++
	}
}

// takeBatch removes and returns the oldest messages, up to an estimated size of limit bytes. It returns at least one message
// unless the queue is empty.
func (q *messageQueue) takeBatch(limit int) []GroupMessage {
	count, bytes := 0, 0
	for count < len(q.messages) {
		size := estimatedSize(q.messages[count].Message)
		if count > 0 && bytes+size > limit {
			break
		}
		bytes += size
		count++
	}
	taken := q.messages[:count:count]
	q.messages = q.messages[count:]
	q.totalBytes -= bytes
	if len(q.messages) == 0 {
		q.messages = nil
	}
	return taken
}

// clear drops all messages.
func (q *messageQueue) clear() {
	q.dropped += uint64(len(q.messages))
	q.messages, q.totalBytes = nil, 0
}
