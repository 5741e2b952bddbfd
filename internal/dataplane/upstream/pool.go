package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	defaultDialTimeout  = 400 * time.Millisecond
	defaultIdleTimeout  = 2 * time.Second // of connections to workers without a Keep-Alive field
	defaultMaxBodyBytes = 8 << 20
	// userTimeout is how long bytes sent may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
)

const (
	maxHeadBytes     = 32 << 10               // of a response's head
	minSweepInterval = 100 * time.Millisecond // between two searches for expired idle connections
)

// Options are the options of a pool. The zero value is valid.
type Options struct {
	// MaxConnections returns the limit of connections to an address, idle ones included; nil or a limit of 0 stands for none. A
	// request beyond it fails at once with NotSent and PoolExhausted.
	MaxConnections func(address string) int
	// MaxTotal is the limit of connections to all addresses; 0 stands for none.
	MaxTotal    int
	DialTimeout time.Duration // 0 stands for 400 ms

	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// Dial opens a connection; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool pools connections to workers by address. Its methods may be called from several goroutines; no lock is held while a connection
// is dialed, read or written.
type Pool struct {
	options Options
	now     func() time.Time

	mu         sync.Mutex // guards all below, and the endpoints
	endpoints  map[string]*endpointPool
	total      int // connections to all addresses
	idle       int // of these, idle ones
	closed     bool
	sweepTimer *time.Timer // closes expired connections; nil if none is idle
	counts     Counts
}

// endpointPool is the connections to one address.
type endpointPool struct {
	address    string
	open       int     // connections, those being opened included
	idle       []*conn // the one used last at the end
	generation int     // raised by CloseEndpoint: connections of an earlier one are not reused
}

// New returns a pool without connections.
func New(options Options) *Pool {
	p := &Pool{options: options, now: options.Now, endpoints: map[string]*endpointPool{}}
	if p.now == nil {
		p.now = time.Now
	}
	if p.options.DialTimeout <= 0 {
		p.options.DialTimeout = defaultDialTimeout
	}
	if p.options.Dial == nil {
		p.options.Dial = dialTCP
	}
	return p
}

// getConn returns a connection for a request: an idle one that is still open, or a new one.
func (p *Pool) getConn(ctx context.Context, request *Request) (*conn, *Failure) {
	if ctx.Err() != nil {
		return nil, &Failure{Result: NotSent, Reason: Canceled, Err: ctx.Err()}
	}
	for !request.ForceNewConn {
		c := p.popIdle(request.Address)
		if c == nil {
			break
		}
		if c.isReusable() {
			c.reused = true
			p.increment(&p.counts.Reused)
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, request.Address)
}

func (p *Pool) increment(counter *int64) {
	p.mu.Lock()
	*counter++
	p.mu.Unlock()
}

// popIdle takes the idle connection that was used last, or returns nil. It closes those that have expired.
func (p *Pool) popIdle(address string) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := p.endpoints[address]
	for endpoint != nil && len(endpoint.idle) > 0 {
		c := endpoint.idle[len(endpoint.idle)-1]
		p.removeIdle(endpoint, len(endpoint.idle)-1)
		if now.Before(c.idleUntil) {
			return c
		}
		p.counts.Expired++
		p.releaseSlot(c)
		_ = c.socket.Close()
	}
	return nil
}

// removeIdle removes the idle connection at the given position. The caller holds the lock.
func (p *Pool) removeIdle(endpoint *endpointPool, position int) {
	copy(endpoint.idle[position:], endpoint.idle[position+1:])
	endpoint.idle[len(endpoint.idle)-1] = nil
	endpoint.idle = endpoint.idle[:len(endpoint.idle)-1]
	p.idle--
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, *Failure) {
	c, failure := p.reserveSlot(address)
	if failure != nil {
		return nil, failure
	}
	dialCtx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	socket, err := p.options.Dial(dialCtx, address)
	if err == nil {
		c.socket = socket
		return c, nil
	}
	p.mu.Lock()
	p.counts.DialsFailed++
	p.releaseSlot(c)
	p.mu.Unlock()
	return nil, &Failure{Result: NotSent, Reason: dialReason(ctx, err), Err: err}
}

func dialReason(ctx context.Context, err error) Reason {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return Canceled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return DialTimeout
	}
	return DialFailed
}

