package dispatch

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/http1"
)

func TestTargetsAreDrawnByWeight(t *testing.T) {
	targets := []configuration.Target{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[drawTarget(targets, float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Fatal(counts)
	}
}

func TestDeadlineFallsBackOnTheRoutesTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": time.Second, "x": time.Second, "-1": time.Second, "99999999999999999999": time.Second,
		"1500": time.Second, "250": 250 * time.Millisecond, "0": 0,
		"NaN": time.Second, "Inf": time.Second, "-Inf": time.Second, "1e300": time.Second, "0x1p9": 512 * time.Millisecond,
		"250.5": 250500 * time.Microsecond, "400, 250": 250 * time.Millisecond, "x, 300": 300 * time.Millisecond,
	} {
		fields := http1.Header{{Name: "x-request-deadline", Value: value}}
		if got := allowance(fields, time.Second); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
	if got := allowance(nil, time.Second); got != time.Second {
		t.Errorf("without the field: %v", got)
	}
}

func TestPrefixThatCannotBeReadIsLeftOut(t *testing.T) {
	for _, value := range []string{"", "zz:1", "12", "12:4,,", "123456789012345678901:4"} {
		if parts := parsePrefix(value); parts != nil {
			t.Errorf("%q: %v", value, parts)
		}
	}
}

func TestHostIsComparedWithoutCaseAndPort(t *testing.T) {
	for host, want := range map[string]string{
		"Ficu95.Example:8144": "ficu95.example", "ficu95.example": "ficu95.example", "[::1]": "[::1]", "[::1]:80": "[::1]",
	} {
		if got := plainHost(host); got != want {
			t.Errorf("%q: %q, want %q", host, got, want)
		}
	}
}

func TestAccount(t *testing.T) {
	budget := 1
	a := account{most: 3, spend: func() bool { budget--; return budget >= 0 }}
	if !a.pay(1) || budget != 1 {
		t.Fatal("the first call needed budget")
	}
	if !a.pay(1) || budget != 1 {
		t.Fatal("the first call was paid twice")
	}
	a.reached()
	if !a.pay(1) || budget != 0 {
		t.Fatal("the second call was not paid")
	}
	a.arrived()
	if a.pay(1) {
		t.Fatal("a third call without budget")
	}
	if a.attempts != 1 || a.pay(3) {
		t.Fatal("more calls than attempts")
	}
}
