package members

import (
	"testing"
	"time"
)

// A heartbeat of an earlier incarnation is rejected, also after the later one expired.
func TestTable_Heartbeat_supersedesEarlierIncarnation(t *testing.T) {
	table := New(time.Second)
	for _, c := range []struct {
		at                    time.Duration
		incarnation, sequence uint64
		want                  HeartbeatResult
	}{{0, 3, 1, Accepted}, {0, 3, 3, Accepted}, {0, 3, 2, OutOfOrder}, {0, 5, 1, Accepted}, {0, 4, 9, Superseded}} {
		if got, _ := table.Heartbeat(c.at, "n", "a", c.incarnation, c.sequence); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if gone := table.Expire(2 * time.Second); len(gone) != 1 || len(table.Live()) != 0 {
		t.Errorf("expired: %v", gone)
	}
	if got, at := table.Heartbeat(2*time.Second, "n", "a", 4, 10); got != Superseded || at != 5 {
		t.Errorf("an earlier incarnation is accepted: %d, %d", got, at)
	}
	if got, _ := table.Heartbeat(2*time.Second, "n", "b", 6, 1); got != Accepted || table.Live()[0].Zone != "b" {
		t.Errorf("a later incarnation is rejected: %d", got)
	}
}
