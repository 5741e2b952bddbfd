// Package eventloop runs the node's single event loop, on gnet: TCP connections with their
// buffers, listeners, datagrams, timers and the clock. It implements no protocol; package protocol
// is built on it.
//
// All callbacks run on the loop, one at a time, so that the state they own needs no locks.
// Calls that may block (dials, accepts, datagrams) run in goroutines of their own, which reach the
// loop by Post. handover.go passes connections between two processes of a node.
package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

const (
	maxReadSize     = 64 << 10 // bytes
	acceptBackoff   = 20 * time.Millisecond
	maxDatagramSize = 2 << 10 // bytes
	discardPort     = 9       // the discard service (RFC 863)
)

// Loop is the event loop. Its methods must be called on the loop, except where their comments
// say otherwise.
type Loop struct {
	gnet.BuiltinEventEngine

	Timers timerqueue.Queue // fired by the loop, on its clock

	client     *gnet.Client
	engineLoop gnet.EventLoop
	conns      slottable.Table[*Conn]
	current    *Conn         // whose callback is running
	epoch      time.Duration // start, since the Unix epoch
	start      time.Time
	clock      Clock // nil: the system's
	now        time.Duration
	turnDepth  int           // of nested turns: when a callback closes a connection, gnet calls OnClose at once
	timer      *time.Timer   // runs runTimers at timerAt
	timerAt    time.Duration // 0: timer is not set
}

// engineLogger passes gnet's warnings and errors to the node's log, and drops the rest.
type engineLogger struct{}

func (engineLogger) Debugf(string, ...any) {}
func (engineLogger) Infof(string, ...any)  {}
func (engineLogger) Warnf(format string, args ...any) {
	slog.Warn("event loop", "says", fmt.Sprintf(format, args...))
}
func (engineLogger) Errorf(format string, args ...any) {
	slog.Error("event loop", "says", fmt.Sprintf(format, args...))
}
func (engineLogger) Fatalf(format string, args ...any) {
	slog.Error("event loop", "says", fmt.Sprintf(format, args...))
}

// Clock replaces the system's clock in tests. A loop with a Clock fires timers only in Tick.
type Clock func() time.Duration

// NewLoop starts a loop; Stop ends it. A nil clock stands for the system's.
func NewLoop(clock Clock) (*Loop, error) {
	start := time.Now()
	l := &Loop{start: start, clock: clock, epoch: time.Duration(start.UnixMicro()) * time.Microsecond}
	l.timer = time.AfterFunc(time.Hour, func() { l.Post(l.runTimers) })
	l.timer.Stop()
	client, err := gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(maxReadSize),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(engineLogger{}))
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	l.client = client
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := l.findEngineLoop(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return l, nil
}

// findEngineLoop obtains gnet's event loop, which only a connection provides: it enrolls a
// datagram socket to the discard port and closes it again. With a Unix socket instead, the node
// would not start where those are forbidden.
func (l *Loop) findEngineLoop() error {
	conn, err := net.DialUDP("udp4", nil, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: discardPort})
	if err != nil {
		return err
	}
	enrolled, err := l.client.Enroll(conn)
	if err != nil {
		return err
	}
	l.engineLoop = enrolled.EventLoop()
	return enrolled.Close()
}

// Now returns the time since the Unix epoch, in whole microseconds. The clock is read once a turn,
// that is, once for each callback of gnet. It is monotonic from the loop's start, and comparable to
// the clocks of other machines.
func (l *Loop) Now() time.Duration { return l.now }

// beginTurn starts a turn of the loop and reads the clock.
func (l *Loop) beginTurn() {
	l.turnDepth++
	if l.turnDepth > 1 {
		return
	}
	if l.clock != nil {
		l.now = l.clock()
		return
	}
	l.now = l.epoch + time.Since(l.start).Truncate(time.Microsecond)
}

// endTurn ends a turn of the loop and sets the system timer to the time of the next timer.
func (l *Loop) endTurn() {
	l.turnDepth--
	if l.turnDepth > 0 {
		return
	}
	at, ok := l.Timers.Next()
	if !ok || l.clock != nil || l.timerAt != 0 && l.timerAt <= at {
		return
	}
	l.timerAt = at
	l.timer.Reset(max(at-l.now, 0))
}

