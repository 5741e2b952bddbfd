package feed_test

import (
	"fmt"

	"ospreybend/coord/feed"
)

// Example fills a buffer as a replicated state machine does from committed entries, and lets two readers catch
// up: a new one by a snapshot, and one that has applied the first change by the second change.
func Example() {
	const maxBacklogBytes = 1 << 20
	buffer := feed.NewBuffer(maxBacklogBytes)
	for _, change := range []feed.Change{
		{Index: 4, Put: []feed.Item{{Key: "worker-1", Value: []byte("ready")}, {Key: "worker-2", Value: []byte("ready")}}},
		{Index: 7, Put: []feed.Item{{Key: "worker-1", Value: []byte("draining")}}, Delete: []string{"worker-2"}},
	} {
		if err := buffer.Append(change); err != nil {
			fmt.Println(err)
			return
		}
	}

	_, snapshot := buffer.CatchUp(0)
	fmt.Printf("a new reader gets a snapshot at %d: %s is %s\n", snapshot.Index, snapshot.Items[0].Key, snapshot.Items[0].Value)

	changes, _ := buffer.CatchUp(4)
	fmt.Printf("a reader at 4 gets %d change: worker-2 is deleted: %t\n", len(changes), changes[0].Delete[0] == "worker-2")
	// Output:
	// a new reader gets a snapshot at 7: worker-1 is draining
	// a reader at 4 gets 1 change: worker-2 is deleted: true
}
