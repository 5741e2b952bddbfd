package httpserver

// ReadinessHandler answers "GET /-/ready" with 200 or 503, and all else with 404.
func ReadinessHandler(ready func() bool) Handler {
	return func(w *ResponseWriter, r *Request) {
		status := 404
		if r.Path == "/-/ready" && r.Method == "GET" {
			status = 503
			if ready() {
				status = 200
			}
		}
		_ = w.WriteResponse(status, nil, nil)
	}
}
