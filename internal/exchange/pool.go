package exchange

import (
	"context"
	"net"
	"time"
)

// Options of a pool; all may be left out.
type Options struct {
	// MaxConnections returns the most connections to an address, idle ones with them; nil or a figure of 0
	// stands for no bound. Above it a call fails at once with NotSent and Full.
	MaxConnections func(address string) int
	DialTimeout    time.Duration // 0 stands for DefaultDialTimeout
	IdleTimeout    time.Duration // of kept connections whose worker told none; 0 stands for DefaultIdleTimeout
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// Dial opens a connection; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps connections to workers. Its methods may be called from several goroutines.
type Pool struct{ options Options }

// New makes a pool.
func New(options Options) *Pool { return &Pool{options: options} }

// Do sends a call and returns its answer, or a *Failure as the error (and no other type). The end of the context closes the
// connection, also while a Stream is read. Nothing is sent a second time.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, *Failure) { panic("not yet") }

// Forget closes the idle connections to an address, and those in use once they are done.
func (p *Pool) Forget(address string) { panic("not yet") }

// Close closes all connections. Calls fail from then on.
func (p *Pool) Close() { panic("not yet") }

// Counts returns what the pool has done.
func (p *Pool) Counts() Counts { panic("not yet") }

// Stream is the body of an event stream.
type Stream struct{}

// Next waits for the next events. After a batch with Last it returns io.EOF, and after a stream cut short a
// *Failure.
func (s *Stream) Next() (*Batch, error) { panic("not yet") }

// Close gives the stream up: its connection is closed unless the body has ended. It may be called at any time, from any goroutine.
func (s *Stream) Close() { panic("not yet") }
