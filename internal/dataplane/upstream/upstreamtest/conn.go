// Package upstreamtest plays workers for tests, byte by byte and without sockets: how much of a request a connection takes, what
// comes back, and how the connection ends. It works within a synctest bubble.
package upstreamtest

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sent is how much of a request a connection takes.
type Sent uint8

// Ways in which the writing of a request goes.
const (
	Whole      Sent = iota // all of it
	Nothing                // the first write fails
	HeadInPart             // the write fails within the head
	BodyInPart             // the write fails within the body
	Blocked                // the answer comes while the write waits within the body, until the connection is closed
)

var sentNames = [...]string{"whole", "nothing written", "head in part", "body in part", "body waiting"}

func (s Sent) String() string { return sentNames[s] }

// End is what becomes of a connection behind an answer.
type End uint8

// Ends of connections.
const (
	Open  End = iota // nothing more comes
	FIN              // it ends in order
	Reset            // it is reset
)

var endNames = [...]string{"nothing more", "FIN", "RST"}

func (e End) String() string { return endNames[e] }

// Request is one that came on a connection, whole or in part.
type Request struct {
	ID        string
	LastEvent string // Last-Event-Id
	Target    string // X-Target-Instance
	Head      string
	Body      []byte
	Complete  bool
}

// Turn is what a worker does with one request of a connection.
type Turn struct {
	Sent   Sent
	Answer func(Request) string
	End    End
	Pieces []int // bytes of the next reads; behind them a read takes all that is there
}

// Conn is a connection to a scripted worker. It implements net.Conn.
type Conn struct {
	mu       sync.Mutex
	turns    []Turn
	in       []byte // of the request that is being taken
	requests []Request
	out      []byte
	pieces   []int
	end      End
	broken   bool          // a write has failed
	changed  chan struct{} // closed at each change of what can be read
	closed   chan struct{}
	over     sync.Once
}

// NewConn makes a connection that plays one turn for each request; it takes none beyond them.
func NewConn(turns ...Turn) *Conn {
	return &Conn{turns: turns, changed: make(chan struct{}), closed: make(chan struct{})}
}

// Requests returns those that have come, also in part.
func (c *Conn) Requests() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]Request(nil), c.requests...)
	if len(c.in) > 0 {
		rest, _ := parse(c.in)
		all = append(all, rest)
	}
	return all
}

// Closed tells whether the caller has closed the connection.
func (c *Conn) Closed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Surplus lets bytes come that no request asked for, unless the connection has ended.
func (c *Conn) Surplus(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == Open {
		c.put(text, Open)
	}
}

// put lets bytes come, and then an end.
func (c *Conn) put(text string, end End) {
	c.out = append(c.out, text...)
	c.end = end
	close(c.changed)
	c.changed = make(chan struct{})
}

// Write takes a request in as its turn says.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.Closed() || len(c.turns) == 0 {
		return 0, syscall.EPIPE
	}
	turn := c.turns[0]
	take := share(turn.Sent, len(c.in), p)
	c.in = append(c.in, p[:take]...)
	if take < len(p) {
		return c.stop(turn, take)
	}
	for c.takeRequest() {
	}
	return len(p), nil
}

// share returns how many bytes of a write are taken behind those taken before.
func share(sent Sent, before int, p []byte) int {
	head := bytes.Index(p, []byte("\r\n\r\n")) + len("\r\n\r\n")
	switch {
	case sent == Nothing:
		return 0
	case sent == HeadInPart && before == 0:
		return head / 2
	case (sent == BodyInPart || sent == Blocked) && before == 0:
		return head + (len(p)-head)/2
	case sent == BodyInPart || sent == Blocked:
		return len(p) / 2
	default:
		return len(p)
	}
}

// stop ends a write before its last byte. The caller holds the lock.
func (c *Conn) stop(turn Turn, taken int) (int, error) {
	c.broken = true
	request, _ := parse(c.in)
	if request.Head == "" { // the worker cannot know who asks
		c.put("", Reset)
		return taken, syscall.ECONNRESET
	}
	if turn.Sent != Blocked {
		c.put(turn.Answer(request), max(turn.End, FIN)) // a connection that takes no more has ended
		return taken, syscall.ECONNRESET
	}
	c.put(turn.Answer(request), turn.End)
	c.mu.Unlock()
	<-c.closed
	c.mu.Lock()
	return taken, net.ErrClosed
}

// takeRequest answers the next whole request that has come. The caller holds the lock.
func (c *Conn) takeRequest() bool {
	request, used := parse(c.in)
	if !request.Complete || len(c.turns) == 0 {
		return false
	}
	turn := c.turns[0]
	c.turns = c.turns[1:]
	c.in = c.in[used:]
	c.requests = append(c.requests, request)
	c.pieces = append(c.pieces, turn.Pieces...)
	c.put(turn.Answer(request), turn.End)
	return true
}

// parse reads a request as far as it is there.
func parse(in []byte) (request Request, used int) {
	head, body, found := strings.Cut(string(in), "\r\n\r\n")
	if !found {
		return Request{}, 0
	}
	request.Head = head
	length := 0
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch strings.ToLower(name) {
		case "x-request-id":
			request.ID = value
		case "last-event-id":
			request.LastEvent = value
		case "x-target-instance":
			request.Target = value
		case "content-length":
			length, _ = strconv.Atoi(value)
		}
	}
	have := min(len(body), length)
	request.Body = []byte(body[:have])
	request.Complete = have == length
	return request, len(head) + len("\r\n\r\n") + have
}

// Read returns what has come, and then the end.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.Closed() {
			c.mu.Unlock()
			return 0, net.ErrClosed
		}
		if len(c.out) > 0 {
			n := copy(p, c.out[:c.piece()])
			c.out = c.out[n:]
			c.mu.Unlock()
			return n, nil
		}
		end, changed := c.end, c.changed
		c.mu.Unlock()
		switch end {
		case FIN:
			return 0, io.EOF
		case Reset:
			return 0, syscall.ECONNRESET
		}
		select {
		case <-changed:
		case <-c.closed:
		}
	}
}

// piece returns how many bytes the next read takes. The caller holds the lock.
func (c *Conn) piece() int {
	if len(c.pieces) == 0 {
		return len(c.out)
	}
	next := c.pieces[0]
	c.pieces = c.pieces[1:]
	return min(max(next, 1), len(c.out))
}

// Close ends the connection from the caller's side.
func (c *Conn) Close() error {
	c.over.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns an address without a meaning.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an address without a meaning.
func (c *Conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
