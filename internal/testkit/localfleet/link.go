package localfleet

import (
	"math/rand/v2"
	"net"
	"time"
)

// Link describes the delay and loss of a relay. The zero value forwards at once.
//
// Loss shows as it does to users of TCP: the bytes arrive later. A lost segment delays all that follows for a
// retransmission time-out beside the delay.
type Link struct {
	Delay time.Duration // one way
	Loss  float64       // share of segments that are lost at first
}

const (
	segmentBytes         = 1448
	minRetransmitTimeout = 200 * time.Millisecond
	linkQueue            = 256 // segments in flight
)

// segment is a chunk of bytes in flight.
type segment struct {
	data []byte
	due  time.Time
}

// copyBytes forwards bytes in order until either connection ends.
func (l Link) copyBytes(to, from net.Conn) {
	queue := make(chan segment, linkQueue)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		deliver(to, queue)
	}()
	defer close(queue)
	for {
		buffer := make([]byte, segmentBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			select {
			case queue <- segment{data: buffer[:count], due: l.arrival(time.Now())}:
			case <-ended:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// arrival returns when a segment that is sent now arrives.
func (l Link) arrival(now time.Time) time.Time {
	at := now.Add(l.Delay)
	for l.Loss > 0 && rand.Float64() < l.Loss {
		at = at.Add(max(minRetransmitTimeout, 2*l.Delay) + l.Delay)
	}
	return at
}

// deliver writes segments when they are due, until the queue is closed or a write fails.
func deliver(to net.Conn, queue <-chan segment) {
	for one := range queue {
		if wait := time.Until(one.due); wait > 0 {
			time.Sleep(wait)
		}
		if _, err := to.Write(one.data); err != nil {
			return
		}
	}
}
