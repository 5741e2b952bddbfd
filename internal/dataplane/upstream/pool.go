package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Defaults of options and calls.
const (
	DefaultDialTimeout = 400 * time.Millisecond
	DefaultIdleTimeout = 2 * time.Second
	DefaultUserTimeout = 2 * time.Second
	DefaultBodyLimit   = 8 << 20
)

const (
	headLimit  = 32 << 10               // bytes of an answer's head
	leastSweep = 100 * time.Millisecond // between two looks for kept connections whose time is over
)

// Options of a pool; all may be left out.
type Options struct {
	// MaxConnections returns the most connections to an address, idle ones with them; nil or a figure of 0
	// stands for no bound. Above it a call fails at once with NotSent and Full.
	MaxConnections func(address string) int
	// MaxTotal is the most connections to all addresses; 0 stands for no bound.
	MaxTotal    int
	DialTimeout time.Duration // 0 stands for DefaultDialTimeout
	IdleTimeout time.Duration // of kept connections whose worker told none; 0 stands for DefaultIdleTimeout
	// UserTimeout is how long bytes sent may stay without acknowledgement; 0 stands for DefaultUserTimeout.
	UserTimeout time.Duration
	// Probe is the time of silence after which the system asks whether the other side is there still; 0 stands for
	// never.
	Probe time.Duration
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// Dial opens a connection; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps connections to workers. Its methods may be called from several goroutines.
type Pool struct {
	options Options
	now     func() time.Time

	mu     sync.Mutex
	peers  map[string]*peer
	total  int
	idle   int
	closed bool
	sweep  *time.Timer // nil: none is due
	counts Counts
}

// peer is one address.
type peer struct {
	address string
	open    int     // connections, those being made with them
	idle    []*conn // kept, the one used last at the end
	age     int     // changes with Forget
}

// New makes a pool.
func New(options Options) *Pool {
	p := &Pool{options: options, now: options.Now, peers: map[string]*peer{}}
	if p.now == nil {
		p.now = time.Now
	}
	setDefault(&p.options.DialTimeout, DefaultDialTimeout)
	setDefault(&p.options.IdleTimeout, DefaultIdleTimeout)
	setDefault(&p.options.UserTimeout, DefaultUserTimeout)
	if p.options.Dial == nil {
		p.options.Dial = p.dialTCP
	}
	return p
}

func setDefault(value *time.Duration, otherwise time.Duration) {
	if *value <= 0 {
		*value = otherwise
	}
}

// take returns a connection for a call: a kept one that is found open, or a new one.
func (p *Pool) take(ctx context.Context, call *Call) (*conn, *Failure) {
	if ctx.Err() != nil {
		return nil, &Failure{Result: NotSent, Reason: Cancelled, Err: ctx.Err()}
	}
	for !call.Fresh {
		c := p.takeIdle(call.Address)
		if c == nil {
			break
		}
		if c.isQuiet() {
			c.reused = true
			p.count(&p.counts.Reused)
			return c, nil
		}
		c.drop()
	}
	return p.dial(ctx, call.Address)
}

func (p *Pool) count(n *int64) {
	p.mu.Lock()
	*n++
	p.mu.Unlock()
}

// takeIdle takes the kept connection that was used last.
func (p *Pool) takeIdle(address string) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.peers[address]
	for to != nil && len(to.idle) > 0 {
		c := to.idle[len(to.idle)-1]
		p.removeIdle(to, len(to.idle)-1)
		if now.Before(c.idleUntil) {
			return c
		}
		p.counts.Expired++
		p.release(c)
		_ = c.socket.Close()
	}
	return nil
}

// removeIdle takes a kept connection out of its place. The caller holds the lock.
func (p *Pool) removeIdle(to *peer, at int) {
	copy(to.idle[at:], to.idle[at+1:])
	to.idle[len(to.idle)-1] = nil
	to.idle = to.idle[:len(to.idle)-1]
	p.idle--
}

