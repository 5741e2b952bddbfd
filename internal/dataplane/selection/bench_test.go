package selection

import (
	"testing"
	"time"
)

func BenchmarkSelector_Choose(b *testing.B) {
	f := newSimFleet(90, 90, 5, 1, selectorPolicy)
	for _, kind := range trafficKinds {
		f.startTraffic(kind, 6)
	}
	f.clock.run(10 * time.Second)
	s := f.selectors[0]
	requests := make([]*Request, 256)
	for i := range requests {
		requests[i] = f.request(trafficKinds[i%len(trafficKinds)])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.Choose(f.clock.now, requests[i%len(requests)], nil)
	}
}
