package consensus

import (
	"testing"
	"time"
)

func TestStatus_ConfirmedAt_isRecentOnConnectedMembers(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	for _, id := range g.order {
		if age := g.now - g.members[id].node.Status().ConfirmedAt; age > 2*testHeartbeat {
			t.Errorf("member %d: confirmed %v ago", id, age)
		}
	}
	partitioned := g.others(g.leader())[0]
	g.members[partitioned].stopped = true
	g.run(2 * time.Second)
	if age := g.now - g.members[partitioned].node.Status().ConfirmedAt; age < 2*time.Second {
		t.Errorf("partitioned member: confirmed %v ago", age)
	}
}

func TestNode_ReadIndex_readsShareAHeartbeatRound(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.sent = 0
	for id := range uint64(50) {
		if err := leader.ReadIndex(g.now, id); err != nil {
			t.Fatal(err)
		}
	}
	g.deliverAll()
	if got := len(g.members[g.leader()].reads); got != 50 || g.sent > 4 {
		t.Fatalf("%d reads by %d messages", got, g.sent)
	}
}
