package protocol

import (
	"encoding/json"
	"log/slog"
	"math"
	"slices"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/routing"
)

// Closed is the destination's or the network's end of the connection.
func (c *destinationConn) Closed(conn *eventloop.Conn) {
	c.lost()
	t := c.trip
	if t == nil {
		return
	}
	c.trip = nil
	c.owner.settle(t, c)
	if c.head && c.body.UntilClose && !c.told && c.status != 200 {
		c.conclude(t) // the body ended with the connection
		return
	}
	if c.kept && !c.head {
		c.owner.mistrust()
	}
	outcome := balance.Reset // the last byte was written: it may have run
	if !conn.Sent() {
		outcome = balance.ConnectFailed
	}
	c.owner.end(t, routing.StepEnd{Outcome: outcome})
}

// Data takes in what a destination answers. An outcome is told last, so that
// what follows from it finds the connection idle where the answer has ended.
func (c *destinationConn) Data(conn *eventloop.Conn, in []byte) int {
	used := c.read(conn, in)
	if t := c.done; t != nil {
		c.done = nil
		c.owner.end(t, c.outcome)
	}
	return used
}

func (c *destinationConn) read(conn *eventloop.Conn, in []byte) int {
	if c.trip == nil && !c.told {
		c.close() // nothing was asked
		return len(in)
	}
	used := 0
	for conn.Open() {
		if !c.head {
			var m Message
			n, err := parseResponse(in[used:], &m)
			if err != nil {
				return c.broken(in, err)
			}
			if n == 0 {
				return used
			}
			used += n
			if m.Status < 200 {
				continue // an interim answer
			}
			c.begin(&m)
		}
		data, n, err := c.body.Next(in[used:])
		if err != nil {
			return c.broken(in, err)
		}
		used += n
		c.lines(data)
		if !conn.Open() {
			return len(in)
		}
		if c.body.Done {
			c.finish()
			return len(in)
		}
		if n == 0 {
			return used
		}
	}
	return len(in)
}

// broken ends an exchange whose answer cannot be read. The request went out
// whole, so that it may have run.
func (c *destinationConn) broken(in []byte, why *Fault) int {
	c.owner.unreadableAnswer(c.to.name, why.Reason)
	t := c.trip
	c.trip = nil
	c.close()
	if t != nil {
		c.owner.end(t, routing.StepEnd{Outcome: balance.Reset})
	}
	return len(in)
}

// unreadableAnswer counts an answer that cannot be read. One line in a while tells of all since the last.
func (d *Destinations) unreadableAnswer(from, reason string) {
	d.unreadable++
	if now := d.loop.Now(); d.unreadable == 1 || now >= d.tellAt {
		slog.Warn("unreadable answer", "destination", from, "reason", reason, "in_all", d.unreadable)
		d.tellAt = now + tellEvery
	}
}

func (c *destinationConn) begin(m *Message) {
	c.head, c.status, c.last = true, m.Status, m.Close
	c.declined = string(m.Header("Srv-Declined")) == "1"
	c.load = append(c.load[:0], m.Header("Srv-Load")...)
	c.body = newBody(m)
	c.last = c.last || c.body.UntilClose
}

// news is one line of an answer.
type news struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// lines takes in a piece of the body, line by line.
func (c *destinationConn) lines(data []byte) {
	if c.trip == nil || c.trip.step == 0 || c.status != 200 {
		if c.trip != nil && c.trip.step == 0 && len(c.line)+len(data) <= maxLine {
			c.line = append(c.line, data...) // a probe's answer is one object
		}
		return
	}
	for len(data) > 0 && c.trip != nil {
		end := slices.Index(data, '\n')
		if end < 0 {
			if len(c.line)+len(data) > maxLine {
				c.broken(nil, bad("a line is too long"))
				return
			}
			c.line = append(c.line, data...)
			return
		}
		c.line = append(c.line, data[:end]...)
		data = data[end+1:]
		if len(c.line) > maxLine {
			c.broken(nil, bad("a line is too long"))
			return
		}
		c.news(c.line)
		c.line = c.line[:0]
	}
}

func (c *destinationConn) news(line []byte) {
	var n news
	if len(line) == 0 {
		return
	}
	if err := json.Unmarshal(line, &n); err != nil {
		c.broken(nil, bad("a line is no object"))
		return
	}
	if n.ID != "" && n.ID != c.trip.id {
		c.broken(nil, bad("a line is of another request"))
		return
	}
	step := c.trip.step
	switch n.State {
	case "started":
		c.owner.core.StepStarted(step)
	case "running":
		c.owner.core.StepProgress(step, n.Share)
	case "done":
		c.tell(routing.StepEnd{Outcome: balance.Served, Result: result(n.Result), Report: c.report(n.Load)})
	case "failed":
		c.tell(routing.StepEnd{Outcome: balance.Errored, Report: c.report(n.Load)})
	case "returned":
		c.tell(routing.StepEnd{Outcome: balance.Full, Report: c.report(n.Load)})
	case "lost":
		c.tell(routing.StepEnd{Outcome: balance.Reset, Report: c.report(n.Load)})
	}
}

// result gives a result's bytes: a string's text, and else the JSON itself.
func result(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// tell notes the trip's outcome; the connection goes on to the end of the answer, for a while: an answer
// that never ends would keep its descriptor.
func (c *destinationConn) tell(e routing.StepEnd) {
	c.done, c.outcome = c.trip, e
	c.trip.conn = nil
	c.trip, c.told = nil, true
	loop := c.owner.loop
	c.deadline = loop.Timers.Add(loop.Now()+restWithin, c.close)
}

// finish stands at the end of an answer.
func (c *destinationConn) finish() {
	if t := c.trip; t != nil && t.step != 0 && c.status == 200 && len(c.line) > 0 {
		c.news(c.line) // the last line may have no end
		if !c.conn.Open() {
			return
		}
	}
	t := c.trip
	c.trip, c.told = nil, false
	c.owner.loop.Timers.Cancel(c.deadline)
	// First the connection, so that what follows from the outcome can use it.
	if c.last {
		c.close()
	} else {
		c.rest()
	}
	if t != nil {
		t.conn = nil
		c.conclude(t)
	}
}

// conclude tells what an answer without a last line means.
func (c *destinationConn) conclude(t *trip) {
	e := routing.StepEnd{Outcome: balance.Errored, Report: c.report(nil)}
	switch {
	case t.step == 0:
		switch c.status {
		case 200:
			e.Outcome = balance.Served
		case 503:
			e.Outcome = balance.Full // it runs, and wants nothing new: it drains, if the list does not say so yet
		}
		if len(c.line) > 0 {
			e.Report = c.report(c.line)
		}
	case c.status >= 400 && c.status < 500:
		e.Rejected = true
	case c.status == 200:
		e.Outcome = balance.Reset // it took the job and never said how it ended
	case (c.status == 503 || c.status == 504) && c.declined:
		e.Outcome = balance.Full
	}
	c.owner.end(t, e)
}

// report reads a load report, of an object or else of the answer's header.
func (c *destinationConn) report(raw []byte) []float32 {
	if len(raw) == 0 {
		raw = c.load
	}
	if len(raw) == 0 || len(c.owner.config.Report) == 0 {
		return nil
	}
	var values map[string]float64
	if json.Unmarshal(raw, &values) != nil {
		return nil
	}
	out := make([]float32, len(c.owner.config.Report))
	for i := range out {
		out[i] = float32(math.NaN())
	}
	known := false
	for name, v := range values {
		if i, ok := c.owner.load[name]; ok {
			out[i], known = float32(v), true
		}
	}
	if !known {
		return nil
	}
	return out
}
