package proxy

import (
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
)

const (
	metricsPath             = "/-/metrics"
	maxReadinessConnections = 64
)

// newReadinessServer returns the server for the platform's readiness checks. It also serves the plain-text metrics page.
func (p *proxy) newReadinessServer() *httpserver.Server {
	readinessHandler := httpserver.ReadinessHandler(p.isReady)
	return httpserver.New(httpserver.Options{
		Handler: func(w *httpserver.ResponseWriter, r *httpserver.Request) {
			if r.Path == metricsPath {
				p.writeMetrics(w)
				return
			}
			readinessHandler(w, r)
		},
		Limits:         func() configuration.Limits { return configuration.Limits{} },
		MaxConnections: maxReadinessConnections,
	})
}

// isReady reports whether the platform may send clients to this process: whether it has a configuration and is not shutting down.
func (p *proxy) isReady() bool {
	view := p.dispatcher.View()
	return view != nil && view.Generation > 0 && p.shutdown.Load() == nil
}
