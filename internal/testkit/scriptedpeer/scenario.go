// Package scriptedpeer runs scripted network scenarios against a node in tests. A scenario is a text with one step on each
// line:
//
//	NAME dial SERVICE     open a connection to a service that was named to Serve or Listen
//	NAME accept SERVICE   accept the next connection to a fake service of Listen
//	NAME send TEXT        send TEXT, which may contain \r, \n and variables as {WORD}
//	NAME expect TEXT      read until TEXT has arrived, and discard it with the text before it
//	NAME keep WORD TEXT   read until TEXT has arrived, and assign the text from there
//	                      to the next quotation mark to the variable WORD
//	NAME arrives          wait until the node's kernel has acknowledged all that was sent
//	NAME leaves           close the sending side, and wait until the node's kernel has acknowledged that
//	NAME resets           reset the connection
//	NAME closed           read until the other side has closed or reset the connection
//	NAME ended            expect that the other side has closed the connection, without a reset
//	NAME close            close the connection
//	wait SPAN             advance the node's clock by SPAN, in small steps
//
// Lines that start with '#' are comments. The node's clock advances only by steps and calls of the bench, so no step races
// with real time, which only limits how long a failing step hangs. Bytes that are sent within a callback of the event loop
// arrive while the node reads nothing.
package scriptedpeer

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ospreybend/internal/node/eventloop"
)

const (
	stepTimeout = time.Minute          // real time after which an unfinished step fails
	clockStep   = 5 * time.Millisecond // by which the node's clock advances between two iterations of the loop

	tcpFinWait2 = 5 // the kernel's number of FIN_WAIT2: the other side has acknowledged the FIN
)

// Bench runs scenarios. It has an event loop with a simulated clock, fake services and named connections.
type Bench struct {
	Loop      *eventloop.Loop
	Variables map[string]string // texts of scenarios refer to them as {name}

	t         *testing.T
	now       atomic.Int64      // the simulated clock, in nanoseconds
	services  map[string]string // addresses by name
	listeners map[string]net.Listener
	conns     map[string]*conn
}

type conn struct {
	net.Conn
	unread []byte // received, not yet consumed by a step
}

// New returns a bench. At the end of the test its connections are closed and its loop is stopped.
func New(t *testing.T) *Bench {
	t.Helper()
	s := &Bench{t: t, Variables: map[string]string{}, services: map[string]string{},
		listeners: map[string]net.Listener{}, conns: map[string]*conn{}}
	s.now.Store(int64(1000 * time.Hour))
	loop, err := eventloop.NewLoop(func() time.Duration { return time.Duration(s.now.Load()) })
	if err != nil {
		t.Fatal(err)
	}
	s.Loop = loop
	t.Cleanup(func() {
		for _, c := range s.conns {
			c.Close()
		}
		for _, l := range s.listeners {
			l.Close()
		}
		if err := loop.Stop(); err != nil {
			t.Errorf("stop the event loop: %v", err)
		}
	})
	return s
}

// Listen starts a fake service for the node to connect to, and returns its address.
func (s *Bench) Listen(name string) string {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.listeners[name] = l
	s.services[name] = l.Addr().String()
	return l.Addr().String()
}

// Serve names the address of a service of the node for the scenarios to dial.
func (s *Bench) Serve(name, address string) { s.services[name] = address }

// FreeAddress returns a loopback address at which nothing listens. It has a random IP address, because on 127.0.0.1 the
// kernel may assign a port that was just found free to the next outgoing connection of any test.
func FreeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Advance advances the node's clock by a span, in small steps with an iteration of the loop after each.
func (s *Bench) Advance(span time.Duration) {
	for ; span > 0; span -= clockStep {
		s.now.Add(int64(min(span, clockStep)))
		s.Loop.Tick()
	}
}

// JumpClock advances the node's clock in one step, as a delay of the loop would: no timer fires before its next iteration.
func (s *Bench) JumpClock(span time.Duration) { s.now.Add(int64(span)) }

// WaitUntil waits in real time until the condition, which is checked on the loop, is met. The node's clock does not advance.
func (s *Bench) WaitUntil(condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		met := false
		if s.Loop.Call(func() { met = condition() }); met {
			return
		}
	}
	s.t.Fatalf("the condition was not met within %v", stepTimeout)
}

// Play runs the steps of a scenario in order and ends the test at the first one that fails.
func (s *Bench) Play(text string) {
	s.t.Helper()
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if err := s.step(line); err != nil {
			s.t.Fatalf("scenario step %q: %v", line, err)
		}
	}
}

// Errors of a scenario's steps.
var (
	errNoConnection   = errors.New("no connection of this name was dialed or accepted")
	errUnknownVerb    = errors.New("unknown verb")
	errNoService      = errors.New("no fake service of this name listens")
	errStillOpen      = errors.New("the other side has not closed the connection in time")
	errConditionUnmet = errors.New("the kernel's connection did not reach the expected state in time")
)

