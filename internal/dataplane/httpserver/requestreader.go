package httpserver

import (
	"bytes"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/http1"
)

const (
	statusTimeout     = 408
	statusTooLarge    = 413
	statusLongHead    = 431
	statusUnavailable = 503

	firstBody = 64 << 10 // bytes made for a body at first; more as they come
	// mostFraming is how many bytes of framing a body in chunks may have beyond its own length.
	mostFraming = 64 << 10
)

var (
	fullFault = http1.StatusError{Status: statusUnavailable, Reason: "there is no place for the request"}
	lateFault = http1.StatusError{Status: statusTimeout, Reason: "the request did not come in time"}
	// unsureFault stands in for faults over a limit that may not be in force any more.
	unsureFault = http1.StatusError{Status: statusUnavailable, Reason: "the limits in force are not known"}
	longFault   = http1.StatusError{Status: statusTooLarge, Reason: "the body is too long"}
)

// arrival is one request as far as it has come in.
type arrival struct {
	conn    *conn
	limits  configuration.Limits
	rules   http1.ParseRules
	begun   time.Time // the first byte, on the clock of the deadlines
	armed   bool      // the deadline is set
	headIn  bool      // the head has come whole
	request *Request
	head    http1.Head
}

// readRequest reads the next request. err is of the connection, and nobody is to be answered then.
func (c *conn) readRequest() (a *arrival, fault *http1.StatusError, err error) {
	for c.in.Len() == 0 {
		if err := c.more(); err != nil {
			return nil, nil, err
		}
	}
	c.setState(reading)
	a = &arrival{conn: c, limits: c.server.limits(), begun: time.Now(), request: &Request{FirstByteAt: c.server.now()}}
	a.rules = http1.ParseRules{MaxHeadBytes: a.limits.MaxHeaderBytes, MaxBodyBytes: a.limits.MaxBodyBytes, Strict: true}
	if fault, err = a.readHead(); fault == nil && err == nil {
		fault, err = a.readBody()
	}
	if fault != nil || err != nil {
		c.server.bodyBytes.Add(-int64(cap(a.request.Body)))
		return nil, fault, err
	}
	a.request.ReadAt = c.server.now()
	return a, nil, nil
}

// more waits for further bytes of the request by its deadline.
func (a *arrival) more() (*http1.StatusError, error) {
	a.arm()
	return a.orLate(a.conn.more())
}

// arm sets the deadline of the whole request, when it has not come at once: a first time for the head, and once more for the
// body, since the head tells how long the request may be held.
func (a *arrival) arm() {
	if a.armed {
		return
	}
	a.armed = true
	c := a.conn
	most := a.limits.HeaderTimeout
	if held := c.server.options.Held; held != nil && a.headIn {
		most = min(most, positive(held(a.request), most))
	}
	c.server.mu.Lock()
	c.setDeadline(most - time.Since(a.begun))
	c.server.mu.Unlock()
}

func (a *arrival) orLate(err error) (*http1.StatusError, error) {
	if err != nil && isTimeout(err) {
		return &lateFault, nil
	}
	return nil, err
}

func (a *arrival) readHead() (*http1.StatusError, error) {
	c := a.conn
	reader := http1.HeadReader{Kind: http1.Request, Rules: a.rules}
	for {
		used, fault := reader.Read(c.in.Bytes(), &a.head)
		switch {
		case fault != nil:
			return fault, nil
		case used > 0:
			a.takeHead()
			c.in.Discard(used)
			return nil, nil
		}
		if fault, err := a.more(); fault != nil || err != nil {
			return fault, err
		}
	}
}

