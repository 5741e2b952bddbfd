package dispatch

import (
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/http1"
)

// allowance is how long a request may be held from its first byte on: for the route's time, and no longer than the client
// waits. Where the client names several times the shortest counts; one that cannot be meant counts for nothing.
func allowance(fields http1.Header, most time.Duration) time.Duration {
	allowed := most
	for i := range fields {
		if !http1.EqualFold(fields[i].Name, fieldDeadline) {
			continue
		}
		for value := range strings.SplitSeq(fields[i].Value, ",") {
			allowed = min(allowed, parseWait(value, most))
		}
	}
	return allowed
}

// parseWait reads how long a client waits, in milliseconds; otherwise stands for what cannot be read, is negative or longer.
func parseWait(value string, otherwise time.Duration) time.Duration {
	millis, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(millis >= 0 && millis < otherwise.Seconds()*1000) {
		return otherwise
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// spent is how long a request took to come in. The client's time and the route's run from its first byte.
func spent(request *httpserver.Request) time.Duration {
	if request.FirstByteAt.IsZero() {
		return 0
	}
	return max(request.ReadAt.Sub(request.FirstByteAt), 0)
}

// Held tells for how long a request may be held from its first byte on. It is 0 where the request is answered at once, since
// no route takes it.
func (d *Dispatcher) Held(request *httpserver.Request) time.Duration {
	route := d.routeOf(d.view.Load(), request)
	if route == nil {
		return 0
	}
	return allowance(request.Header, route.Timeout)
}
