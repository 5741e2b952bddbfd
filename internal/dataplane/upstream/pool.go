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
	defaultIdleTimeout  = 2 * time.Second // for workers that send no Keep-Alive field
	defaultMaxBodyBytes = 8 << 20
	// userTimeout is the maximum time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
)

const (
	maxHeadBytes     = 32 << 10               // limit of a response's head
	minSweepInterval = 100 * time.Millisecond // between two sweeps for expired idle connections
)

// Options configures a Pool. The zero value is valid.
type Options struct {
	// MaxConnections returns the limit of connections to an address, including idle ones; nil or a limit of 0 means no limit. A
	// request that would exceed the limit fails immediately with NotSent and PoolExhausted.
	MaxConnections func(address string) int
	// MaxTotalConnections is the limit of connections to all addresses together; 0 means no limit.
	MaxTotalConnections int
	DialTimeout         time.Duration // 0 means 400 ms

	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Dial opens a connection; nil means TCP over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool pools connections to workers by address. Its methods are safe for concurrent use; no lock is held while a connection is
// dialed, read or written.
type Pool struct {
	options Options
	now     func() time.Time

	mu         sync.Mutex // guards all fields below and the contents of the endpoints
	endpoints  map[string]*endpointPool
	total      int // connections to all addresses, including those being opened
	idle       int // idle connections to all addresses
	closed     bool
	sweepTimer *time.Timer // runs closeExpired; nil if not scheduled
	counts     Counts
}

// endpointPool holds the connections to one address.
type endpointPool struct {
	address    string
	open       int     // connections, including those being opened
	idle       []*conn // in the order of their last use, most recent last
	generation int     // incremented by CloseEndpoint; connections of earlier generations are not reused
}

// New returns an empty pool.
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

// getConn returns a connection for a request: an idle one that is still open, or else a new one.
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

// popIdle removes and returns the most recently used idle connection that has not expired, or nil if there is none. It closes the
// expired connections that it finds on the way.
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

// removeIdle removes the idle connection at the given index. The caller holds the lock.
func (p *Pool) removeIdle(endpoint *endpointPool, index int) {
	copy(endpoint.idle[index:], endpoint.idle[index+1:])
	endpoint.idle[len(endpoint.idle)-1] = nil
	endpoint.idle = endpoint.idle[:len(endpoint.idle)-1]
	p.idle--
}

// dial reserves a slot and opens a new connection.
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

// reserveSlot reserves a slot for a connection to be opened. If a limit is reached, it closes idle connections to free a slot.
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
	for maxConns > 0 && endpoint.open >= maxConns && p.closeFirstExpiring(endpoint) {
	}
	for p.options.MaxTotalConnections > 0 && p.total >= p.options.MaxTotalConnections && p.closeFirstExpiring(nil) {
	}
	if maxConns > 0 && endpoint.open >= maxConns || p.options.MaxTotalConnections > 0 && p.total >= p.options.MaxTotalConnections {
		return nil, &Failure{Result: NotSent, Reason: PoolExhausted}
	}
	p.endpoints[address] = endpoint // closing the last idle connection above may have removed it
	endpoint.open++
	p.total++
	p.counts.Dials++
	return &conn{pool: p, endpoint: endpoint, generation: endpoint.generation}, nil
}

// closeFirstExpiring closes the idle connection that expires first, among those of the endpoint filter or, if filter is nil, among
// all. It reports whether there was one. The caller holds the lock.
func (p *Pool) closeFirstExpiring(filter *endpointPool) bool {
	var earliest *conn
	index := 0
	for _, endpoint := range p.endpoints {
		if filter != nil && endpoint != filter {
			continue
		}
		for i, c := range endpoint.idle {
			if earliest == nil || c.idleUntil.Before(earliest.idleUntil) {
				earliest, index = c, i
			}
		}
	}
	if earliest == nil {
		return false
	}
	p.removeIdle(earliest.endpoint, index)
	p.releaseSlot(earliest)
	_ = earliest.socket.Close()
	return true
}

// releaseSlot releases the slot of a connection; further calls have no effect. The caller holds the lock.
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

// putIdle returns a connection to the pool after a complete response, to be kept for idleTime. It closes a connection that cannot
// be reused.
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

// closeExpired closes the expired idle connections and schedules the next sweep.
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

// CloseEndpoint closes the idle connections to an address. Connections in use are closed at the end of their round trips.
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

// Close closes the idle connections. Connections in use are closed at the end of their round trips. Further requests fail with
// PoolClosed.
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

// Counts returns the current counters and gauges.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Open, counts.Idle = int64(p.total), int64(p.idle)
	return counts
}
