package proxy

import (
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
)

const (
	pathMetrics = "/-/metrics"
	statusOK    = 200

	maxReadinessConnections = 64
)

// newReadinessServer makes the server that the platform asks whether to send clients here.
func (p *proxy) newReadinessServer() *httpserver.Server {
	check := httpserver.ReadinessHandler(p.isReady)
	return httpserver.New(httpserver.Options{
		Handler: func(w *httpserver.ResponseWriter, r *httpserver.Request) {
			if r.Path == pathMetrics {
				p.writeMetrics(w)
				return
			}
			check(w, r)
		},
		Limits:         func() configuration.Limits { return configuration.Limits{} },
		MaxConnections: maxReadinessConnections,
	})
}

// isReady tells whether clients may be sent here: a configuration has come, and the process is not to end.
func (p *proxy) isReady() bool {
	view := p.dispatcher.View()
	return view != nil && view.Generation > 0 && p.shutdown.Load() == nil
}
