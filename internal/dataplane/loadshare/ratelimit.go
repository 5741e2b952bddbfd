package loadshare

import "time"

const (
	smallFleetRate     = 400. // datagrams per second that a node may send in a small fleet
	largeFleetRate     = 8.   // the same in a large fleet, where a state arrives too late to be of use anyway
	maxSmallFleetPeers = 128  // largest number of peers in a small fleet
	minBurst           = 40.  // smallest capacity of the token bucket, in datagrams
	tokenTolerance     = 1e-6 // a shortfall up to this is a rounding error

	// ResendInterval is the time after which a non-empty state is sent again although it has not changed.
	ResendInterval = 300 * time.Millisecond
)

// RateLimiter is a token bucket that limits how many datagrams a node sends, so that the cost for each
// node does not grow with the size of the fleet. The zero value is an empty bucket. A RateLimiter is not
// safe for concurrent use.
type RateLimiter struct {
	tokens    float64
	updatedAt time.Duration
}

// rateFor returns how many datagrams per second a node with the given number of peers may send.
func rateFor(peers int) float64 {
	if peers > maxSmallFleetPeers {
		return largeFleetRate
	}
	return smallFleetRate
}

// Reserve takes one token for each peer and returns 0 if there are enough of them. Otherwise it takes none
// and returns how long to wait until there are.
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
