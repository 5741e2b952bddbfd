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
	c := Config{Rate: 1000, For: 10 * time.Second, Seed: 3, Classes: []Class{{Name: "a", Share: 0.8}, {Name: "b", Share: 0.2}}}
	one, two := c.plan(), c.plan()
	if !reflect.DeepEqual(one, two) {
		t.Error("two plans of one seed differ")
	}
	of := map[string]int{}
	for _, s := range one {
		of[s.class.Name]++
	}
	if n := len(one); n < 9700 || n > 10300 || of["b"] < 1800 || of["b"] > 2200 {
		t.Errorf("%d requests, %v", n, of)
	}
}

// A server that stalls shows in the latency of all that came meanwhile, and none
// is skipped or delayed.
func TestStallsCount(t *testing.T) {
	var came atomic.Int32
	gate := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if came.Add(1) == 50 {
			close(gate) // opens once all have come, though none was answered yet
		}
		<-gate
		if r.URL.Path == "/refused" {
			w.WriteHeader(503)
		}
	}))
	defer s.Close()
	c := Config{URL: s.URL, Rate: 500, For: 100 * time.Millisecond, Classes: []Class{{Name: "a", Share: 1, Target: time.Nanosecond, Within: time.Second}}}
	for len(c.plan()) != 50 {
		c.Seed++
	}
	got := Run(t.Context(), c)
	if got.Sent != 50 || got.Served != 50 || got.WithinTarget != 0 || got.Service() != 0 || got.Latency.TotalCount() != 50 {
		t.Errorf("%+v", got)
	}
	c.Classes[0].Name = "refused"
	if got := Run(t.Context(), c); got.Refused != 50 || got.Served != 0 {
		t.Errorf("%+v", got)
	}
	s.Close()
	if got := Run(t.Context(), c); got.Broken != 50 {
		t.Errorf("%+v", got)
	}
}