// dial makes a new connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, *Failure) {
	c, failure := p.reserve(address)
	if failure != nil {
		return nil, failure
	}
	within, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	socket, err := p.options.Dial(within, address)
	if err == nil {
		c.socket = socket
		return c, nil
	}
	p.mu.Lock()
	p.counts.DialsFailed++
	p.release(c)
	p.mu.Unlock()
	return nil, &Failure{Result: NotSent, Reason: dialReason(ctx, err), Err: err}
}

func dialReason(ctx context.Context, err error) Reason {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return DialTimeout
	}
	return DialFailed
}

// reserve counts a connection to an address that is going to be made. Kept ones are closed for it where it would be one too many.
func (p *Pool) reserve(address string) (*conn, *Failure) {
	most := 0
	if p.options.MaxConnections != nil {
		most = p.options.MaxConnections(address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Failure{Result: NotSent, Reason: PoolClosed}
	}
	to := p.peers[address]
	if to == nil {
		to = &peer{address: address}
	}
	for most > 0 && to.open >= most && p.closeOldest(to) {
	}
	for p.options.MaxTotal > 0 && p.total >= p.options.MaxTotal && p.closeOldest(nil) {
	}
	if most > 0 && to.open >= most || p.options.MaxTotal > 0 && p.total >= p.options.MaxTotal {
		return nil, &Failure{Result: NotSent, Reason: Full}
	}
	p.peers[address] = to // also where the last of its connections was closed just now
	to.open++
	p.total++
	p.counts.Dials++
	return &conn{pool: p, to: to, age: to.age}, nil
}

// closeOldest closes the kept connection to an address whose time is over first; nil: of all addresses. The caller holds the lock.
func (p *Pool) closeOldest(of *peer) bool {
	var oldest *conn
	at := 0
	for _, to := range p.peers {
		if of != nil && to != of {
			continue
		}
		for i, c := range to.idle {
			if oldest == nil || c.idleUntil.Before(oldest.idleUntil) {
				oldest, at = c, i
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.removeIdle(oldest.to, at)
	p.release(oldest)
	_ = oldest.socket.Close()
	return true
}

// release gives the place of a connection back. The caller holds the lock.
func (p *Pool) release(c *conn) {
	if c.released {
		return
	}
	c.released = true
	c.to.open--
	p.total--
	if c.to.open == 0 {
		delete(p.peers, c.to.address)
	}
}

// keep takes a connection back after a whole answer.
func (p *Pool) keep(c *conn, rest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.released || c.age != c.to.age || rest <= 0 {
		p.release(c)
		_ = c.socket.Close()
		return
	}
	c.idleUntil = p.now().Add(rest)
	c.to.idle = append(c.to.idle, c)
	p.idle++
	if p.sweep == nil {
		p.sweep = time.AfterFunc(max(rest, leastSweep), p.expire)
	}
}

// expire closes the kept connections whose time is over, and comes back when the next one's is.
func (p *Pool) expire() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	var next time.Time
	for _, to := range p.peers {
		for i := len(to.idle) - 1; i >= 0; i-- {
			c := to.idle[i]
			if now.Before(c.idleUntil) {
				if next.IsZero() || c.idleUntil.Before(next) {
					next = c.idleUntil
				}
				continue
			}
			p.counts.Expired++
			p.removeIdle(to, i)
			p.release(c)
			_ = c.socket.Close()
		}
	}
	if !next.IsZero() && !p.closed {
		p.sweep = time.AfterFunc(max(next.Sub(now), leastSweep), p.expire)
	}
}

// Forget closes the idle connections to an address, and those in use once they are done.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to := p.peers[address]; to != nil {
		to.age++
		p.closeIdle(to)
	}
}

// closeIdle closes all kept connections to an address. The caller holds the lock.
func (p *Pool) closeIdle(to *peer) {
	for len(to.idle) > 0 {
		c := to.idle[0]
		p.removeIdle(to, 0)
		p.release(c)
		_ = c.socket.Close()
	}
}

// Close closes the kept connections, and those in use once they are done. Calls fail from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, to := range p.peers {
		p.closeIdle(to)
	}
	if p.sweep != nil {
		p.sweep.Stop()
		p.sweep = nil
	}
}

// Counts returns what the pool has done.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Open, counts.Idle = int64(p.total), int64(p.idle)
	return counts
}
