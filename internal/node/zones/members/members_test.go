package members

import (
	"testing"
	"time"
)

// A word of an earlier start changes nothing, also after the later one has fallen silent.
func TestTable_Heartbeat_supersedesEarlierIncarnation(t *testing.T) {
	member := New(time.Second)
	for _, c := range []struct {
		at                    time.Duration
		incarnation, sequence uint64
		want                  HeartbeatResult
	}{{0, 3, 1, Accepted}, {0, 3, 3, Accepted}, {0, 3, 2, OutOfOrder}, {0, 5, 1, Accepted}, {0, 4, 9, Superseded}} {
		if got, _ := member.Heartbeat(c.at, "n", "a", c.incarnation, c.sequence); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if gone := member.Expire(2 * time.Second); len(gone) != 1 || member.Len() != 0 {
		t.Errorf("gone: %v", gone)
	}
	if got, at := member.Heartbeat(2*time.Second, "n", "a", 4, 10); got != Superseded || at != 5 {
		t.Errorf("an earlier start lives again: %d, %d", got, at)
	}
	if got, _ := member.Heartbeat(2*time.Second, "n", "b", 6, 1); got != Accepted || member.Live()[0].Zone != "b" {
		t.Errorf("a later start does not: %d", got)
	}
}
