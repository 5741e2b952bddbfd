package proxy

import (
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
)

const (
	pathMetrics = "/-/metrics"
	statusOK    = 200

	readinessConnections = 64
)

// newReadiness makes the server that the platform asks whether to send clients here.
func (p *proxy) newReadiness() *httpserver.Server {
	check := httpserver.Readiness(p.ready)
	return httpserver.New(httpserver.Options{
		Handler: func(w *httpserver.ResponseWriter, r *httpserver.Request) {
			if r.Path == pathMetrics {
				p.writeMetrics(w)
				return
			}
			check(w, r)
		},
		Limits:         func() configuration.Limits { return configuration.Limits{} },
		MaxConnections: readinessConnections,
	})
}

// ready tells whether clients may be sent here: a configuration has come, and the process is not to end.
func (p *proxy) ready() bool {
	view := p.dispatcher.View()
	return view != nil && view.Generation > 0 && p.closing.Load() == nil
}
