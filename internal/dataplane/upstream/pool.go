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
	DefaultDialTimeout  = 400 * time.Millisecond
	DefaultIdleTimeout  = 2 * time.Second
	DefaultUserTimeout  = 2 * time.Second
	DefaultMaxBodyBytes = 8 << 20
)

const (
	maxHeadBytes     = 32 << 10               // bytes of an answer's head
	minSweepInterval = 100 * time.Millisecond // between two looks for kept connections whose time is over
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
	// KeepAliveInterval is the time of silence after which the system asks whether the other side is there still; 0 stands for
	// never.
	KeepAliveInterval time.Duration
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// Dial opens a connection; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps connections to workers. Its methods may be called from several goroutines.
type Pool struct {
	options Options
	now     func() time.Time

	mu         sync.Mutex
	endpoints  map[string]*endpointPool
	total      int
	idle       int
	closed     bool
	sweepTimer *time.Timer // nil: none is due
	counts     Counts
}

// endpointPool is one address.
type endpointPool struct {
	address    string
	open       int     // connections, those being made with them
	idle       []*conn // kept, the one used last at the end
	generation int     // changes with Forget
}

// New makes a pool.
func New(options Options) *Pool {
	p := &Pool{options: options, now: options.Now, endpoints: map[string]*endpointPool{}}
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

// getConn returns a connection for a call: a kept one that is found open, or a new one.
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

func (p *Pool) increment(n *int64) {
	p.mu.Lock()
	*n++
	p.mu.Unlock()
}

// popIdle takes the kept connection that was used last.
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

// removeIdle takes a kept connection out of its place. The caller holds the lock.
func (p *Pool) removeIdle(endpoint *endpointPool, position int) {
	copy(endpoint.idle[position:], endpoint.idle[position+1:])
	endpoint.idle[len(endpoint.idle)-1] = nil
	endpoint.idle = endpoint.idle[:len(endpoint.idle)-1]
	p.idle--
}

// dial makes a new connection.
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

// reserveSlot counts a connection to an address that is going to be made. Kept ones are closed for it where it would be one too many.
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
	p.endpoints[address] = endpoint // also where the last of its connections was closed just now
	endpoint.open++
	p.total++
	p.counts.Dials++
	return &conn{pool: p, endpoint: endpoint, generation: endpoint.generation}, nil
}

// closeNextToExpire closes the kept connection to an address whose time is over first; nil: of all addresses. The caller holds the lock.
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

// releaseSlot gives the place of a connection back. The caller holds the lock.
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

// putIdle takes a connection back after a whole answer.
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

// closeExpired closes the kept connections whose time is over, and comes back when the next one's is.
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

// CloseEndpoint closes the idle connections to an address, and those in use once they are done.
func (p *Pool) CloseEndpoint(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint := p.endpoints[address]; endpoint != nil {
		endpoint.generation++
		p.closeIdle(endpoint)
	}
}

// closeIdle closes all kept connections to an address. The caller holds the lock.
func (p *Pool) closeIdle(endpoint *endpointPool) {
	for len(endpoint.idle) > 0 {
		c := endpoint.idle[0]
		p.removeIdle(endpoint, 0)
		p.releaseSlot(c)
		_ = c.socket.Close()
	}
}

// Close closes the kept connections, and those in use once they are done. Calls fail from then on.
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

// Counts returns what the pool has done.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Open, counts.Idle = int64(p.total), int64(p.idle)
	return counts
}
