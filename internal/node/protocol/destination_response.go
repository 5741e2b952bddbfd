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

// Closed implements eventloop.Handler: the connection has ended.
func (c *destinationConn) Closed(conn *eventloop.Conn) {
	c.removeFromPool()
	ex := c.exchange
	if ex == nil {
		return
	}
	c.exchange = nil
	c.owner.countIfFlushed(ex, c)
	if c.headRead && c.body.UntilClose && !c.outcomeKnown && c.status != 200 {
		c.concludeFromStatus(ex) // the body ended with the connection
		return
	}
	if c.reused && !c.headRead {
		c.owner.distrustIdle()
	}
	outcome := balance.Reset // all bytes were written: the request may have run
	if !conn.Flushed() {
		outcome = balance.ConnectFailed
	}
	c.owner.conclude(ex, routing.StepEnd{Outcome: outcome})
}

// Data implements eventloop.Handler: it parses a response. An outcome is reported last: if the
// response has ended, the next request can then use the idle connection.
func (c *destinationConn) Data(conn *eventloop.Conn, in []byte) int {
	used := c.read(conn, in)
	if ex := c.unreported; ex != nil {
		c.unreported = nil
		c.owner.conclude(ex, c.outcome)
	}
	return used
}

// read parses the received part of the response and returns the number of bytes processed.
func (c *destinationConn) read(conn *eventloop.Conn, in []byte) int {
	if c.exchange == nil && !c.outcomeKnown {
		c.close() // unexpected data on an idle connection
		return len(in)
	}
	used := 0
	for conn.Open() {
		if !c.headRead {
			var m Message
			n, err := parseResponse(in[used:], &m)
			if err != nil {
				return c.failUnreadable(in, err)
			}
			if n == 0 {
				return used
			}
			used += n
			if m.Status < 200 {
				continue // an interim response
			}
			c.beginResponse(&m)
		}
		data, n, err := c.body.Next(in[used:])
		if err != nil {
			return c.failUnreadable(in, err)
		}
		used += n
		c.readLines(data)
		if !conn.Open() {
			return len(in)
		}
		if c.body.Done {
			c.endOfResponse()
			return len(in)
		}
		if n == 0 {
			return used
		}
	}
	return len(in)
}

// failUnreadable ends an exchange whose response cannot be parsed. The request was completely
// written, so it may have run.
func (c *destinationConn) failUnreadable(in []byte, fault *Fault) int {
	c.owner.countUnreadable(c.destination.name, fault.Reason)
	ex := c.exchange
	c.exchange = nil
	c.close()
	if ex != nil {
		c.owner.conclude(ex, routing.StepEnd{Outcome: balance.Reset})
	}
	return len(in)
}

// countUnreadable counts a response that cannot be parsed. It logs at most one line per logInterval, with
// the total.
func (d *Destinations) countUnreadable(name, reason string) {
	d.unreadable++
	if now := d.loop.Now(); d.unreadable == 1 || now >= d.nextLogAt {
		slog.Warn("unreadable response", "destination", name, "reason", reason, "in_all", d.unreadable)
		d.nextLogAt = now + logInterval
	}
}

// beginResponse evaluates the head of a response.
func (c *destinationConn) beginResponse(message *Message) {
	c.headRead, c.status, c.closeAfter = true, message.Status, message.Close
	c.declined = string(message.Header("Srv-Declined")) == "1"
	c.loadHeader = append(c.loadHeader[:0], message.Header("Srv-Load")...)
	c.body = newBodyReader(message)
	c.closeAfter = c.closeAfter || c.body.UntilClose
}

// progressUpdate is one line of a response.
type progressUpdate struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"` // of the work that is done
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// readLines processes a part of the body line by line. A probe's response is one object,
// which is collected instead.
func (c *destinationConn) readLines(data []byte) {
	if c.exchange == nil || c.exchange.step == 0 || c.status != 200 {
		if c.exchange != nil && c.exchange.step == 0 && len(c.partialLine)+len(data) <= maxLineBytes {
			c.partialLine = append(c.partialLine, data...)
		}
		return
	}
	for len(data) > 0 && c.exchange != nil {
		end := slices.Index(data, '\n')
		if end < 0 {
			if len(c.partialLine)+len(data) > maxLineBytes {
				c.failUnreadable(nil, malformed("a line is over 68 KiB"))
				return
			}
			c.partialLine = append(c.partialLine, data...)
			return
		}
		c.partialLine = append(c.partialLine, data[:end]...)
		data = data[end+1:]
		if len(c.partialLine) > maxLineBytes {
			c.failUnreadable(nil, malformed("a line is over 68 KiB"))
			return
		}
		c.handleUpdate(c.partialLine)
		c.partialLine = c.partialLine[:0]
	}
}

