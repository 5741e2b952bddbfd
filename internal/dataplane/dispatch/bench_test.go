package dispatch

import (
	"context"
	"testing"
	"time"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

// BenchmarkHandOver is the cost of one stream of eight events whose prompt is read apart, without sockets.
func BenchmarkHandOver(b *testing.B) {
	r := &rig{started: time.Now(), scripts: map[string][]script{}}
	r.others = func(_ string, call *upstream.Request) script {
		if call.Header.Get(fieldStage) == stagePrefill {
			return hands("h1")
		}
		return streams(1, 8, func(s *scriptedEvents) { s.gap = 0 })
	}
	r.route = routeOfTests()
	chooser := &scriptedChooser{ended: map[*selection.Call][]string{}}
	chooser.offers("p1>d1")
	d := New(Options{
		Workers: r, Chooser: chooser, Now: r.now, Draw: func() float64 { return 0 },
		Budget: retrybudget.Rules{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	})
	d.SetView(testView(r.route))
	request := &httpserver.Request{
		Context: context.Background(), Method: "POST", Target: testPath, Path: testPath, Host: testHost,
		Header: http1.Header{
			{Name: fieldRequestID, Value: testID}, {Name: fieldTokenCount, Value: "1460,80"},
			{Name: fieldPrefix, Value: "5c1e07a2:800,91bd3f06:660"}, {Name: fieldDeadline, Value: "3000"},
		},
	}
	b.ReportAllocs()
	for b.Loop() {
		d.Serve(&client{r: r}, request)
		r.calls, chooser.order, chooser.asked = nil, nil, nil
		clear(chooser.ended)
	}
}
