package simnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Timeouts of a connection, like those of TCP_USER_TIMEOUT and TCP keepalive.
const (
	userTimeout      = 1500 * time.Millisecond // limit for sent bytes that are not acknowledged
	keepaliveTimeout = 3500 * time.Millisecond // limit for a peer from which nothing arrives
)

var (
	errReset     = os.NewSyscallError("read", syscall.ECONNRESET)
	errTimeout   = os.NewSyscallError("write", syscall.ETIMEDOUT)
	errPowerLost = errors.New("simnet: the machine has lost power")
)

// segment is data, or the end of the stream, in flight to one end of a connection.
type segment struct {
	data    []byte
	arrival time.Time // time of its arrival
	delayed bool      // held back by a partition
	end     error     // io.EOF or a reset that follows data; nil if the stream continues
}

// conn is one end of a connection. It is guarded by the mutex of the network.
type conn struct {
	network      *Network
	process      *Process
	path         Path // from this end to the peer
	local        address
	remote       address
	peer         *conn
	stream       uint64
	segmentsSent uint64

	inbox            []segment
	deadline         time.Time // deadline of reads
	changed          chan struct{}
	closed           error // reason why this end is closed; nil while it is open
	partitionedSince time.Time
	partitioned      bool // whether either direction is blocked, since partitionedSince
	timeoutScheduled bool // a timer that calls checkTimeout is running

	userTimeout time.Duration // limit for sent bytes that are not acknowledged; 0: none
	worker      bool          // of a connection to a worker, see DialWorker
	resets      bool          // closing it resets the connection and discards what was not delivered
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error { return nil } // writes never block

func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.deadline = t
	c.signalChange()
	return nil
}

func (c *conn) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Read blocks until bytes arrive, the connection ends or the deadline passes, and while the process is frozen.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		if !c.process.AwaitRunning() {
			return 0, net.ErrClosed
		}
		count, wait, err := c.readArrived(buffer)
		if count > 0 || err != nil {
			return count, err
		}
		c.waitForChange(wait)
	}
}

// waitForChange returns when the state of this end may have changed, or after the given time. Without a positive time it waits
// for a change only.
func (c *conn) waitForChange(wait time.Duration) {
	if wait <= 0 {
		<-c.changed
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.changed:
	case <-timer.C:
	}
}

// readArrived copies bytes that have arrived into buffer. If there are none it returns an error or how long to wait.
func (c *conn) readArrived(buffer []byte) (count int, wait time.Duration, err error) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	now := time.Now()
	switch {
	case c.closed != nil:
		return 0, 0, c.closed
	case !c.deadline.IsZero() && !now.Before(c.deadline):
		return 0, 0, os.ErrDeadlineExceeded
	}
	if len(c.inbox) == 0 || c.inbox[0].delayed || c.inbox[0].arrival.After(now) {
		return 0, c.nextWait(now), nil
	}
	first := &c.inbox[0]
	if first.end != nil {
		return 0, 0, first.end
	}
	count = copy(buffer, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		c.inbox = c.inbox[1:]
	}
	return count, 0, nil
}

// nextWait returns the time until the next segment arrives or the deadline passes, or 0 if neither is known.
func (c *conn) nextWait(now time.Time) time.Duration {
	var wait time.Duration
	if !c.deadline.IsZero() {
		wait = c.deadline.Sub(now)
	}
	if len(c.inbox) > 0 && !c.inbox[0].delayed {
		if next := c.inbox[0].arrival.Sub(now); wait == 0 || next < wait {
			wait = next
		}
	}
	return wait
}

// Write sends bytes without blocking. Data that is written while the process is frozen is sent when it is thawed.
func (c *conn) Write(data []byte) (int, error) {
	c.network.mutex.Lock()
	closed := c.closed
	c.network.mutex.Unlock()
	if closed != nil {
		return 0, closed
	}
	if len(data) == 0 {
		return 0, nil
	}
	copied := append([]byte(nil), data...)
	c.process.send(func() {
		c.network.mutex.Lock()
		defer c.network.mutex.Unlock()
		if c.closed == nil {
			c.transmit(segment{data: copied})
		}
	})
	return len(data), nil
}

