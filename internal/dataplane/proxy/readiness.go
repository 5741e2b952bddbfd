package proxy

import (
	"fmt"
	"strings"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/http1"
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

// writeMetrics answers with the process's figures, a name and a number in each line.
func (p *proxy) writeMetrics(w *httpserver.ResponseWriter) {
	var text strings.Builder
	p.addViewMetrics(&text)
	appendMetrics(&text, "dispatch", fmt.Sprintf("%+v", p.dispatcher.Counts()))
	appendMetrics(&text, "front", fmt.Sprintf("%+v", p.front.Counts()))
	appendMetrics(&text, "workers", fmt.Sprintf("%+v", p.pool.Counts()))
	fields := http1.Fields{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}
	_ = w.Answer(statusOK, fields, []byte(text.String()))
}

func (p *proxy) addViewMetrics(text *strings.Builder) {
	view := p.dispatcher.View()
	if view == nil {
		return
	}
	workers := 0
	for _, listed := range view.Workers {
		workers += len(listed)
	}
	fmt.Fprintf(text, "view_generation %d\nview_nodes %d\nview_workers %d\n", view.Generation, view.Nodes, workers)
}

// appendMetrics writes a printed structure of counters, "{Name:1 Other:2}", one to a line.
func appendMetrics(text *strings.Builder, group, printed string) {
	for field := range strings.FieldsSeq(strings.Trim(printed, "{}")) {
		name, value, _ := strings.Cut(field, ":")
		fmt.Fprintf(text, "%s_%s %s\n", group, strings.ToLower(name), value)
	}
}
