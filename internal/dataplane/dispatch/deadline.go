package dispatch

import (
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/http1"
)

// timeLimit returns the time in which a request must have its response, from its first byte on: the route's time-out, or less if
// the client says that it waits for less. Of several such values the shortest counts; invalid ones are ignored.
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

// parseDeadlineField parses how long a client waits, in milliseconds. It returns fallback if the value is invalid, negative
// or longer than that.
func parseDeadlineField(value string, fallback time.Duration) time.Duration {
	millis, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(millis >= 0 && millis < fallback.Seconds()*1000) {
		return fallback
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// receiveTime returns how long it took to receive a request. The time limits count from its first byte.
func receiveTime(request *httpserver.Request) time.Duration {
	if request.FirstByteAt.IsZero() {
		return 0
	}
	return max(request.ReadAt.Sub(request.FirstByteAt), 0)
}

// TimeLimit returns the time in which a request will have its response, from its first byte on. It is 0 for a request without a
// route, which is responded to at once.
func (d *Dispatcher) TimeLimit(request *httpserver.Request) time.Duration {
	route := d.routeOf(d.view.Load(), request)
	if route == nil {
		return 0
	}
	return timeLimit(request.Header, route.Timeout)
}
