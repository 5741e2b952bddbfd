package peertransport

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/consensus"
)

// messageWithEntry returns a message with one entry whose data has the given length.
func messageWithEntry(bytes int) consensus.Message {
	return consensus.Message{Entries: []consensus.Entry{{Data: make([]byte, bytes)}}}
}

func TestMessageQueue_push_dropsOldest(t *testing.T) {
	var queue messageQueue
	for i := range maxQueuedMessages + 3 {
		queue.push(0, consensus.Message{Term: uint64(i)})
	}
	if queue.dropped != 3 || queue.messages[0].Message.Term != 3 {
		t.Fatalf("3 messages over the limit: %d dropped, oldest is of term %d, want 3 dropped and term 3", queue.dropped, queue.messages[0].Message.Term)
	}
	queue.push(0, messageWithEntry(maxQueuedMessageBytes+1))
	if len(queue.messages) != 1 {
		t.Fatalf("%d messages queued after one larger than maxQueuedMessageBytes, want only that one", len(queue.messages))
	}
}

func TestMessageQueue_takeBatch_inOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("batches keep the order, omit no message and exceed the limit only with a single message", prop.ForAll(
		func(sizes []int, limit int) bool {
			var queue messageQueue
			for i, size := range sizes {
				message := messageWithEntry(size)
				message.Term = uint64(i)
				queue.push(0, message)
			}
			next := uint64(0)
			for len(queue.messages) > 0 {
				batch := queue.takeBatch(limit)
				bytes := 0
				for _, message := range batch {
					if message.Message.Term != next {
						return false
					}
					next++
					bytes += estimatedSize(message.Message)
				}
				if len(batch) == 0 || (len(batch) > 1 && bytes > limit) {
					return false
				}
			}
			return next == uint64(len(sizes)) && queue.totalBytes == 0
		},
		gen.SliceOf(gen.IntRange(0, 4000)), gen.IntRange(1, 10000),
	))
	properties.TestingRun(t)
}