// runTimers fires the timers that are due.
func (l *Loop) runTimers() {
	l.timerAt = 0
	l.Timers.Run(l.now)
}

// Tick fires the timers that are due by the Clock and waits for their callbacks. It must be called
// outside the loop.
func (l *Loop) Tick() { l.Call(func() { l.Timers.Run(l.now) }) }

// Post runs f on the loop. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	// The only error is that the loop has stopped; f is not run then.
	_ = l.engineLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		l.beginTurn()
		f()
		l.endTurn()
		return nil
	}))
}

// Call runs f on the loop and waits for it. It must be called outside the loop.
func (l *Loop) Call(f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	<-done
}

// Stop ends the loop. It must be called outside the loop.
func (l *Loop) Stop() error { return l.client.Stop() }

// Dial opens a connection without blocking the loop. done is called on the loop with the
// connection or the error, unless cancel is called before; a connection opened after that is
// closed. If the dial fails or is cancelled, released is called once it uses no descriptor any
// more: before done, or in its place.
func (l *Loop) Dial(address string, timeout time.Duration, handler Handler, done func(*Conn, error), released func()) (cancel func()) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	cancelled := false
	c := &Conn{loop: l, handler: handler}
	c.onOpen = func() {
		stop()
		if cancelled {
			c.Close()
			released()
			return
		}
		done(c, nil)
	}
	go func() {
		var dialer net.Dialer
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_, err = l.client.EnrollContext(raw, c)
		}
		if err != nil {
			l.Post(func() {
				stop()
				released()
				if !cancelled {
					done(nil, err)
				}
			})
		}
	}()
	return func() {
		cancelled = true
		stop()
	}
}

// DatagramSocket is a UDP socket.
type DatagramSocket struct{ conn *net.UDPConn }

// ListenDatagrams receives datagrams on an address until the socket is closed, and calls handle on
// the loop with each. It may be called outside the loop.
func (l *Loop) ListenDatagrams(address string, handle func(from netip.AddrPort, data []byte)) (*DatagramSocket, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	go func() {
		buf := make([]byte, maxDatagramSize)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if isClosed(err) {
				return
			}
			if err != nil {
				continue // an ICMP error for a datagram sent earlier
			}
			data := append([]byte(nil), buf[:n]...)
			l.Post(func() { handle(from, data) })
		}
	}()
	return &DatagramSocket{conn: conn}, nil
}

// Send sends a datagram, which may be lost.
func (p *DatagramSocket) Send(to *net.UDPAddr, data []byte) {
	_, _ = p.conn.WriteToUDP(data, to)
}

// Close closes the socket.
func (p *DatagramSocket) Close() { _ = p.conn.Close() }

// OnOpen is gnet's callback for a connection that the loop has registered.
func (l *Loop) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	c, ok := raw.Context().(*Conn)
	if !ok {
		return nil, gnet.None // the socket of findEngineLoop
	}
	l.beginTurn()
	defer l.endTurn()
	c.raw = raw
	c.handle = l.conns.Add(c)
	return nil, c.run(c.onOpen)
}

// OnTraffic is gnet's callback for received bytes.
func (l *Loop) OnTraffic(raw gnet.Conn) gnet.Action {
	c, ok := raw.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	l.beginTurn()
	defer l.endTurn()
	data, _ := raw.Next(-1)
	return c.run(func() { c.receive(data) })
}

// OnClose is gnet's callback for a connection that has ended.
func (l *Loop) OnClose(raw gnet.Conn, _ error) gnet.Action {
	c, ok := raw.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	l.beginTurn()
	defer l.endTurn()
	l.conns.Remove(c.handle)
	if c.onClose != nil {
		c.onClose()
	}
	if !c.closed {
		c.closed = true
		c.unsent = raw.OutboundBuffered() > 0
		if c.handler != nil {
			c.handler.Closed(c)
		}
	}
	if c.onEnded != nil {
		c.onEnded()
	}
	return gnet.None
}
