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
		t.Fatalf("picked %v for weights 90 and 10, want a 900 times and b 100 times", counts)
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
			t.Errorf("time limit for deadline field %q is %v, want %v", value, got, want)
		}
	}
	if got := timeLimit(nil, time.Second); got != time.Second {
		t.Errorf("time limit without a deadline field is %v, want 1s", got)
	}
}

func TestParsePrefix_invalid(t *testing.T) {
	for _, value := range []string{"", "zz:1", "12", "12:4,,", "123456789012345678901:4"} {
		if segments := parsePromptPrefix(value); segments != nil {
			t.Errorf("parsed %q as %v, want nil", value, segments)
		}
	}
}

func TestNormalizeHost(t *testing.T) {
	for host, want := range map[string]string{
		"Ficu95.Example:8144": "ficu95.example", "ficu95.example": "ficu95.example", "[::1]": "[::1]", "[::1]:80": "[::1]",
	} {
		if got := normalizeHost(host); got != want {
			t.Errorf("host %q normalized to %q, want %q", host, got, want)
		}
	}
}

func TestAttemptQuota_Reserve(t *testing.T) {
	budget := 1
	quota := attemptQuota{maxAttempts: 3, spendBudget: func() bool { budget--; return budget >= 0 }}
	if !quota.reserve(1) || budget != 1 {
		t.Fatalf("budget is %d after the first reservation, want 1 and success: the first attempt needs no budget", budget)
	}
	if !quota.reserve(1) || budget != 1 {
		t.Fatalf("budget is %d after the first attempt was reserved again, want 1 and success", budget)
	}
	quota.countAttempt()
	if !quota.reserve(1) || budget != 0 {
		t.Fatalf("budget is %d after the second attempt was reserved, want 0 and success", budget)
	}
	quota.consumeReservation()
	if quota.reserve(1) {
		t.Fatal("a third attempt was reserved without budget")
	}
	if quota.used != 1 || quota.reserve(3) {
		t.Fatalf("%d attempts used, want 1, and a reservation of three more to exceed maxAttempts", quota.used)
	}
}
