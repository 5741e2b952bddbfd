package dispatch

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/http1"
)

func TestPickTarget_byWeight(t *testing.T) {
	targets := []configuration.Target{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[pickTarget(targets, float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Fatal(counts)
	}
}

func TestTimeLimit_fallsBackOnRouteTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": time.Second, "x": time.Second, "-1": time.Second, "99999999999999999999": time.Second,
		"1500": time.Second, "250": 250 * time.Millisecond, "0": 0,
		"NaN": time.Second, "Inf": time.Second, "-Inf": time.Second, "1e300": time.Second, "0x1p9": 512 * time.Millisecond,
		"250.5": 250500 * time.Microsecond, "400, 250": 250 * time.Millisecond, "x, 300": 300 * time.Millisecond,
	} {
		fields := http1.Header{{Name: "x-request-deadline", Value: value}}
		if got := timeLimit(fields, time.Second); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
	if got := timeLimit(nil, time.Second); got != time.Second {
		t.Errorf("without the field: %v", got)
	}
}

func TestParsePrefix_invalid(t *testing.T) {
	for _, value := range []string{"", "zz:1", "12", "12:4,,", "123456789012345678901:4"} {
		if parts := parsePrefix(value); parts != nil {
			t.Errorf("%q: %v", value, parts)
		}
	}
}

func TestNormalizeHost(t *testing.T) {
	for host, want := range map[string]string{
		"Ficu95.Example:8144": "ficu95.example", "ficu95.example": "ficu95.example", "[::1]": "[::1]", "[::1]:80": "[::1]",
	} {
		if got := normalizeHost(host); got != want {
			t.Errorf("%q: %q, want %q", host, got, want)
		}
	}
}

func TestAttemptQuota_Reserve(t *testing.T) {
	budget := 1
	a := attemptQuota{maxAttempts: 3, spendBudget: func() bool { budget--; return budget >= 0 }}
	if !a.reserve(1) || budget != 1 {
		t.Fatal("the first call needed budget")
	}
	if !a.reserve(1) || budget != 1 {
		t.Fatal("the first call was paid for twice")
	}
	a.countAttempt()
	if !a.reserve(1) || budget != 0 {
		t.Fatal("the second call was not paid for")
	}
	a.release()
	if a.reserve(1) {
		t.Fatal("a third call without budget")
	}
	if a.used != 1 || a.reserve(3) {
		t.Fatal("more calls than attempts")
	}
}
