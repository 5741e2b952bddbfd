// Package eventloop runs the node's one event loop, on gnet: TCP connections with their
// buffers, listeners, datagrams, timers and the clock. It knows no protocol; package protocol
// is built on it.
//
// All callbacks run on the loop, one at a time, so that the state they own needs no locks.
// What may block (dials, accepts, datagrams) runs in goroutines of its own and reaches the loop
// by Post. handover.go passes connections between two processes of a node.
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
	readChunk     = 64 << 10 // bytes of one read at most
	acceptBackoff = 20 * time.Millisecond
	packetBuffer  = 2 << 10 // bytes of a datagram at most
	discardPort   = 9       // the discard service (RFC 863)
)

// Loop is the event loop. Its methods must be called on the loop, except where their comments
// say otherwise.
type Loop struct {
	gnet.BuiltinEventEngine

	Timers timerqueue.Queue // fired by the loop, on its clock

	client     *gnet.Client
	engineLoop gnet.EventLoop
	conns      slottable.Table[*Conn]
	current    *Conn // whose callback is running
	epoch      time.Duration
	start      time.Time
	clock      Clock // nil: the system's
	now        time.Duration
	turnDepth  int // of nested turns: a close within a callback runs Closed at once
	timer      *time.Timer
	timerAt    time.Duration // what the timer is set to; 0: not set
}

// engineLogger passes gnet's warnings and errors to the node's log, and nothing else.
type engineLogger struct{}

func (engineLogger) Debugf(string, ...any) {}
func (engineLogger) Infof(string, ...any)  {}
func (engineLogger) Warnf(format string, v ...any) {
	slog.Warn("event loop", "says", fmt.Sprintf(format, v...))
}
func (engineLogger) Errorf(format string, v ...any) {
	slog.Error("event loop", "says", fmt.Sprintf(format, v...))
}
func (engineLogger) Fatalf(format string, v ...any) {
	slog.Error("event loop", "says", fmt.Sprintf(format, v...))
}

// Clock replaces the system's clock, for tests. A loop that has one fires timers at Tick alone.
type Clock func() time.Duration

// NewLoop starts a loop; Stop ends it. With a nil clock it uses the system's.
func NewLoop(clock Clock) (*Loop, error) {
	start := time.Now()
	l := &Loop{start: start, clock: clock, epoch: time.Duration(start.UnixMicro()) * time.Microsecond}
	l.timer = time.AfterFunc(time.Hour, func() { l.Post(l.runTimers) })
	l.timer.Stop()
	client, err := gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readChunk),
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

// findEngineLoop obtains gnet's event loop, which is available from a connection alone: a
// datagram socket to the discard port is enrolled for that, and closed again. It is no Unix
// socket, since the node would not start where those are forbidden.
func (l *Loop) findEngineLoop() error {
	conn, err := net.DialUDP("udp4", nil, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: discardPort})
	if err != nil {
		return err
	}
	c, err := l.client.Enroll(conn)
	if err != nil {
		return err
	}
	l.engineLoop = c.EventLoop()
	return c.Close()
}

// Now returns the loop's clock: microseconds since the Unix epoch, read once a turn. It is
// monotonic from the loop's start, and comparable to times of other machines.
func (l *Loop) Now() time.Duration { return l.now }

// beginTurn starts a turn of the loop: it reads the clock.
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

// endTurn ends a turn of the loop: it sets the system timer to the next timer's time.
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

// Tick fires the timers that are due by the Clock, and returns after that. It must be called
// outside the loop.
func (l *Loop) Tick() { l.Call(func() { l.Timers.Run(l.now) }) }

// Post runs f on the loop. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	// The only error is that the loop has stopped; f is dropped then.
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

// Dial opens a connection without blocking the loop. done gets the connection or the error, on
// the loop, unless cancel was called before: a connection opened after that is closed. If
// there is no connection, released is called once the dial uses no descriptor any more, before
// done or in its place.
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

// Packets is a UDP socket.
type Packets struct{ conn *net.UDPConn }

// ListenPackets receives datagrams on an address until the socket is closed; got is called on
// the loop with each. It may be called outside the loop.
func (l *Loop) ListenPackets(address string, got func(from netip.AddrPort, data []byte)) (*Packets, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	go func() {
		buf := make([]byte, packetBuffer)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if isClosed(err) {
				return
			}
			if err != nil {
				continue // an ICMP error of an earlier datagram
			}
			data := append([]byte(nil), buf[:n]...)
			l.Post(func() { got(from, data) })
		}
	}()
	return &Packets{conn: conn}, nil
}

// Send sends a datagram, which may be lost.
func (p *Packets) Send(to *net.UDPAddr, data []byte) {
	_, _ = p.conn.WriteToUDP(data, to)
}

// Close closes the socket.
func (p *Packets) Close() { _ = p.conn.Close() }

// OnOpen, OnTraffic and OnClose are gnet's callbacks.

// OnOpen is gnet's callback for a connection that the loop has registered.
func (l *Loop) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	c, ok := raw.Context().(*Conn)
	if !ok {
		return nil, gnet.None // the loop's own, see findSelf
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
