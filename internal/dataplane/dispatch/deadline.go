package dispatch

import (
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/http1"
)

// timeLimit returns the time limit for the response, counted from the request's first byte: the route's timeout, or the client's
// X-Request-Deadline if that is shorter. Of several values the shortest applies; invalid ones are ignored.
func timeLimit(fields http1.Header, routeTimeout time.Duration) time.Duration {
	limit := routeTimeout
	for i := range fields {
		if !http1.EqualFold(fields[i].Name, fieldRequestDeadline) {
			continue
		}
		for value := range strings.SplitSeq(fields[i].Value, ",") {
			limit = min(limit, parseDeadlineField(value, routeTimeout))
		}
	}
	return limit
}

// parseDeadlineField parses a client's time limit in milliseconds. It returns fallback if the value is invalid, negative or
// longer than fallback.
func parseDeadlineField(value string, fallback time.Duration) time.Duration {
	millis, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(millis >= 0 && millis < fallback.Seconds()*1000) {
		return fallback
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// receiveDuration returns how long it took to receive a request. Time limits count from its first byte.
func receiveDuration(request *httpserver.Request) time.Duration {
	if request.FirstByteAt.IsZero() {
		return 0
	}
	return max(request.ReadAt.Sub(request.FirstByteAt), 0)
}

// TimeLimit returns the time limit for the response, counted from the request's first byte. It is 0 for a request without a
// route, which gets its response immediately.
func (d *Dispatcher) TimeLimit(request *httpserver.Request) time.Duration {
	route := d.routeOf(d.view.Load(), request)
	if route == nil {
		return 0
	}
	return timeLimit(request.Header, route.Timeout)
}
