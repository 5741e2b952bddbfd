package loadgen

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync/atomic"
	"testing"
	"time"
)

func TestPlan(t *testing.T) {
	c := Config{Rate: 1000, Duration: 10 * time.Second, Seed: 3, Classes: []Class{{Name: "a", Share: 0.8}, {Name: "b", Share: 0.2}}}
	arrivals, again := c.plan(), c.plan()
	if !reflect.DeepEqual(arrivals, again) {
		t.Errorf("two plans with seed %d differ", c.Seed)
	}
	counts := map[string]int{}
	for _, a := range arrivals {
		counts[a.class.Name]++
	}
	if n := len(arrivals); n < 9700 || n > 10300 || counts["b"] < 1800 || counts["b"] > 2200 {
		t.Errorf("planned %d requests, %v by class; want 9700 to 10300, and 1800 to 2200 of class b", n, counts)
	}
}

// Guards against coordinated omission: while a server stalls, the later requests must still be sent on time, and their
// latencies must include the stall.
func TestRun_latencyIncludesStalls(t *testing.T) {
	var received atomic.Int32
	allReceived := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) == 50 {
			close(allReceived) // although no request has got a response yet
		}
		<-allReceived
		if r.URL.Path == "/refused" {
			w.WriteHeader(503)
		}
	}))
	defer s.Close()
	c := Config{URL: s.URL, Rate: 500, Duration: 100 * time.Millisecond, Classes: []Class{{Name: "a", Share: 1, Target: time.Nanosecond, Deadline: time.Second}}}
	for len(c.plan()) != 50 {
		c.Seed++
	}
	got := Run(t.Context(), c)
	if got.Sent != 50 || got.Served != 50 || got.WithinTarget != 0 || got.FractionWithinTarget() != 0 || got.Latency.TotalCount() != 50 {
		t.Errorf("50 requests to a stalled server, with a target of 1 ns: got %+v, want all served and none within the target", got)
	}
	c.Classes[0].Name = "refused"
	if got := Run(t.Context(), c); got.Refused != 50 || got.Served != 0 {
		t.Errorf("50 requests to a server that answers 503: got %+v, want all refused", got)
	}
	s.Close()
	if got := Run(t.Context(), c); got.Broken != 50 {
		t.Errorf("50 requests to a closed server: got %+v, want all broken", got)
	}
}
