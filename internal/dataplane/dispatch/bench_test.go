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

// BenchmarkDispatcher_Serve_prefillAndStream measures a request with a prefill and a stream of eight events, without sockets.
func BenchmarkDispatcher_Serve_prefillAndStream(b *testing.B) {
	h := &testHarness{started: time.Now(), scripts: map[string][]script{}}
	h.defaultScript = func(_ string, call *upstream.Request) script {
		if call.Header.Get(fieldServingStage) == stagePrefill {
			return respondWithHandle("h1")
		}
		return streamEvents(1, 8, func(s *scriptedEvents) { s.gap = 0 })
	}
	h.route = testRoute()
	chooser := &scriptedChooser{results: map[*selection.Call][]string{}}
	chooser.addChoices("p1>d1")
	d := New(Options{
		WorkerClient: h, Chooser: chooser, Now: h.now, Random: func() float64 { return 0 },
		Budget: retrybudget.Rules{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	})
	d.SetView(testView(h.route))
	request := &httpserver.Request{
		Context: context.Background(), Method: "POST", Target: testPath, Path: testPath, Host: testHost,
		Header: http1.Header{
			{Name: fieldRequestID, Value: testRequestID}, {Name: fieldTokenCount, Value: "1460,80"},
			{Name: fieldPromptPrefix, Value: "5c1e07a2:800,91bd3f06:660"}, {Name: fieldRequestDeadline, Value: "3000"},
		},
	}
	b.ReportAllocs()
	for b.Loop() {
		d.Serve(&recordingClient{harness: h}, request)
		h.calls, chooser.calls, chooser.requests = nil, nil, nil
		clear(chooser.results)
	}
}
