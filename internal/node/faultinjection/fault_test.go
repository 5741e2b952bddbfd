package faultinjection

import "testing"

// Arm rejects malformed faults without arming them. A fault does not occur at other points or other
// passings than its own; a premature one would kill the test process.
func TestArm(t *testing.T) {
	for _, malformed := range []string{"", "nowhere", "gate-open:", "gate-open:0", "gate-open:x", ":1", "gate-open:1:5s", "mark-after:1:", "mark-after:1:-5s"} {
		if err := Arm(malformed); err == nil {
			t.Errorf("arm %q: got no error, want one", malformed)
		}
	}
	if armed.Load() != nil {
		t.Fatalf("after malformed faults: %q is armed, want none", armed.Load().point)
	}
	for _, point := range Points() {
		if err := Arm(point + ":1000000"); err != nil {
			t.Errorf("arm %s at its 1000000th passing: %v", point, err)
		}
		for _, other := range Points() {
			Hit(other) // a different point, or not the armed passing
		}
	}
	if err := Arm("mark-after:2:1ms"); err != nil {
		t.Errorf("arm a stall at the second passing of %s: %v", MarkAfter, err)
	}
	for range 3 {
		Hit(MarkAfter) // the second one stalls; all of them return
	}
	armed.Store(nil)
}

// BenchmarkHit_disarmed measures the cost of passing a point while no fault is armed.
func BenchmarkHit_disarmed(b *testing.B) {
	for b.Loop() {
		Hit(SendBefore)
	}
}