// transmit sends a segment to the peer. The caller holds the mutex of the network, as for all functions below that do not lock it.
func (c *conn) transmit(sent segment) {
	now := time.Now()
	c.segmentsSent++
	blocked := c.network.blocked(c.path)
	if c.peer.closed != nil {
		if !blocked && !c.network.blocked(c.path.reverse()) && sent.end == nil {
			c.resetLater(2 * c.network.delay(c.path, c.stream, c.segmentsSent))
		} else {
			c.scheduleTimeout(c.userTimeout)
		}
		return
	}
	sent.delayed = blocked
	sent.arrival = now.Add(c.network.delay(c.path, c.stream, c.segmentsSent))
	c.peer.enqueue(sent)
	if c.partitioned {
		c.scheduleTimeout(c.userTimeout)
	}
}

// enqueue adds a segment to the inbox of this end, after all segments that are already queued.
func (c *conn) enqueue(sent segment) {
	if len(c.inbox) > 0 {
		before := c.inbox[len(c.inbox)-1]
		if before.end != nil {
			return
		}
		if !sent.arrival.After(before.arrival) {
			sent.arrival = before.arrival.Add(1)
		}
		sent.delayed = sent.delayed || before.delayed
	}
	c.inbox = append(c.inbox, sent)
	if len(c.inbox) == 1 {
		c.signalChange()
	}
}

// resetLater resets this end after the given time.
func (c *conn) resetLater(after time.Duration) {
	time.AfterFunc(after, func() {
		c.network.mutex.Lock()
		defer c.network.mutex.Unlock()
		if c.closed == nil {
			c.fail(errReset)
		}
	})
}

// updatePartition updates this end after paths were opened or blocked.
func (c *conn) updatePartition(now time.Time) {
	forward, back := c.network.blocked(c.path), c.network.blocked(c.path.reverse())
	partitioned := forward || back
	if partitioned && !c.partitioned {
		c.partitionedSince = now
	}
	c.partitioned = partitioned
	c.delayInbox(c.network.blockedInFlight(c.path.reverse()), now)
	if partitioned && c.closed == nil {
		c.scheduleTimeout(c.userTimeout)
	}
}

// delayInbox holds back the segments that have not arrived yet, or releases those held back.
func (c *conn) delayInbox(blocked bool, now time.Time) {
	for i := range c.inbox {
		queued := &c.inbox[i]
		switch {
		case blocked && queued.arrival.After(now):
			queued.delayed = true
		case !blocked && queued.delayed:
			queued.delayed = false
			queued.arrival = now.Add(c.network.delay(c.path.reverse(), c.stream, uint64(i)) + time.Duration(i) + c.retransmissionPause(now))
		}
	}
	c.signalChange()
}

// maxRetransmissionPause is the longest pause between two retransmissions that a connection to a worker makes.
const maxRetransmissionPause = 6400 * time.Millisecond

// retransmissionPause draws the time from the end of a partition to the next retransmission on a connection to a worker. Pauses double, so it is
// at most as long as the partition was.
func (c *conn) retransmissionPause(now time.Time) time.Duration {
	longest := min(now.Sub(c.partitionedSince), maxRetransmissionPause)
	if !c.worker || longest <= 0 {
		return 0
	}
	return time.Duration(mix(c.network.seed^c.stream) % uint64(longest))
}

// scheduleTimeout calls checkTimeout after the given time, unless such a call is already scheduled.
func (c *conn) scheduleTimeout(after time.Duration) {
	if c.timeoutScheduled || c.userTimeout == 0 {
		return
	}
	c.timeoutScheduled = true
	time.AfterFunc(after, func() {
		c.network.mutex.Lock()
		defer c.network.mutex.Unlock()
		c.timeoutScheduled = false
		if c.closed == nil {
			c.checkTimeout(time.Now())
		}
	})
}

