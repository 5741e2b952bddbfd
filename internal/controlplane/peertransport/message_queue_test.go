package peertransport

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/consensus"
)

func entryOf(bytes int) consensus.Message {
	return consensus.Message{Entries: []consensus.Entry{{Data: make([]byte, bytes)}}}
}

func TestMessageQueue_push_dropsOldest(t *testing.T) {
	var queue messageQueue
	for i := range maxQueuedMessages + 3 {
		queue.push(0, consensus.Message{Term: uint64(i)})
	}
	if queue.dropped != 3 || queue.messages[0].Message.Term != 3 {
		t.Fatalf("dropped %d, first %d", queue.dropped, queue.messages[0].Message.Term)
	}
	queue.push(0, entryOf(maxQueuedMessageBytes+1))
	if len(queue.messages) != 1 {
		t.Fatalf("%d messages beside one that is larger than the bound", len(queue.messages))
	}
}

func TestMessageQueue_take_inOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("batches keep order, lose nothing and stay near their limit", prop.ForAll(
		func(sizes []int, limit int) bool {
			var queue messageQueue
			for i, size := range sizes {
				message := entryOf(size)
				message.Term = uint64(i)
				queue.push(0, message)
			}
			next := uint64(0)
			for len(queue.messages) > 0 {
				batch := queue.take(limit)
				bytes := 0
				for _, message := range batch {
					if message.Message.Term != next {
						return false
					}
					next++
					bytes += sizeOf(message.Message)
				}
				if len(batch) == 0 || (len(batch) > 1 && bytes > limit) {
					return false
				}
			}
			return next == uint64(len(sizes)) && queue.bytes == 0
		},
		gen.SliceOf(gen.IntRange(0, 4000)), gen.IntRange(1, 10000),
	))
	properties.TestingRun(t)
}
