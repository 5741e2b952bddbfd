package members

import (
	"testing"
	"time"
)

// A word of an earlier start changes nothing, also after the later one has fallen silent.
func TestEarlierStartsAreOutdone(t *testing.T) {
	m := New(time.Second)
	for _, c := range []struct {
		at                    time.Duration
		incarnation, sequence uint64
		want                  Verdict
	}{{0, 3, 1, Taken}, {0, 3, 3, Taken}, {0, 3, 2, Late}, {0, 5, 1, Taken}, {0, 4, 9, Outdone}} {
		if got, _ := m.Hear(c.at, "n", "a", c.incarnation, c.sequence); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if gone := m.Sweep(2 * time.Second); len(gone) != 1 || m.Len() != 0 {
		t.Errorf("gone: %v", gone)
	}
	if got, at := m.Hear(2*time.Second, "n", "a", 4, 10); got != Outdone || at != 5 {
		t.Errorf("an earlier start lives again: %d, %d", got, at)
	}
	if got, _ := m.Hear(2*time.Second, "n", "b", 6, 1); got != Taken || m.Alive()[0].Zone != "b" {
		t.Errorf("a later start does not: %d", got)
	}
}