// takeHead copies what the request needs of the head.
func (a *arrival) takeHead() {
	r := a.request
	r.Method = string(a.head.Method)
	r.Target = string(a.head.Target)
	path, _, _ := bytes.Cut(a.head.Target, []byte{'?'})
	r.Path = r.Target[:len(path)]
	all := a.head.Header()
	r.Host = all.Get("Host")
	r.Fields = http1.HopByHopOf(all).Strip(all)
	expects := a.head.ExpectsContinue()
	a.headIn, a.armed = true, false
	a.head.Method, a.head.Target, a.head.RawHeader = nil, nil, nil // the buffer goes on to be used
	if expects {
		a.head.RawHeader = []http1.RawHeaderField{expectField}
	}
}

var expectField = http1.RawHeaderField{Name: []byte("Expect"), Value: []byte("100-continue")}

func (a *arrival) readBody() (*http1.StatusError, error) {
	if a.head.ContentLength > a.limits.MaxBodyBytes {
		return &longFault, nil
	}
	body := http1.NewRequestBodyReader(&a.head, &a.rules)
	if body.Done {
		return nil, nil
	}
	if err := a.goOn(); err != nil {
		return nil, err
	}
	if body.Chunked {
		return a.readChunks(&body)
	}
	return a.readLength(a.head.ContentLength)
}

// goOn tells a client that waits for it to send its body.
func (a *arrival) goOn() error {
	if !a.head.ExpectsContinue() || a.head.HTTP10 || a.conn.in.Len() > 0 {
		return nil
	}
	_ = a.conn.socket.SetWriteDeadline(time.Now().Add(a.conn.server.writeTime))
	_, err := a.conn.socket.Write([]byte(http1.ContinueLine))
	return err
}

// readLength reads a body of a known length. Memory is made as it comes: a length alone costs the client nothing.
func (a *arrival) readLength(length int) (*http1.StatusError, error) {
	c, r := a.conn, a.request
	for len(r.Body) < length {
		if !a.grow(length) {
			return &fullFault, nil
		}
		space := r.Body[len(r.Body):min(length, cap(r.Body))]
		if c.in.Len() > 0 {
			n := copy(space, c.in.Bytes())
			c.in.Discard(n)
			r.Body = r.Body[:len(r.Body)+n]
			continue
		}
		a.arm()
		n, err := c.read(space)
		r.Body = r.Body[:len(r.Body)+n]
		if err != nil {
			return a.orLate(err)
		}
	}
	return nil, nil
}

// grow makes room for more of the body. It returns false where the server holds as much as it may.
func (a *arrival) grow(most int) bool {
	r := a.request
	if len(r.Body) < cap(r.Body) {
		return true
	}
	size := min(most, max(2*cap(r.Body), firstBody))
	s := a.conn.server
	held := s.bodyBytes.Add(int64(size - cap(r.Body)))
	if budget := s.options.BodyBudget; budget > 0 && held > budget {
		s.bodyBytes.Add(-int64(size - cap(r.Body)))
		return false
	}
	grown := make([]byte, len(r.Body), size)
	copy(grown, r.Body)
	r.Body = grown
	return true
}

// readChunks reads a body in chunks.
func (a *arrival) readChunks(body *http1.BodyReader) (*http1.StatusError, error) {
	c, r := a.conn, a.request
	framing := 0
	for !body.Done {
		data, used, fault := body.Next(c.in.Bytes())
		switch {
		case fault != nil:
			return fault, nil
		case len(r.Body)+len(data) > a.limits.MaxBodyBytes:
			return &longFault, nil
		}
		if fault := a.append(data); fault != nil {
			return fault, nil
		}
		c.in.Discard(used)
		if framing += used - len(data); framing > mostFraming+len(r.Body) {
			return &longFault, nil
		}
		if used > 0 {
			continue
		}
		if fault, err := a.more(); fault != nil || err != nil {
			return fault, err
		}
	}
	return nil, nil
}

func (a *arrival) append(data []byte) *http1.StatusError {
	r := a.request
	for len(data) > 0 {
		if !a.grow(a.limits.MaxBodyBytes) {
			return &fullFault
		}
		n := min(len(data), cap(r.Body)-len(r.Body))
		r.Body = append(r.Body, data[:n]...)
		data = data[n:]
	}
	return nil
}
