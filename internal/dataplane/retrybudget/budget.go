package retrybudget

import "time"

const (
	// slackShare is the share of the slack that all nodes together use. The rest covers calls that arrive
	// later than they were decided, and nodes that do not know of one another yet.
	slackShare = 0.8
	// ratioShare is the share of the ratio that a node uses. A call at the start of a window may rest on
	// requests of the window before it, and a call of another node at the end on those of this window:
	// together up to twice the requests of the fuller one. One half covers that.
	ratioShare = 0.5
	// windowSlots is the number of slots of a window in which requests are counted.
	windowSlots = 32
)

// Rules are the parameters of the rule. They must be equal on all nodes.
type Rules struct {
	Ratio  float64 // calls per request
	Slack  float64 // calls per window that need no request
	Window time.Duration
}

// Budget is the budget of one node for one service: a sliding window of the calls spent, against what the
// requests of the same window allow. It is not safe for concurrent use.
type Budget struct {
	rules    Rules
	started  time.Duration
	requests requestCounts
	spends   []time.Duration // within the last window, oldest first
}

// New returns a budget from which nothing has been spent. Its slack grows from zero over the first window,
// since an earlier process of this node may have spent it shortly before.
func New(rules Rules, now time.Duration) *Budget {
	return &Budget{rules: rules, started: now, requests: newRequestCounts(rules.Window)}
}

// RecordRequest counts a client request for the service.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.add(now) }

// TrySpend takes one call from the budget, and reports whether it was there. Nodes is the number of nodes
// that share the slack, this one included.
func (b *Budget) TrySpend(now time.Duration, nodes int) bool {
	b.expire(now)
	if float64(len(b.spends)+1) > b.allowed(now, nodes) {
		return false
	}
	b.spends = append(b.spends, now)
	return true
}

// Spent returns the number of calls taken within the last window.
func (b *Budget) Spent(now time.Duration) int {
	b.expire(now)
	return len(b.spends)
}

// allowed returns the number of calls that this node may make within the last window.
func (b *Budget) allowed(now time.Duration, nodes int) float64 {
	fixed := slackShare * b.rules.Slack / float64(max(nodes, 1)) * b.warmup(now)
	earned := ratioShare * b.rules.Ratio * float64(b.requests.inWindow(now))
	return fixed + earned
}

// warmup returns the share of the first window that has passed since the start, at most 1.
func (b *Budget) warmup(now time.Duration) float64 {
	if b.rules.Window <= 0 {
		return 1
	}
	return min(1, float64(now-b.started)/float64(b.rules.Window))
}

// expire drops the calls that are older than a window.
func (b *Budget) expire(now time.Duration) {
	expired := 0
	for expired < len(b.spends) && b.spends[expired] < now-b.rules.Window {
		expired++
	}
	if expired == 0 {
		return
	}
	remaining := copy(b.spends, b.spends[expired:])
	b.spends = b.spends[:remaining]
}
