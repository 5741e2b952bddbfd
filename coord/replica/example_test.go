package replica_test

import (
	"context"
	"fmt"
	"log"
	"strconv"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/seglog/seglogtest"
)

// counter is a state machine that counts its commands.
type counter struct{ count int }

func (c *counter) Apply(consensus.Entry) any {
	c.count++
	return c.count
}

func (c *counter) Snapshot() []byte { return strconv.AppendInt(nil, int64(c.count), 10) }

func (c *counter) Restore(_ uint64, data []byte) (err error) {
	c.count, err = strconv.Atoi(string(data))
	return err
}

// Example bootstraps a group of one member, proposes a command and reads the state machine.
func Example() {
	member := consensus.Member{ID: 1, Address: "10.0.0.1:7000", Voter: true}
	stateMachine := &counter{}
	leading := make(chan struct{})
	wasLeading := false
	group, err := replica.Open(replica.Options{
		Directory:        "group",
		FileSystem:       seglogtest.NewMemoryDisk(), // nil: use the operating system's files
		Self:             member,
		BootstrapMembers: []consensus.Member{member},
		StateMachine:     stateMachine,
		Send:             func(consensus.Member, consensus.Message) {}, // no other members
		OnStatus: func(status replica.Status) {
			if status.IsLeader() && !wasLeading {
				wasLeading = true
				close(leading)
			}
		},
	})
	if err != nil {
		log.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- group.Run(ctx) }()

	<-leading
	result, _, err := group.Propose(ctx, []byte("increment"))
	fmt.Println("result:", result, err)
	fmt.Println("read barrier:", group.ReadBarrier(ctx))
	err = group.Do(func() { fmt.Println("count:", stateMachine.count) })
	fmt.Println("read:", err)

	cancel()
	fmt.Println("run:", <-ended)
	fmt.Println("close:", group.Close())
	// Output:
	// result: 1 <nil>
	// read barrier: <nil>
	// count: 1
	// read: <nil>
	// run: <nil>
	// close: <nil>
}
