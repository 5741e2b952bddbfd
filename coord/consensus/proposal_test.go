package consensus

import (
	"errors"
	"testing"
)

func TestNode_Propose_uncommittedEntriesAreBounded(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	for i := range maxUncommittedEntries {
		if _, _, err := leader.Propose(g.now, nil); err != nil {
			t.Fatalf("proposal %d of %d: %v", i+1, maxUncommittedEntries, err)
		}
	}
	if _, _, err := leader.Propose(g.now, nil); !errors.Is(err, ErrTooManyUncommitted) {
		t.Fatalf("proposal beyond %d uncommitted entries: %v, want %v", maxUncommittedEntries, err, ErrTooManyUncommitted)
	}
	g.deliverAll()
	if _, _, err := leader.Propose(g.now, nil); err != nil {
		t.Fatalf("proposal after all entries were committed: %v", err)
	}
}

// TestNode_Propose_uncommittedBytesAreBounded proposes large commands. One above the limit is accepted only if no other entry is
// uncommitted.
func TestNode_Propose_uncommittedBytesAreBounded(t *testing.T) {
	for _, size := range []int{maxUncommittedBytes / 4, maxUncommittedBytes - 1, 2 * maxUncommittedBytes} {
		g := newTestGroup(t, 1, 2, 3)
		leader := g.elect()
		uncommitted := 0
		for {
			if _, _, err := leader.Propose(g.now, make([]byte, size)); errors.Is(err, ErrTooManyUncommitted) {
				break
			} else if err != nil {
				t.Fatalf("commands of %d bytes: proposal after %d uncommitted bytes: %v", size, uncommitted, err)
			}
			uncommitted += size
		}
		if uncommitted > max(size, maxUncommittedBytes) {
			t.Errorf("commands of %d bytes: %d bytes uncommitted, want at most %d", size, uncommitted, max(size, maxUncommittedBytes))
		}
		g.deliverAll()
		if _, _, err := leader.Propose(g.now, make([]byte, size)); err != nil {
			t.Errorf("commands of %d bytes: proposal after all entries were committed: %v", size, err)
		}
	}
}

// TestNode_Ready_unacknowledgedBytesAreBounded commits commands while the disk of one peer is stalled. The entries that the peer then
// has to write in one batch must not exceed the in-flight limit by more than one entry.
func TestNode_Ready_unacknowledgedBytesAreBounded(t *testing.T) {
	const commandBytes, commands = 3 << 10, 100
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	slow := MemberID(1)
	if g.leader() == slow {
		slow = 2
	}
	g.deliverAll()
	g.members[slow].diskStalled = true
	for range commands {
		if _, _, err := leader.Propose(g.now, make([]byte, commandBytes)); err != nil {
			t.Fatalf("proposing while the disk of member %d is stalled: %v", slow, err)
		}
		g.deliverAll()
	}
	pending := 0
	for _, write := range g.members[slow].pendingWrites {
		pending += entriesSize(write.Entries)
	}
	config := testConfig(slow)
	if bound := config.MaxInflight*config.MaxAppendBytes + commandBytes + entryOverheadBytes; pending > bound || pending == 0 {
		t.Errorf("%d bytes wait for the stalled disk, want 1 to %d", pending, bound)
	}
	g.members[slow].diskStalled = false
	g.syncDisk(slow)
	g.run(testElectionTimeout)
	if applied := len(g.members[slow].applied); applied != commands {
		t.Errorf("member %d has applied %d commands after its disk recovered, want %d", slow, applied, commands)
	}
}
