// Package retrybudget limits the calls that a node makes to a service beyond the first of each
// request. The rule holds for all nodes together: within any window of a given length they make at
// most Ratio times the requests of the service plus Slack such calls. Nodes do not tell each other
// what they spent, so each keeps to a share that needs no other node's figures.
//
// The package has no clock and no I/O; instants are arguments on the caller's monotonic clock.
package retrybudget

import "time"

const (
	// slackShare is the part of the slack that all nodes together use. The rest covers calls that
	// arrive later than they were decided, and nodes that do not know of one another yet.
	slackShare = 0.8
	// ratioShare is the part of the ratio that a node uses. A call at the start of a window may rest on
	// requests of the window before it, and a call of another node at the end on those of
	// this window: together up to twice the fuller one of both. One half covers that.
	ratioShare = 0.5
	// windowSlots is the number of pieces of a window in which requests are counted.
	windowSlots = 32
)

// Rules are the figures of the rule, equal on all nodes.
type Rules struct {
	Ratio  float64 // calls per request
	Slack  float64 // calls per window that need no request
	Window time.Duration
}

// Budget is the account of one node for one service. It is not safe for concurrent use.
type Budget struct {
	rules    Rules
	started  time.Duration
	requests requestCounts
	spends   []time.Duration // within the last window, oldest first
}

// New returns an empty account. The share of the slack grows over the first window from zero, since
// an earlier process of this node may have spent it shortly before.
func New(rules Rules, now time.Duration) *Budget {
	return &Budget{rules: rules, started: now, requests: newRequestCounts(rules.Window)}
}

// RecordRequest notes a client's request for the service.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.add(now) }

// TrySpend takes one call out of the account and tells whether it was there. Nodes is the
// number of nodes that share the slack, this one included.
func (b *Budget) TrySpend(now time.Duration, nodes int) bool {
	b.expire(now)
	if float64(len(b.spends)+1) > b.allowed(now, nodes) {
		return false
	}
	b.spends = append(b.spends, now)
	return true
}

// Spent returns the calls taken within the last window.
func (b *Budget) Spent(now time.Duration) int {
	b.expire(now)
	return len(b.spends)
}

func (b *Budget) allowed(now time.Duration, nodes int) float64 {
	fixed := slackShare * b.rules.Slack / float64(max(nodes, 1)) * b.warmup(now)
	earned := ratioShare * b.rules.Ratio * float64(b.requests.inWindow(now))
	return fixed + earned
}

// warmup is the part of the first window that has passed since the start, at most 1.
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
