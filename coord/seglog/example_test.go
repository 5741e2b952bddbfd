package seglog_test

import (
	"fmt"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// ExampleLog_Save saves an entry and a vote, and recovers both after a power loss.
func ExampleLog_Save() {
	disk := seglogtest.NewMemoryDisk()
	options := seglog.Options{FileSystem: disk, Directory: "group"}
	log, _, err := seglog.Open(options)
	if err != nil {
		fmt.Println(err)
		return
	}
	err = log.Save([]*consensus.PersistRequest{{
		HardState: &consensus.HardState{Term: 1, Vote: 7},
		Entries:   []consensus.Entry{{Term: 1, Index: 1, Data: []byte("command")}},
	}})
	fmt.Println("saved:", err)

	disk.LosePower(seglogtest.NewRandom(1))
	_, stored, err := seglog.Open(options)
	fmt.Printf("recovered: vote for member %d in term %d, %d entry, %v\n",
		stored.HardState.Vote, stored.HardState.Term, len(stored.Entries), err)
	// Output:
	// saved: <nil>
	// recovered: vote for member 7 in term 1, 1 entry, <nil>
}
