package members

import (
	"testing"
	"time"
)

// A heartbeat of an earlier incarnation is rejected, also after the later one has expired.
func TestTable_Heartbeat_supersedesEarlierIncarnation(t *testing.T) {
	table := New(time.Second)
	for _, c := range []struct {
		at                    time.Duration
		incarnation, sequence uint64
		want                  HeartbeatResult
	}{{0, 3, 1, Accepted}, {0, 3, 3, Accepted}, {0, 3, 2, OutOfOrder}, {0, 5, 1, Accepted}, {0, 4, 9, Superseded}} {
		if got, _ := table.Heartbeat(c.at, "n", "a", c.incarnation, c.sequence); got != c.want {
			t.Errorf("heartbeat %+v: result %d, want %d", c, got, c.want)
		}
	}
	if expired := table.Expire(2 * time.Second); len(expired) != 1 || len(table.Live()) != 0 {
		t.Errorf("after the timeout: expired %v, live %v; want one expired and none live", expired, table.Live())
	}
	if got, known := table.Heartbeat(2*time.Second, "n", "a", 4, 10); got != Superseded || known != 5 {
		t.Errorf("an earlier incarnation after expiry: result %d, known incarnation %d; want %d, 5", got, known, Superseded)
	}
	if got, _ := table.Heartbeat(2*time.Second, "n", "b", 6, 1); got != Accepted || table.Live()[0].Zone != "b" {
		t.Errorf("a later incarnation in zone b: result %d, live %v; want %d and zone b", got, table.Live(), Accepted)
	}
}
