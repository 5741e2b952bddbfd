// Package upstreamtest provides scripted workers for tests, byte by byte and without sockets: how much of a request a connection
// accepts, what the worker responds, and how the connection ends. It works within a synctest bubble. The tests of the packages
// upstream and dispatch use it; ResponseCases are the cases that both must handle alike.
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

// WriteMode is how much of a request a connection accepts.
type WriteMode uint8

// Write modes.
const (
	WriteAll        WriteMode = iota // all of it
	WriteNothing                     // the first write fails
	WritePartOfHead                  // the write fails within the head
	WritePartOfBody                  // the write fails within the body
	WriteBlocked                     // the response comes while the write waits within the body, until the connection is closed
)

var writeModeNames = [...]string{"all written", "nothing written", "part of the head written", "part of the body written", "write blocked"}

// String returns the mode in words, for the names of subtests.
func (m WriteMode) String() string { return writeModeNames[m] }

// ConnEnd is how a connection ends after a response.
type ConnEnd uint8

// Ends of connections.
const (
	KeepOpen ConnEnd = iota // it stays open, without further bytes
	FIN                     // it is closed in order
	Reset                   // it is reset
)

var connEndNames = [...]string{"kept open", "FIN", "RST"}

// String returns the end in words, for the names of subtests.
func (e ConnEnd) String() string { return connEndNames[e] }

// Request is a request that a connection received, completely or in part.
type Request struct {
	ID        string
	LastEvent string // Last-Event-Id
	Target    string // X-Target-Instance
	Head      string
	Body      []byte
	Complete  bool
}

// Exchange is what a worker does with one request of a connection.
type Exchange struct {
	Write     WriteMode
	Respond   func(Request) string
	End       ConnEnd
	ReadSizes []int // bytes that the next reads return; further reads return all that is there
}

// Conn is a connection to a scripted worker. It implements net.Conn.
type Conn struct {
	mu        sync.Mutex
	exchanges []Exchange
	input     []byte // of the request that is being received
	requests  []Request
	output    []byte
	readSizes []int
	end       ConnEnd
	broken    bool          // a write has failed
	changed   chan struct{} // closed at each change of what can be read
	closed    chan struct{}
	closeOnce sync.Once
}

// NewConn returns a connection that plays one exchange for each request, and accepts no further one.
func NewConn(exchanges ...Exchange) *Conn {
	return &Conn{exchanges: exchanges, changed: make(chan struct{}), closed: make(chan struct{})}
}

// Requests returns the requests received, the last perhaps in part.
func (c *Conn) Requests() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]Request(nil), c.requests...)
	if len(c.input) > 0 {
		rest, _ := parseRequest(c.input)
		all = append(all, rest)
	}
	return all
}

// Closed reports whether the client has closed the connection.
func (c *Conn) Closed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// SendUnsolicited sends bytes that belong to no request, unless the connection has ended.
func (c *Conn) SendUnsolicited(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == KeepOpen {
		c.put(text, KeepOpen)
	}
}

// put sends bytes and then ends the connection as told. The caller holds the lock.
func (c *Conn) put(text string, end ConnEnd) {
	c.output = append(c.output, text...)
	c.end = end
	close(c.changed)
	c.changed = make(chan struct{})
}

// Write accepts a request as its exchange says.
func (c *Conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.Closed() || len(c.exchanges) == 0 {
		return 0, syscall.EPIPE
	}
	exchange := c.exchanges[0]
	accepted := acceptedBytes(exchange.Write, len(c.input), data)
	c.input = append(c.input, data[:accepted]...)
	if accepted < len(data) {
		return c.failWrite(exchange, accepted)
	}
	for c.answerRequest() {
	}
	return len(data), nil
}

// acceptedBytes returns how many bytes of a write are accepted, behind the given number accepted before.
func acceptedBytes(mode WriteMode, before int, data []byte) int {
	head := bytes.Index(data, []byte("\r\n\r\n")) + len("\r\n\r\n")
	switch {
	case mode == WriteNothing:
		return 0
	case mode == WritePartOfHead && before == 0:
		return head / 2
	case (mode == WritePartOfBody || mode == WriteBlocked) && before == 0:
		return head + (len(data)-head)/2
	case mode == WritePartOfBody || mode == WriteBlocked:
		return len(data) / 2
	default:
		return len(data)
	}
}

// failWrite fails a write of which only a part was accepted. The caller holds the lock.
func (c *Conn) failWrite(exchange Exchange, accepted int) (int, error) {
	c.broken = true
	request, _ := parseRequest(c.input)
	if request.Head == "" { // the worker cannot know who asks
		c.put("", Reset)
		return accepted, syscall.ECONNRESET
	}
	if exchange.Write != WriteBlocked {
		c.put(exchange.Respond(request), max(exchange.End, FIN)) // a connection that takes no more has ended
		return accepted, syscall.ECONNRESET
	}
	c.put(exchange.Respond(request), exchange.End)
	c.mu.Unlock()
	<-c.closed
	c.mu.Lock()
	return accepted, net.ErrClosed
}

// answerRequest responds to the next complete request. The caller holds the lock.
func (c *Conn) answerRequest() bool {
	request, used := parseRequest(c.input)
	if !request.Complete || len(c.exchanges) == 0 {
		return false
	}
	exchange := c.exchanges[0]
	c.exchanges = c.exchanges[1:]
	c.input = c.input[used:]
	c.requests = append(c.requests, request)
	c.readSizes = append(c.readSizes, exchange.ReadSizes...)
	c.put(exchange.Respond(request), exchange.End)
	return true
}

// parseRequest parses a request as far as it was received.
func parseRequest(input []byte) (request Request, used int) {
	head, body, found := strings.Cut(string(input), "\r\n\r\n")
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
	received := min(len(body), length)
	request.Body = []byte(body[:received])
	request.Complete = received == length
	return request, len(head) + len("\r\n\r\n") + received
}

// Read returns the bytes that the worker has sent, and then the end.
func (c *Conn) Read(buffer []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.Closed() {
			c.mu.Unlock()
			return 0, net.ErrClosed
		}
		if len(c.output) > 0 {
			n := copy(buffer, c.output[:c.nextReadSize()])
			c.output = c.output[n:]
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

// nextReadSize returns how many bytes the next read returns. The caller holds the lock.
func (c *Conn) nextReadSize() int {
	if len(c.readSizes) == 0 {
		return len(c.output)
	}
	next := c.readSizes[0]
	c.readSizes = c.readSizes[1:]
	return min(max(next, 1), len(c.output))
}

// Close closes the connection from the client's side.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns an empty address.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an empty address.
func (c *Conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