// step runs one line of a scenario.
func (s *Bench) step(line string) error {
	name, rest, _ := strings.Cut(line, " ")
	verb, argument, _ := strings.Cut(rest, " ")
	switch {
	case name == "wait":
		span, err := time.ParseDuration(rest)
		s.Advance(span)
		return err
	case verb == "dial" || verb == "accept":
		connection, err := s.connect(verb, argument)
		if err == nil {
			s.conns[name] = &conn{Conn: connection}
		}
		return err
	}
	c := s.conns[name]
	if c == nil {
		return errNoConnection
	}
	switch verb {
	case "send":
		_, err := io.WriteString(c, s.expand(argument))
		return err
	case "expect":
		return c.expect(s.expand(argument))
	case "keep":
		return s.keep(c, argument)
	}
	return c.runVerb(verb)
}

// keep reads until a text has arrived and assigns what follows it, up to the next quotation mark, to a variable.
func (s *Bench) keep(c *conn, argument string) error {
	word, text, _ := strings.Cut(argument, " ")
	if err := c.expect(s.expand(text)); err != nil {
		return err
	}
	value, err := c.readUntil('"')
	s.Variables[word] = value
	return err
}

// runVerb runs a verb that has no argument.
func (c *conn) runVerb(verb string) error {
	switch verb {
	case "arrives":
		return c.awaitKernel(func(unacknowledged int, _ uint8) bool { return unacknowledged == 0 })
	case "leaves":
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			return err
		}
		return c.awaitKernel(func(_ int, state uint8) bool { return state == tcpFinWait2 })
	case "resets":
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	case "closed":
		return c.expectEnd()
	case "ended":
		if err := c.readMore(); !errors.Is(err, io.EOF) {
			return fmt.Errorf("the connection was not closed cleanly; unread: %q: %w", c.unread, err)
		}
		return nil
	case "close":
		return c.Close()
	}
	return errUnknownVerb
}

// connect dials a service or accepts a connection to it, depending on the verb.
func (s *Bench) connect(verb, service string) (net.Conn, error) {
	if verb == "dial" {
		return net.DialTimeout("tcp", s.services[service], stepTimeout)
	}
	l, ok := s.listeners[service].(*net.TCPListener)
	if !ok {
		return nil, errNoService
	}
	if err := l.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		return nil, err
	}
	return l.Accept()
}

// AdvanceUntil advances the node's clock until the condition, which is checked on the loop, is met or the limit is reached.
// It returns by how much the clock advanced. That does not depend on the speed of the machine.
func (s *Bench) AdvanceUntil(limit time.Duration, condition func() bool) (span time.Duration, met bool) {
	s.t.Helper()
	for {
		if s.Loop.Call(func() { met = condition() }); met || span >= limit {
			return span, met
		}
		s.Advance(clockStep)
		span += clockStep
	}
}

// expand replaces the variables and escapes in a text.
func (s *Bench) expand(text string) string {
	for range 2 { // a variable may contain another
		for name, value := range s.Variables {
			text = strings.ReplaceAll(text, "{"+name+"}", value)
		}
	}
	return strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(text)
}

// expect reads until the text has arrived, and leaves what follows it unread.
func (c *conn) expect(text string) error {
	for {
		if i := strings.Index(string(c.unread), text); i >= 0 {
			c.unread = c.unread[i+len(text):]
			return nil
		}
		if err := c.readMore(); err != nil {
			return errors.Join(err, fmt.Errorf("waiting for %q, unread: %q", text, c.unread))
		}
	}
}

// readUntil returns the text before the next occurrence of a byte, which stays unread.
func (c *conn) readUntil(end byte) (string, error) {
	for {
		if i := strings.IndexByte(string(c.unread), end); i >= 0 {
			value := string(c.unread[:i])
			c.unread = c.unread[i:]
			return value, nil
		}
		if err := c.readMore(); err != nil {
			return "", err
		}
	}
}

// expectEnd reads until the other side closes or resets the connection.
func (c *conn) expectEnd() error {
	for {
		err := c.readMore()
		var netErr net.Error
		switch {
		case errors.As(err, &netErr) && netErr.Timeout():
			return errStillOpen
		case err != nil:
			return nil
		}
	}
}

// awaitKernel waits until the connection's state in this side's kernel meets a condition. It does not depend on the other
// side's program, which need not have read anything.
func (c *conn) awaitKernel(met func(unacknowledged int, state uint8) bool) error {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); runtime.Gosched() {
		unacknowledged, state := 0, uint8(0)
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			var info *unix.TCPInfo
			if unacknowledged, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
				if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
					state = info.State
				}
			}
		}); controlErr != nil || err != nil {
			return errors.Join(controlErr, err)
		}
		if met(unacknowledged, state) {
			return nil
		}
	}
	return errConditionUnmet
}

// readMore appends the next bytes that arrive to the unread ones.
func (c *conn) readMore() error {
	if err := c.SetReadDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	c.unread = append(c.unread, buf[:n]...)
	return err
}

// Chunk returns a line, with a newline, as one chunk of a chunked HTTP body, with the escapes of scenarios.
func Chunk(line string) string {
	return fmt.Sprintf(`%x\r\n%s\n\r\n`, len(line)+1, line)
}

// Unread returns what has arrived on a connection and was not consumed by a step.
func (s *Bench) Unread(name string) string { return string(s.conns[name].unread) }
