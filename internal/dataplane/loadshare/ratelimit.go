package loadshare

import "time"

const (
	smallFleetRate  = 400. // datagrams per second that a node may send in a small fleet
	largeFleetRate  = 8.   // the same in a large fleet, where states arrive too late to help
	smallFleetPeers = 128  // peers up to which a fleet is small
	minBurst        = 40.  // datagrams that may be sent at once after a pause, at least
	tokenTolerance  = 1e-6 // missing tokens that are rounding errors

	// ResendInterval is the time after which an unchanged state that is not empty is sent again.
	ResendInterval = 300 * time.Millisecond
)

// RateLimiter is a token bucket that bounds the datagrams a node sends, so that the cost at each node does
// not grow with the fleet. The zero value is an empty bucket. It is not safe for concurrent use.
type RateLimiter struct {
	tokens    float64
	updatedAt time.Duration
}

// rateFor returns the datagrams per second that a node with so many peers may send.
func rateFor(peers int) float64 {
	if peers > smallFleetPeers {
		return largeFleetRate
	}
	return smallFleetRate
}

// Reserve takes the tokens for sending a state to so many peers and returns 0, or takes none and returns
// how long to wait for them.
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
