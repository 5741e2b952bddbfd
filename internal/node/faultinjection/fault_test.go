package faultinjection

import "testing"

func TestArm_rejectsMalformedPlans(t *testing.T) {
	for _, bad := range []string{"", "nowhere", "gate-open:", "gate-open:0", "gate-open:x", ":1", "gate-open:1:5s", "mark-after:1:", "mark-after:1:-5s"} {
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
	if err := Arm("mark-after:2:1ms"); err != nil {
		t.Error(err)
	}
	for range 3 {
		Hit(MarkAfter) // the second stalls, and all return
	}
	armed.Store(nil)
}

func BenchmarkOff(b *testing.B) {
	for b.Loop() {
		Hit(GateOpen)
	}
}
