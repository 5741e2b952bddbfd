package localfleet

import (
	"math/rand/v2"
	"net"
	"time"
)

// Link describes the simulated delay and loss of a relay. The zero value forwards without delay.
//
// Loss is modelled as TCP applications see it: no bytes go missing, they arrive later. A lost segment delays itself
// and everything behind it by a retransmission timeout and another one-way delay.
type Link struct {
	Delay time.Duration // one-way delay
	Loss  float64       // probability from 0 to below 1 that one transmission of a segment is lost
}

const (
	segmentBytes         = 1448
	minRetransmitTimeout = 200 * time.Millisecond
	linkQueueLength      = 256 // segments in flight
)

// segment is a chunk of bytes in flight.
type segment struct {
	data []byte
	due  time.Time
}

// copyBytes forwards bytes in order until either connection ends or fails.
func (l Link) copyBytes(to, from net.Conn) {
	queue := make(chan segment, linkQueueLength)
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

// arrival returns the arrival time of a segment sent now.
func (l Link) arrival(now time.Time) time.Time {
	at := now.Add(l.Delay)
	for l.Loss > 0 && rand.Float64() < l.Loss {
		at = at.Add(max(minRetransmitTimeout, 2*l.Delay) + l.Delay)
	}
	return at
}

// deliver writes each segment at its due time, until the queue is closed or a write fails.
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
