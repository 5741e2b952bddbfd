package loadshare

import "time"

const (
	smallFleetRate  = 400. // datagrams a second that a node of a fleet may send
	largeFleetRate  = 8.   // the same in a large fleet, where states come too late to help
	smallFleetPeers = 128  // peers from which a fleet is large
	tokenTolerance  = 1e-6 // datagrams below which nothing is missing
	minBurst        = 40.  // datagrams that may be sent at once after a rest
	// ResendInterval is after how long an unchanged state that is not empty is sent again.
	ResendInterval = 300 * time.Millisecond
)

// RateLimiter bounds how many datagrams a node sends, so that the cost at a node does not grow with the fleet.
type RateLimiter struct {
	tokens    float64
	updatedAt time.Duration
}

// rateFor is how many datagrams a second a node with so many peers may send.
func rateFor(peers int) float64 {
	if peers > smallFleetPeers {
		return largeFleetRate
	}
	return smallFleetRate
}

// Reserve returns how long a state for so many peers is to be held back, and takes the datagrams from the budget
// if that is zero.
func (l *RateLimiter) Reserve(now time.Duration, peers int) time.Duration {
	rate := rateFor(peers)
	capacity := max(minBurst, float64(peers))
	l.tokens = min(capacity, l.tokens+rate*(now-l.updatedAt).Seconds())
	l.updatedAt = now
	missing := float64(peers) - l.tokens
	if missing <= tokenTolerance {
		l.tokens -= float64(peers)
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}
