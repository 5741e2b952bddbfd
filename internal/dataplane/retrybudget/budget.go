package retrybudget

import "time"

const (
	// slackShare is the share of the slack that all nodes together may use. The rest covers calls that reach
	// a worker later than they were granted, and nodes that do not know of one another yet.
	slackShare = 0.8
	// ratioShare is the share of the ratio that a node may use. Within one window, a node may be granted a
	// call at the start for requests of the previous window, and another node a call at the end for requests
	// of this window: together they use up to twice the requests of the busier one. One half covers that.
	ratioShare = 0.5
	// bucketsPerWindow is the number of time buckets into which a window is divided to count requests.
	bucketsPerWindow = 32
)

// Rules are the limits of a service's calls, described in the package comment. They must be the same on all
// nodes.
type Rules struct {
	Ratio  float64 // calls allowed for each request
	Slack  float64 // calls allowed in each window regardless of requests
	Window time.Duration
}

// Budget is the budget of one node for one service. It compares the calls within a sliding window with the
// number that the requests within the same window allow. A Budget is not safe for concurrent use.
type Budget struct {
	rules     Rules
	startedAt time.Duration
	requests  requestCounts
	spentAt   []time.Duration // times of the calls within the last window, oldest first
}

// New returns a budget without any calls. Its slack grows from zero to its full size over the first window,
// since an earlier process on this node may have used it shortly before.
func New(rules Rules, now time.Duration) *Budget {
	return &Budget{rules: rules, startedAt: now, requests: newRequestCounts(rules.Window)}
}

// SetRules changes the rules. If the window changes, the requests are counted anew and the slack grows from zero again: how much of the
// new window had been used is not known. Calls within the last window stay counted.
func (b *Budget) SetRules(now time.Duration, rules Rules) {
	if rules.Window != b.rules.Window {
		b.startedAt = now
		b.requests = newRequestCounts(rules.Window)
	}
	b.rules = rules
}

// RecordRequest counts a client request to the service.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.add(now) }

// TrySpend reports whether the budget allows one more call, and if so counts that call. nodes is the number
// of nodes that share the slack, including this one.
func (b *Budget) TrySpend(now time.Duration, nodes int) bool {
	b.expire(now)
	if float64(len(b.spentAt)+1) > b.allowed(now, nodes) {
		return false
	}
	b.spentAt = append(b.spentAt, now)
	return true
}

// Spent returns the number of calls counted within the last window.
func (b *Budget) Spent(now time.Duration) int {
	b.expire(now)
	return len(b.spentAt)
}

// allowed returns the number of calls that this node may make within the last window.
func (b *Budget) allowed(now time.Duration, nodes int) float64 {
	slack := slackShare * b.rules.Slack / float64(max(nodes, 1)) * b.warmupFraction(now)
	earned := ratioShare * b.rules.Ratio * float64(b.requests.inWindow(now))
	return slack + earned
}

// warmupFraction returns the part of the first window that has passed since the start, at most 1.
func (b *Budget) warmupFraction(now time.Duration) float64 {
	if b.rules.Window <= 0 {
		return 1
	}
	return min(1, float64(now-b.startedAt)/float64(b.rules.Window))
}

// expire removes the calls that are older than a window.
func (b *Budget) expire(now time.Duration) {
	expired := 0
	for expired < len(b.spentAt) && b.spentAt[expired] < now-b.rules.Window {
		expired++
	}
	if expired == 0 {
		return
	}
	remaining := copy(b.spentAt, b.spentAt[expired:])
	b.spentAt = b.spentAt[:remaining]
}
