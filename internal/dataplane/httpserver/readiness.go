package httpserver

import "net/http"

const readinessPath = "/-/ready"

// ReadinessHandler returns a handler that responds to "GET /-/ready" with status 200 if ready returns true and 503 otherwise, and
// to any other request with 404.
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
