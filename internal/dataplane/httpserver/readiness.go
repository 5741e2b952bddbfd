package httpserver

import "net/http"

const readinessPath = "/-/ready"

// ReadinessHandler returns a handler that answers "GET /-/ready" with 200 or 503, and anything else with 404.
func ReadinessHandler(ready func() bool) Handler {
	return func(w *ResponseWriter, r *Request) {
		status := http.StatusNotFound
		if r.Path == readinessPath && r.Method == http.MethodGet {
			status = http.StatusServiceUnavailable
			if ready() {
				status = http.StatusOK
			}
		}
		_ = w.WriteResponse(status, nil, nil)
	}
}