// reserveSlot reserves a slot for a connection that is to be opened. At a limit it closes idle connections for it.
func (p *Pool) reserveSlot(address string) (*conn, *Failure) {
	maxConns := 0
	if p.options.MaxConnections != nil {
		maxConns = p.options.MaxConnections(address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Failure{Result: NotSent, Reason: PoolClosed}
	}
	endpoint := p.endpoints[address]
	if endpoint == nil {
		endpoint = &endpointPool{address: address}
	}
	for maxConns > 0 && endpoint.open >= maxConns && p.closeNextToExpire(endpoint) {
	}
	for p.options.MaxTotal > 0 && p.total >= p.options.MaxTotal && p.closeNextToExpire(nil) {
	}
	if maxConns > 0 && endpoint.open >= maxConns || p.options.MaxTotal > 0 && p.total >= p.options.MaxTotal {
		return nil, &Failure{Result: NotSent, Reason: PoolExhausted}
	}
	p.endpoints[address] = endpoint // also if its last connection was closed just now
	endpoint.open++
	p.total++
	p.counts.Dials++
	return &conn{pool: p, endpoint: endpoint, generation: endpoint.generation}, nil
}

// closeNextToExpire closes the idle connection that expires first, of one address or, if only is nil, of all. It reports whether
// there was one. The caller holds the lock.
func (p *Pool) closeNextToExpire(only *endpointPool) bool {
	var oldest *conn
	position := 0
	for _, endpoint := range p.endpoints {
		if only != nil && endpoint != only {
			continue
		}
		for i, c := range endpoint.idle {
			if oldest == nil || c.idleUntil.Before(oldest.idleUntil) {
				oldest, position = c, i
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.removeIdle(oldest.endpoint, position)
	p.releaseSlot(oldest)
	_ = oldest.socket.Close()
	return true
}

// releaseSlot releases the slot of a connection, once. The caller holds the lock.
func (p *Pool) releaseSlot(c *conn) {
	if c.released {
		return
	}
	c.released = true
	c.endpoint.open--
	p.total--
	if c.endpoint.open == 0 {
		delete(p.endpoints, c.endpoint.address)
	}
}

// putIdle takes a connection back after a complete response, for the given time.
func (p *Pool) putIdle(c *conn, idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.released || c.generation != c.endpoint.generation || idleTime <= 0 {
		p.releaseSlot(c)
		_ = c.socket.Close()
		return
	}
	c.idleUntil = p.now().Add(idleTime)
	c.endpoint.idle = append(c.endpoint.idle, c)
	p.idle++
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(max(idleTime, minSweepInterval), p.closeExpired)
	}
}

// closeExpired closes the expired idle connections and sets the timer for the next.
func (p *Pool) closeExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepTimer = nil
	var next time.Time
	for _, endpoint := range p.endpoints {
		for i := len(endpoint.idle) - 1; i >= 0; i-- {
			c := endpoint.idle[i]
			if now.Before(c.idleUntil) {
				if next.IsZero() || c.idleUntil.Before(next) {
					next = c.idleUntil
				}
				continue
			}
			p.counts.Expired++
			p.removeIdle(endpoint, i)
			p.releaseSlot(c)
			_ = c.socket.Close()
		}
	}
	if !next.IsZero() && !p.closed {
		p.sweepTimer = time.AfterFunc(max(next.Sub(now), minSweepInterval), p.closeExpired)
	}
}

// CloseEndpoint closes the idle connections to an address, and those in use after their round trips.
func (p *Pool) CloseEndpoint(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint := p.endpoints[address]; endpoint != nil {
		endpoint.generation++
		p.closeIdle(endpoint)
	}
}

// closeIdle closes all idle connections to an address. The caller holds the lock.
func (p *Pool) closeIdle(endpoint *endpointPool) {
	for len(endpoint.idle) > 0 {
		c := endpoint.idle[0]
		p.removeIdle(endpoint, 0)
		p.releaseSlot(c)
		_ = c.socket.Close()
	}
}

// Close closes the idle connections, and those in use after their round trips. Further requests fail with PoolClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, endpoint := range p.endpoints {
		p.closeIdle(endpoint)
	}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
		p.sweepTimer = nil
	}
}

// Counts returns the counters and gauges.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Open, counts.Idle = int64(p.total), int64(p.idle)
	return counts
}
