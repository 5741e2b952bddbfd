package history

import (
	"testing"
	"time"
)

func TestHistory_Check_isolatedServers(t *testing.T) {
	partition := Fault{From: 10 * time.Second, To: 20 * time.Second, Isolated: []string{"m2"}, Lease: time.Second}
	read := func(machine string, call, answer time.Duration) Operation {
		return Operation{Machine: machine, Kind: Read, Call: call, Return: answer, Outcome: Acknowledged}
	}
	heartbeat := func(machine string, call, answer time.Duration) Heartbeat {
		return Heartbeat{Instance: "w", Machine: machine, Call: call, At: answer}
	}
	for name, test := range map[string]struct {
		operation Operation
		heartbeat Heartbeat
		violation bool
	}{
		"read at the isolated server":       {operation: read("m2", 12*time.Second, 13*time.Second), violation: true},
		"read within the lease":             {operation: read("m2", 10500*time.Millisecond, 11*time.Second)},
		"read at another server":            {operation: read("m1", 12*time.Second, 13*time.Second)},
		"read answered after the partition": {operation: read("m2", 19*time.Second, 21*time.Second)},
		"read without an answer":            {operation: Operation{Machine: "m2", Kind: Read, Call: 12 * time.Second, Return: 13 * time.Second, Outcome: Unknown}},
		"heartbeat at the isolated server":  {heartbeat: heartbeat("m2", 12*time.Second, 12*time.Second), violation: true},
		"heartbeat at another server":       {heartbeat: heartbeat("m0", 12*time.Second, 12*time.Second)},
		"heartbeat after the partition":     {heartbeat: heartbeat("m2", 21*time.Second, 21*time.Second)},
		"heartbeat within the lease":        {heartbeat: heartbeat("m2", 10*time.Second, 11*time.Second)},
	} {
		recorded := History{Tolerance: 1, Faults: []Fault{partition}, Operations: []Operation{test.operation}, Heartbeats: []Heartbeat{test.heartbeat}}
		if violation := len(checkIsolated(recorded)) > 0; violation != test.violation {
			t.Errorf("%s: got violation %v, want %v", name, violation, test.violation)
		}
	}
	recorded := History{Tolerance: 0, Faults: []Fault{partition}, Operations: []Operation{read("m2", 12*time.Second, 13*time.Second)}}
	if len(checkIsolated(recorded)) > 0 {
		t.Error("got a violation although more servers than the tolerance are isolated, which may hold a majority")
	}
}

// TestHistory_Check_isolatedServersThatStall verifies that the lease is extended by the longest possible stall of the server's
// goroutines and no further.
func TestHistory_Check_isolatedServersThatStall(t *testing.T) {
	partition := Fault{From: 10 * time.Second, To: 30 * time.Second, Isolated: []string{"m2"}, Lease: time.Second}
	stall := Fault{From: 5 * time.Second, To: 11 * time.Second, Stalled: []string{"m2"}, MaxStall: time.Second}
	for call, want := range map[time.Duration]bool{11500 * time.Millisecond: false, 12900 * time.Millisecond: false, 13 * time.Second: true, 20 * time.Second: true} {
		operation := Operation{Machine: "m2", Kind: Read, Call: call, Return: call, Outcome: Acknowledged}
		recorded := History{Tolerance: 1, Faults: []Fault{partition, stall}, Operations: []Operation{operation}}
		if found := len(checkIsolated(recorded)) > 0; found != want {
			t.Errorf("answered at %v: got violation %v, want %v", call, found, want)
		}
	}
}

// TestHistory_Check_serveAgain_ignoresPartitionedServers verifies that unanswered calls to a partitioned server after a disruption
// are not a violation unless another server was called as well.
func TestHistory_Check_serveAgain_ignoresPartitionedServers(t *testing.T) {
	call := func(machine string, at time.Duration) Operation {
		return Operation{Machine: machine, Kind: Read, Call: at, Outcome: Unknown}
	}
	recorded := History{
		Tolerance: 1, End: time.Minute, Bounds: Bounds{Contact: 3 * time.Second, ServeAgain: 6 * time.Second},
		Faults: []Fault{
			{From: 10 * time.Second, To: 50 * time.Second, Core: true, Isolated: []string{"m2"}},
			{From: 30 * time.Second, To: 31 * time.Second, Core: true},
		},
		Operations: []Operation{call("m2", 32*time.Second), call("m2", 33*time.Second)},
	}
	if found := checkServeAgain(recorded); len(found) > 0 {
		t.Errorf("only a partitioned server was called: got violations %v, want none", found)
	}
	recorded.Operations = append(recorded.Operations, call("m1", 33*time.Second))
	if found := checkServeAgain(recorded); len(found) == 0 {
		t.Error("a reachable server was called and did not answer: got no violation, want one")
	}
}
