package protocol

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/util/http1"
)

// call is one exchange with the pool config on a connection of its own, which a
// watch keeps for the next.
type call struct {
	owner   *Discovery
	conn    *eventloop.Conn
	abandon func()
	timeout *timerqueue.Timer
	target  string
	hold    time.Duration // how long it may wait for news
	again   bool          // asked a second time, after the first failed
	asked   bool          // an answer is owed
	head    bool
	status  int
	last    bool
	body    http1.BodyReader
	text    []byte
}

func (d *Discovery) ask(c *call, target string) {
	request := []byte("GET " + target + " HTTP/1.1\r\nHost: " + d.config.Address + "\r\n\r\n")
	c.target, c.asked, c.head, c.text = target, true, false, nil
	slog.Debug("pool config asked", "target", target)
	d.counts.Asked++
	c.timeout = d.loop.Timers.Add(d.loop.Now()+c.hold+d.patience(c), func() {
		// Silence is no sign of a crowd, in which a call is refused: what broke the connection is
		// over, or it is not, and what is owed is owed soon.
		c.again = c.again && d.config.Pushed
		d.counts.Silent++
		c.fail("no answer in time")
	})
	if c.conn != nil {
		if !c.conn.Send(request) {
			c.conn = nil
			c.fail("connection lost")
		}
		return
	}
	c.abandon = d.loop.Dial(d.config.Address, d.config.ConnectTimeout, c, func(conn *eventloop.Conn, err error) {
		c.abandon = nil
		if err != nil {
			c.fail(err.Error())
			return
		}
		c.conn = conn
		if !conn.Send(request) {
			c.conn = nil
			c.fail("connection lost")
		}
	}, func() {})
}

// close ends the call's part on the network.
func (c *call) close() {
	c.owner.loop.Timers.Cancel(c.timeout)
	if c.abandon != nil {
		c.abandon()
		c.abandon = nil
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// fail ends a call that has no answer. It is made once more at once, and each time after
// silence, on a new connection and without a hold: the service may have closed the old one or
// come up anew, and what it had to tell meanwhile is owed soon. After that the
// module asks anew when it sees fit.
func (c *call) fail(why string) {
	d := c.owner
	c.close()
	if !c.again && (c == d.watch || c == d.fetch) {
		slog.Info("pool config asked again", "reason", why)
		c.again = true
		if c == d.watch {
			d.first = true
			d.watchOn()
		} else {
			d.ask(c, c.target)
		}
		return
	}
	switch c {
	case d.watch:
		d.watch = nil
	case d.fetch:
		d.fetch = nil
	default:
		return
	}
	if d.config.Pushed {
		d.askAgent(why)
		return
	}
	slog.Warn("pool config call failed", "reason", why)
	d.core.PoolChanged(balance.ListUpdate{Kind: balance.ListFailed, Version: d.version})
}

// askAgent has the agent asked again soon: it answers nothing while the service is down.
func (d *Discovery) askAgent(why string) {
	if !d.silent {
		slog.Warn("the agent does not answer", "reason", why)
		d.silent = true
	}
	wait := pushedAgain/2 + time.Duration(rand.Int64N(int64(pushedAgain)))
	d.loop.Timers.Add(d.loop.Now()+wait, func() {
		if d.wanted && d.watch == nil {
			d.Watch(true)
		}
	})
}

// Closed is the pool config's end of the connection.
func (c *call) Closed(*eventloop.Conn) {
	c.conn = nil
	if c.head && c.body.UntilClose && c.asked {
		c.finish()
		return
	}
	if c.asked {
		c.fail("connection lost")
	}
}

// Data takes in an answer.
func (c *call) Data(conn *eventloop.Conn, in []byte) int {
	used := 0
	for conn.Open() {
		if !c.head {
			var m Message
			n, err := parseResponse(in[used:], &m)
			if err != nil {
				c.fail(err.Reason)
				return len(in)
			}
			if n == 0 {
				return used
			}
			used += n
			c.head, c.status, c.last, c.body = true, m.Status, m.Close, newBody(&m)
		}
		data, n, err := c.body.Next(in[used:])
		if err != nil {
			c.fail(err.Reason)
			return len(in)
		}
		used += n
		if c.text = append(c.text, data...); len(c.text) > mostList {
			c.fail("the list is too long")
			return len(in)
		}
		if c.body.Done {
			c.finish()
			return used
		}
		if n == 0 {
			return used
		}
	}
	return len(in)
}

// finish takes in a whole answer, and has the next watch on its way at once: a
// later one would count as a new watch.
func (c *call) finish() {
	d := c.owner
	d.loop.Timers.Cancel(c.timeout)
	c.asked = false
	if c.status != 200 {
		d.counts.Refused++
		c.again = true // a service that is down or behind is not to be asked twice
		c.fail("status " + strconv.Itoa(c.status))
		return
	}
	var list List
	if err := json.Unmarshal(c.text, &list); err != nil {
		c.fail("the list cannot be read")
		return
	}
	slog.Debug("pool config answered", "version", list.Version, "entries", len(list.Entries))
	d.counts.Answered++
	c.again, d.silent = false, false
	if c.last {
		c.close()
	}
	kind := balance.ListChanges
	if list.Snapshot {
		kind = balance.ListFull
	}
	quiet := false
	switch c {
	case d.fetch:
		d.fetch = nil
		c.close()
	case d.watch:
		quiet = !d.first && !list.Snapshot && len(list.Entries) == 0
		d.first = false
		switch {
		case list.Snapshot || list.Version >= d.version:
			d.version = list.Version
		default:
			// Another service answers, or one that has begun anew: changes since then say
			// nothing of what is listed here. All of it is asked for, at once.
			slog.Warn("pool config: the version goes backwards", "from", d.version, "to", list.Version)
			d.version, d.first, quiet = 0, true, true
		}
		d.watchOn()
	}
	if !quiet {
		d.tell(kind, list)
	}
}
