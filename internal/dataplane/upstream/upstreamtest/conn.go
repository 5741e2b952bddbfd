// Package upstreamtest provides scripted workers for tests. Without sockets, and to the exact byte, a script determines how much of a
// request a connection accepts, what the worker responds, and how the connection ends. The package works within a synctest bubble.
// The tests of the packages upstream and dispatch use it; both must pass all ResponseCases.
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

// WriteMode determines how much of a request a connection accepts.
type WriteMode uint8

// Write modes.
const (
	WriteAll        WriteMode = iota // the complete request is accepted
	WriteNothing                     // the first write fails
	WritePartOfHead                  // the write fails within the head
	WritePartOfBody                  // the write fails within the body
	WriteBlocked                     // the write blocks within the body until the connection is closed; the response is sent meanwhile
)

var writeModeNames = [...]string{"all written", "nothing written", "part of the head written", "part of the body written", "write blocked"}

// String returns a description of the mode for the names of test cases.
func (m WriteMode) String() string { return writeModeNames[m] }

// ConnEnd determines how a connection ends after a response.
type ConnEnd uint8

// Ends of connections.
const (
	KeepOpen ConnEnd = iota // the connection stays open without further bytes
	FIN                     // the connection is closed normally
	Reset                   // the connection is reset
)

var connEndNames = [...]string{"kept open", "FIN", "RST"}

// String returns a description of the end for the names of test cases.
func (e ConnEnd) String() string { return connEndNames[e] }

// Request is a request that a connection received, completely or partly.
type Request struct {
	ID             string
	LastEventID    string // value of the Last-Event-Id field
	TargetInstance string // value of the X-Target-Instance field
	Head           string // without the blank line that ends it; "" if the head is incomplete
	Body           []byte // as far as received
	Complete       bool
}

// Exchange determines how a worker handles a request of a connection.
type Exchange struct {
	Write     WriteMode
	Respond   func(Request) string
	End       ConnEnd
	ReadSizes []int // numbers of bytes that the next reads return; further reads return all available bytes
}

// Conn is a connection to a scripted worker. It implements net.Conn.
type Conn struct {
	mu        sync.Mutex
	exchanges []Exchange
	input     []byte    // received bytes of the unfinished request
	requests  []Request // complete requests
	output    []byte    // bytes sent and not yet read
	readSizes []int
	end       ConnEnd
	broken    bool          // whether a write has failed
	changed   chan struct{} // closed and replaced at each change of output or end
	closed    chan struct{}
	closeOnce sync.Once
}

// NewConn returns a connection that handles each request with the next exchange and accepts no further requests.
func NewConn(exchanges ...Exchange) *Conn {
	return &Conn{exchanges: exchanges, changed: make(chan struct{}), closed: make(chan struct{})}
}

// Requests returns the requests received. The last one may be incomplete.
func (c *Conn) Requests() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := append([]Request(nil), c.requests...)
	if len(c.input) > 0 {
		partial, _ := parseRequest(c.input)
		requests = append(requests, partial)
	}
	return requests
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

// SendUnsolicited sends bytes without a request, unless the connection has ended.
func (c *Conn) SendUnsolicited(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == KeepOpen {
		c.appendOutput(text, KeepOpen)
	}
}

// appendOutput sends bytes and sets how the connection ends after them. The caller holds the lock.
func (c *Conn) appendOutput(text string, end ConnEnd) {
	c.output = append(c.output, text...)
	c.end = end
	close(c.changed)
	c.changed = make(chan struct{})
}

// Write accepts the bytes of a request as determined by the WriteMode of its exchange.
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
		return c.truncateWrite(exchange, accepted)
	}
	for c.respondToNext() {
	}
	return len(data), nil
}

// acceptedBytes returns how many bytes of a write are accepted if the given number of bytes of the request was accepted by
// previous writes.
func acceptedBytes(mode WriteMode, previous int, data []byte) int {
	head := bytes.Index(data, []byte("\r\n\r\n")) + len("\r\n\r\n")
	switch {
	case mode == WriteNothing:
		return 0
	case mode == WritePartOfHead && previous == 0:
		return head / 2
	case (mode == WritePartOfBody || mode == WriteBlocked) && previous == 0:
		return head + (len(data)-head)/2
	case mode == WritePartOfBody || mode == WriteBlocked:
		return len(data) / 2
	default:
		return len(data)
	}
}

// truncateWrite fails a write of which only a part was accepted. The caller holds the lock, which is released while the write
// blocks.
func (c *Conn) truncateWrite(exchange Exchange, accepted int) (int, error) {
	c.broken = true
	request, _ := parseRequest(c.input)
	if request.Head == "" { // without the complete head the worker cannot respond
		c.appendOutput("", Reset)
		return accepted, syscall.ECONNRESET
	}
	if exchange.Write != WriteBlocked {
		c.appendOutput(exchange.Respond(request), max(exchange.End, FIN)) // a connection that accepts no more bytes has ended
		return accepted, syscall.ECONNRESET
	}
	c.appendOutput(exchange.Respond(request), exchange.End)
	c.mu.Unlock()
	<-c.closed
	c.mu.Lock()
	return accepted, net.ErrClosed
}

// respondToNext responds to the next complete request. It reports whether there was one. The caller holds the lock.
func (c *Conn) respondToNext() bool {
	request, used := parseRequest(c.input)
	if !request.Complete || len(c.exchanges) == 0 {
		return false
	}
	exchange := c.exchanges[0]
	c.exchanges = c.exchanges[1:]
	c.input = c.input[used:]
	c.requests = append(c.requests, request)
	c.readSizes = append(c.readSizes, exchange.ReadSizes...)
	c.appendOutput(exchange.Respond(request), exchange.End)
	return true
}

// parseRequest parses the first request of the input as far as it was received, and returns the number of bytes it occupies.
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
			request.LastEventID = value
		case "x-target-instance":
			request.TargetInstance = value
		case "content-length":
			length, _ = strconv.Atoi(value)
		}
	}
	received := min(len(body), length)
	request.Body = []byte(body[:received])
	request.Complete = received == length
	return request, len(head) + len("\r\n\r\n") + received
}

// Read returns the bytes that the worker has sent, and then the end of the connection.
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
	size := c.readSizes[0]
	c.readSizes = c.readSizes[1:]
	return min(max(size, 1), len(c.output))
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