// checkTimeout fails this end if its bytes were not acknowledged in time or its peer is gone.
func (c *conn) checkTimeout(now time.Time) {
	duration := now.Sub(c.partitionedSince)
	switch {
	case c.partitioned && duration >= keepaliveTimeout, c.partitioned && duration >= c.userTimeout && c.unacknowledged():
		c.fail(errTimeout)
	case c.partitioned:
		c.scheduleTimeout(max(c.userTimeout-duration, 0) + time.Millisecond*50)
	case c.peer.closed != nil && !c.closeQueued():
		c.fail(errReset)
	}
}

// unacknowledged reports whether bytes sent by this end have not been acknowledged.
func (c *conn) unacknowledged() bool {
	if c.peer.closed != nil {
		return true
	}
	for _, queued := range c.peer.inbox {
		if queued.delayed {
			return true
		}
	}
	return c.network.blocked(c.path.reverse()) && c.segmentsSent > 0
}

// closeQueued reports whether the end of the stream is in flight to this end.
func (c *conn) closeQueued() bool {
	return len(c.inbox) > 0 && c.inbox[len(c.inbox)-1].end != nil
}

// fail closes this end and resets the peer if it is reachable.
func (c *conn) fail(reason error) {
	c.dropDelayed()
	c.detach(reason)
	if c.peer.closed != nil {
		return
	}
	if c.network.blocked(c.path) {
		c.peer.scheduleTimeout(keepaliveTimeout)
		return
	}
	if c.worker { // what the other machine has received can still be read
		c.sendEnd(errReset)
		return
	}
	c.peer.resetLater(c.network.delay(c.path, c.stream, c.segmentsSent))
}

// dropDelayed drops the segments sent by this end that a partition holds back.
func (c *conn) dropDelayed() {
	for i, queued := range c.peer.inbox {
		if queued.delayed {
			c.peer.inbox = c.peer.inbox[:i]
			return
		}
	}
}

// detach closes this end with the given reason and removes it from its network and process.
func (c *conn) detach(reason error) {
	c.closed = reason
	c.inbox = nil
	delete(c.network.conns, c)
	delete(c.process.conns, c)
	c.signalChange()
}

// SetLinger sets SO_LINGER: with 0, closing this end resets the connection and discards what was not delivered.
func (c *conn) SetLinger(seconds int) error {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.resets = seconds == 0
	return nil
}

// Close closes this end. Data already sent still arrives unless a partition holds it back for longer than userTimeout.
func (c *conn) Close() error {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.close()
	return nil
}

func (c *conn) close() {
	if c.closed != nil {
		return
	}
	end := io.EOF
	if len(c.inbox) > 0 && c.inbox[0].end == nil {
		end = errReset // as TCP does if received data was not read
	}
	if c.resets {
		c.fail(net.ErrClosed)
		return
	}
	c.detach(net.ErrClosed)
	if c.peer.closed != nil {
		return
	}
	c.sendEnd(end)
	if c.partitioned {
		c.scheduleDrop()
	}
	c.peer.scheduleTimeout(keepaliveTimeout)
}

// sendEnd sends the end of the stream behind the data in flight.
func (c *conn) sendEnd(end error) {
	c.segmentsSent++
	c.peer.enqueue(segment{
		arrival: time.Now().Add(c.network.delay(c.path, c.stream, c.segmentsSent)), delayed: c.network.blocked(c.path), end: end,
	})
}

// scheduleDrop drops data sent by this closed end if a partition still holds it back after userTimeout.
func (c *conn) scheduleDrop() {
	if c.userTimeout == 0 {
		return
	}
	since := c.partitionedSince
	time.AfterFunc(c.userTimeout, func() {
		c.network.mutex.Lock()
		defer c.network.mutex.Unlock()
		if c.peer.closed == nil && c.peer.partitioned && !c.peer.partitionedSince.After(since) {
			c.dropDelayed()
		}
	})
}

// closeSilently closes this end without notice to the peer, as a power loss does.
func (c *conn) closeSilently() {
	if c.closed != nil {
		return
	}
	c.dropDelayed()
	c.detach(errPowerLost)
	if c.peer.closed == nil {
		c.peer.scheduleTimeout(keepaliveTimeout)
	}
}
