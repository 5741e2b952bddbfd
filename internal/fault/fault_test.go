package fault

import "testing"

func TestArm(t *testing.T) {
	for _, bad := range []string{"", "nowhere", "gate-open:", "gate-open:0", "gate-open:x", ":1"} {
		if err := Arm(bad); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	if armed.Load() != nil {
		t.Fatal("armed by a fault that makes no sense")
	}
	for _, p := range Points() {
		if err := Arm(p + ":1000000"); err != nil {
			t.Error(err)
		}
		for _, other := range Points() {
			Hit(other) // not the one, or not yet
		}
	}
	armed.Store(nil)
}

func BenchmarkOff(b *testing.B) {
	for b.Loop() {
		Hit(GateOpen)
	}
}
