package dispatch

import (
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/http1"
)

// timeLimit is how long a request may be held from its first byte on: for the route's time, and no longer than the client
// waits. Where the client names several times the shortest counts; one that cannot be meant counts for nothing.
func timeLimit(fields http1.Header, routeTimeout time.Duration) time.Duration {
	limit := routeTimeout
	for i := range fields {
		if !http1.EqualFold(fields[i].Name, fieldDeadline) {
			continue
		}
		for value := range strings.SplitSeq(fields[i].Value, ",") {
			limit = min(limit, parseDeadlineField(value, routeTimeout))
		}
	}
	return limit
}

// parseDeadlineField reads how long a client waits, in milliseconds; otherwise stands for what cannot be read, is negative or longer.
func parseDeadlineField(value string, fallback time.Duration) time.Duration {
	millis, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(millis >= 0 && millis < fallback.Seconds()*1000) {
		return fallback
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// receiveTime is how long a request took to come in. The client's time and the route's run from its first byte.
func receiveTime(request *httpserver.Request) time.Duration {
	if request.FirstByteAt.IsZero() {
		return 0
	}
	return max(request.ReadAt.Sub(request.FirstByteAt), 0)
}

// TimeLimit tells for how long a request may be held from its first byte on. It is 0 where the request is answered at once, since
// no route takes it.
func (d *Dispatcher) TimeLimit(request *httpserver.Request) time.Duration {
	route := d.routeOf(d.view.Load(), request)
	if route == nil {
		return 0
	}
	return timeLimit(request.Header, route.Timeout)
}