// handleUpdate reports one line of a route step's response: its progress or its outcome.
func (c *destinationConn) handleUpdate(line []byte) {
	var update progressUpdate
	if len(line) == 0 {
		return
	}
	if err := json.Unmarshal(line, &update); err != nil {
		c.failUnreadable(nil, malformed("a line is not a valid JSON object"))
		return
	}
	if update.ID != "" && update.ID != c.exchange.id {
		c.failUnreadable(nil, malformed("a line has the ID of another request"))
		return
	}
	step := c.exchange.step
	switch update.State {
	case "started":
		c.owner.core.StepStarted(step)
	case "running":
		c.owner.core.StepProgress(step, update.Share)
	case "done":
		c.recordOutcome(routing.StepEnd{Outcome: balance.Served, Result: resultBytes(update.Result), Report: c.report(update.Load)})
	case "failed":
		c.recordOutcome(routing.StepEnd{Outcome: balance.Errored, Report: c.report(update.Load)})
	case "returned":
		c.recordOutcome(routing.StepEnd{Outcome: balance.Full, Report: c.report(update.Load)})
	case "lost":
		c.recordOutcome(routing.StepEnd{Outcome: balance.Reset, Report: c.report(update.Load)})
	}
}

// resultBytes returns the text of a result that is a JSON string, or else the JSON itself.
func resultBytes(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// recordOutcome records the outcome of the exchange. The connection stays open until the end of
// the response, but at most for responseEndTimeout, since a response that never ends would
// occupy a descriptor.
func (c *destinationConn) recordOutcome(end routing.StepEnd) {
	c.unreported, c.outcome = c.exchange, end
	c.exchange.conn = nil
	c.exchange, c.outcomeKnown = nil, true
	loop := c.owner.loop
	c.deadline = loop.Timers.Add(loop.Now()+responseEndTimeout, c.close)
}

// endOfResponse handles the end of a response.
func (c *destinationConn) endOfResponse() {
	if ex := c.exchange; ex != nil && ex.step != 0 && c.status == 200 && len(c.partialLine) > 0 {
		c.handleUpdate(c.partialLine) // the last line may have no newline
		if !c.conn.Open() {
			return
		}
	}
	ex := c.exchange
	c.exchange, c.outcomeKnown = nil, false
	c.owner.loop.Timers.Cancel(c.deadline)
	// The connection is released first, so that a request sent as a result of the outcome can use it.
	if c.closeAfter {
		c.close()
	} else {
		c.makeIdle()
	}
	if ex != nil {
		ex.conn = nil
		c.concludeFromStatus(ex)
	}
}

// concludeFromStatus reports the outcome of a response without a final line, by its status.
func (c *destinationConn) concludeFromStatus(ex *exchange) {
	end := routing.StepEnd{Outcome: balance.Errored, Report: c.report(nil)}
	switch {
	case ex.step == 0:
		switch c.status {
		case 200:
			end.Outcome = balance.Served
		case 503:
			end.Outcome = balance.Full // it runs but rejects new work: it is draining, though the list may not show that yet
		}
		if len(c.partialLine) > 0 {
			end.Report = c.report(c.partialLine)
		}
	case c.status >= 400 && c.status < 500:
		end.Rejected = true
	case c.status == 200:
		end.Outcome = balance.Reset // it accepted the request and did not report an outcome
	case (c.status == 503 || c.status == 504) && c.declined:
		end.Outcome = balance.Full
	}
	c.owner.conclude(ex, end)
}

// report parses a load report, a JSON object. If raw is empty it uses the response's Srv-Load
// header. Missing fields are NaN. It returns nil if the report has no known field.
func (c *destinationConn) report(raw []byte) []float32 {
	if len(raw) == 0 {
		raw = c.loadHeader
	}
	if len(raw) == 0 || len(c.owner.config.ReportFields) == 0 {
		return nil
	}
	var values map[string]float64
	if json.Unmarshal(raw, &values) != nil {
		return nil
	}
	out := make([]float32, len(c.owner.config.ReportFields))
	for i := range out {
		out[i] = float32(math.NaN())
	}
	known := false
	for name, v := range values {
		if i, ok := c.owner.reportIndex[name]; ok {
			out[i], known = float32(v), true
		}
	}
	if !known {
		return nil
	}
	return out
}
