package feedtransport

import "sync"

const (
	maxOutboxReports = 64
	maxOutboxBytes   = 256 << 10
)

// outbox holds reports until they are sent. Where they exceed its bounds, the oldest are dropped.
type outbox struct {
	ready chan struct{} // holds a token while reports may be waiting

	mu      sync.Mutex
	reports []Report
	bytes   int
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

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

func (o *outbox) drain() []Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	reports := o.reports
	o.reports, o.bytes = nil, 0
	return reports
}

// notify leaves a token in a channel with room for one.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
