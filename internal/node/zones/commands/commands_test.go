package commands

import (
	"errors"
	"testing"
)

func put(t *testing.T, m *Machine, o Order) (got error) {
	t.Helper()
	text, err := Encode(o)
	if err != nil {
		t.Fatal(err)
	}
	m.Applied = func(_ Order, err error) { got = err }
	m.Apply(1, text)
	return got
}

func leave(expect uint64) *Change {
	return &Change{Expect: expect, Zones: map[string]Zone{"b": {Phase: Left, Failures: 1}}}
}

// An order made for an epoch that is over is void, and so is one that comes twice.
func TestStaleAndDoubledOrdersAreVoid(t *testing.T) {
	m := NewMachine()
	if err := put(t, m, Order{ID: "1", Change: leave(0)}); err != nil || m.Table().Epoch != 1 || m.Table().Of("b").Since != 1 {
		t.Fatalf("%v, %+v", err, m.Table())
	}
	back := &Change{Expect: 0, Zones: map[string]Zone{"b": {Phase: In, Share: 1}}}
	if err := put(t, m, Order{ID: "2", Change: back}); !errors.Is(err, ErrStale) || m.Table().Of("b").Phase != Left {
		t.Errorf("a stale order: %v, %+v", err, m.Table())
	}
	if err := put(t, m, Order{ID: "1", Change: leave(1)}); err == nil || m.Table().Epoch != 1 {
		t.Errorf("a doubled order: %v, epoch %d", err, m.Table().Epoch)
	}
	m.Without = "expect"
	if put(t, m, Order{ID: "3", Change: back}); m.Table().Of("b").Phase != In {
		t.Error("without the check nothing is otherwise")
	}
}

// What cannot be is turned away by name, and changes nothing.
func TestBadOrders(t *testing.T) {
	m := NewMachine()
	for name, o := range map[string]Order{
		"no id":    {Change: leave(0)},
		"nothing":  {ID: "1"},
		"share":    {ID: "2", Change: &Change{Zones: map[string]Zone{"b": {Share: 2}}}},
		"phase":    {ID: "3", Change: &Change{Zones: map[string]Zone{"b": {Phase: 9}}}},
		"no zone":  {ID: "4", Word: &Word{Do: DoLeave, Reason: "r", Until: 1}},
		"no do":    {ID: "5", Word: &Word{Zone: "b", Reason: "r", Until: 1}},
		"no end":   {ID: "6", Word: &Word{Zone: "b", Do: DoHold, Reason: "r"}},
		"no cause": {ID: "7", Word: &Word{Zone: "b", Do: DoHold, Until: 1}},
	} {
		if err := put(t, m, o); err == nil || m.Table().Epoch != 0 {
			t.Errorf("%s: %v, epoch %d", name, err, m.Table().Epoch)
		}
	}
	var got error
	m.Applied = func(_ Order, err error) { got = err }
	if m.Apply(1, []byte("no order")); got == nil {
		t.Error("garbage is taken")
	}
	if err := m.Restore([]byte{1, 2}); err == nil {
		t.Error("a snapshot of garbage is taken")
	}
}

// A store whose count of starts falls was put back from an older copy; one made anew was not.
func TestOldStoreIsKnown(t *testing.T) {
	m := NewMachine()
	for i, s := range []Start{{2, "x", 1}, {2, "x", 2}, {2, "y", 1}} {
		if err := put(t, m, Order{ID: string(rune('a' + i)), Start: &s}); err != nil {
			t.Fatal(err)
		}
	}
	if err := put(t, m, Order{ID: "z", Start: &Start{2, "y", 1}}); !errors.Is(err, ErrOldStore) || !m.OldStore(2, "y") || m.OldStore(2, "x") {
		t.Errorf("%v", err)
	}
	// The state goes through a snapshot whole.
	text, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := NewMachine()
	if err := other.Restore(text); err != nil || !other.OldStore(2, "y") {
		t.Errorf("restored: %v", err)
	}
}
