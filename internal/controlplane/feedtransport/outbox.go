package feedtransport

import "sync"

// Limits of an outbox.
const (
	maxOutboxReports = 64
	maxOutboxBytes   = 256 << 10 // total size of the bodies
)

// outbox queues reports until they are sent. Beyond its limits it drops the oldest reports.
type outbox struct {
	ready chan struct{} // capacity 1; receives a token when a report is queued

	mu      sync.Mutex // guards the fields below
	reports []Report
	bytes   int // total size of their bodies
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// add queues a report, and drops the oldest ones if a limit is exceeded.
func (o *outbox) add(report Report) {
	o.mu.Lock()
	o.reports = append(o.reports, report)
	o.bytes += len(report.Body)
	for len(o.reports) > maxOutboxReports || o.bytes > maxOutboxBytes {
		o.bytes -= len(o.reports[0].Body)
		o.reports = o.reports[1:]
	}
	o.mu.Unlock()
	notify(o.ready)
}

// drain removes and returns the queued reports.
func (o *outbox) drain() []Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	reports := o.reports
	o.reports, o.bytes = nil, 0
	return reports
}

// notify puts a token into a channel of capacity one, unless it already holds one.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
