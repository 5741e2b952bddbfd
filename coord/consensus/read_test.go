package consensus

import (
	"testing"
	"time"
)

func TestStatus_ConfirmedAt_isRecentOnConnectedMembers(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	for _, id := range g.ids {
		if age := g.now - g.members[id].node.Status().ConfirmedAt; age > 2*testHeartbeatInterval {
			t.Errorf("member %d: state confirmed %v ago, want at most %v", id, age, 2*testHeartbeatInterval)
		}
	}
	stopped := g.others(g.leader())[0]
	g.members[stopped].stopped = true
	g.run(2 * time.Second)
	if age := g.now - g.members[stopped].node.Status().ConfirmedAt; age < 2*time.Second {
		t.Errorf("stopped member %d: state confirmed %v ago, want at least %v", stopped, age, 2*time.Second)
	}
}

func TestNode_ReadIndex_readsShareAHeartbeatRound(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.sentMessages = 0
	for id := range uint64(50) {
		if err := leader.ReadIndex(g.now, id); err != nil {
			t.Fatalf("ReadIndex %d: %v", id, err)
		}
	}
	g.deliverAll()
	if got := len(g.members[g.leader()].reads); got != 50 || g.sentMessages > 4 {
		t.Fatalf("%d reads answered with %d messages, want 50 reads with at most 4", got, g.sentMessages)
	}
}
