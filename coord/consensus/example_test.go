package consensus_test

import (
	"fmt"
	"time"

	"ospreybend/coord/consensus"
)

// exampleMember is a member of the example's group: its core and the commands that it has applied.
type exampleMember struct {
	id      consensus.MemberID
	node    *consensus.Node
	applied []string
}

// processReady processes the core's Ready and returns its messages. Every write is durable immediately.
func (m *exampleMember) processReady(now time.Duration) []consensus.Message {
	ready := m.node.Ready()
	if ready.Persist != nil {
		m.node.Persisted(now, ready.Persist.Sequence)
	}
	for _, entry := range ready.Committed {
		if entry.Kind == consensus.EntryCommand {
			m.applied = append(m.applied, string(entry.Data))
		}
	}
	return ready.Messages
}

// exampleGroup is a group of members with a network without latency.
type exampleGroup struct {
	now     time.Duration
	members []*exampleMember
}

// newExampleGroup returns a group of voters that start from the same bootstrap state.
func newExampleGroup(ids ...consensus.MemberID) *exampleGroup {
	var voters []consensus.Member
	for _, id := range ids {
		voters = append(voters, consensus.Member{ID: id, Address: fmt.Sprintf("10.0.0.%d:7000", id), Voter: true})
	}
	group := &exampleGroup{}
	for _, id := range ids {
		config := consensus.Config{
			ID:                id,
			ElectionTimeout:   500 * time.Millisecond,
			HeartbeatInterval: 100 * time.Millisecond,
			MaxAppendBytes:    64 << 10,
			MaxInflight:       16,
			Seed:              uint64(id),
		}
		node := consensus.New(config, consensus.Bootstrap(voters, nil), group.now)
		group.members = append(group.members, &exampleMember{id: id, node: node})
	}
	return group
}

// advance advances the clock in steps of 10 ms until done returns true. In each step it ticks the members that are
// due and delivers all messages.
func (g *exampleGroup) advance(done func() bool) {
	for !done() {
		g.now += 10 * time.Millisecond
		for _, member := range g.members {
			if g.now >= member.node.NextTick() {
				member.node.Tick(g.now)
			}
		}
		g.deliver()
	}
}

// deliver delivers messages until no member sends any more.
func (g *exampleGroup) deliver() {
	for {
		var messages []consensus.Message
		for _, member := range g.members {
			messages = append(messages, member.processReady(g.now)...)
		}
		if len(messages) == 0 {
			return
		}
		for _, message := range messages {
			g.members[message.To-1].node.Step(g.now, message)
		}
	}
}

// leader returns the leader, or nil if there is none.
func (g *exampleGroup) leader() *exampleMember {
	for _, member := range g.members {
		if member.node.Status().Role == consensus.RoleLeader {
			return member
		}
	}
	return nil
}

// Example elects a leader in a group of three members and commits an entry. It passes the time, messages and
// durable writes to the core, as a server does with its clock, sockets and disk.
func Example() {
	group := newExampleGroup(1, 2, 3)
	group.advance(func() bool { return group.leader() != nil })
	leader := group.leader()
	fmt.Println("a leader is elected in term", leader.node.Status().Term)

	_, index, err := leader.node.Propose(group.now, []byte("x = 1"))
	if err != nil {
		fmt.Println(err)
		return
	}
	group.advance(func() bool {
		for _, member := range group.members {
			if member.node.Status().AppliedIndex < index {
				return false
			}
		}
		return true
	})
	for _, member := range group.members {
		fmt.Printf("member %d has applied %q\n", member.id, member.applied)
	}
	// Output:
	// a leader is elected in term 2
	// member 1 has applied ["x = 1"]
	// member 2 has applied ["x = 1"]
	// member 3 has applied ["x = 1"]
}
