package protocol

import (
	"bytes"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/override"
	"ospreybend/internal/node/routing"
)

const (
	recordWithin = 700 * time.Millisecond // for a word by hand: the answer is due within 1 s
	avoidedFrom  = 0.5                    // chance of a failure at which the module avoids a destination
)

// AdminConfig is what the operators' address is told.
type AdminConfig struct {
	Listen  string
	Sockets int
	Memory  int
	Classes []string // their names by number
	Ready   func() bool
	// Record has a word by hand written where the next process finds it, beside the
	// loop, and tells on the loop what holds now. nil: there is no such place.
	Record func(name string, out bool, done func(override.Overrides, error))
	// Zone puts a word on a zone to the fleet, and tells on the loop what became of it; Fleet
	// tells how the fleet stands. nil: the node belongs to none.
	Zone  func(zone, do, reason string, span time.Duration, done func(error))
	Fleet func() []byte
}

// Admin is the operators' address: whether this process is ready, its figures, and
// prep workers out and back by hand. One call to a connection.
type Admin struct {
	*Server
	config AdminConfig
	loop   *eventloop.Loop
	core   *routing.Core
	pool   *Discovery
	to     *Destinations
	words  override.Overrides
}

// NewAdmin makes the front; Start opens it. words are those that the pool config
// is laid under.
func NewAdmin(config AdminConfig, loop *eventloop.Loop, core *routing.Core, pool *Discovery, to *Destinations,
	words override.Overrides) *Admin {
	a := &Admin{config: config, loop: loop, core: core, pool: pool, to: to, words: words}
	a.Server = NewServer(loop, config.Listen, config.Sockets, config.Memory, a.call)
	return a
}

func (a *Admin) call(c *Call) {
	c.last = true
	path, _, _ := strings.Cut(string(c.Target), "?")
	switch path {
	case "/-/ready":
		if !allow(c, "GET") {
			return
		}
		if a.config.Ready() {
			c.Reply(200, "Content-Type: text/plain\r\n", []byte("ready\n"))
		} else {
			c.Reply(503, "Content-Type: text/plain\r\n", []byte("not ready\n"))
		}
		return
	case "/-/metrics":
		if allow(c, "GET") {
			c.Reply(200, "Content-Type: text/plain\r\n", a.Figures())
		}
		return
	}
	if a.config.Zone != nil && a.fleet(c, path) {
		return
	}
	id, verb, ok := strings.Cut(strings.TrimPrefix(path, "/-/prep-workers/"), "/")
	name, err := url.PathUnescape(id)
	if !strings.HasPrefix(path, "/-/prep-workers/") || !ok || verb != "disable" && verb != "enable" || err != nil {
		c.Reject(404, "no such call")
		return
	}
	if !allow(c, "PUT") {
		return
	}
	a.say(c, name, verb == "disable")
}

const (
	wordFor     = 10 * time.Minute // that a word on a zone holds, where it names no end
	longestWord = 24 * time.Hour
)

// fleet answers the calls that concern the fleet; it tells whether this is one.
func (a *Admin) fleet(c *Call, path string) bool {
	if path == "/-/fleet" {
		if allow(c, "GET") {
			c.Reply(200, "Content-Type: text/plain\r\n", a.config.Fleet())
		}
		return true
	}
	name, do, ok := strings.Cut(strings.TrimPrefix(path, "/-/zones/"), "/")
	zone, err := url.PathUnescape(name)
	if !strings.HasPrefix(path, "/-/zones/") || !ok || err != nil || zone == "" {
		return false
	}
	if !allow(c, "PUT") {
		return true
	}
	_, query, _ := strings.Cut(string(c.Target), "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		c.Reject(400, "the query cannot be read")
		return true
	}
	span := wordFor
	if text := values.Get("for"); text != "" {
		if span, err = time.ParseDuration(text); err != nil || span <= 0 || span > longestWord {
			c.Reject(400, "for: a time above 0, at most 24h, is wanted")
			return true
		}
	}
	slog.Info("by hand", "zone", zone, "do", do, "reason", values.Get("reason"), "for", span)
	a.config.Zone(zone, do, values.Get("reason"), span, func(err error) {
		if err != nil {
			c.Reply(503, "Content-Type: text/plain\r\n", []byte(err.Error()+"\n"))
			return
		}
		c.Reply(200, "Content-Type: text/plain\r\n", []byte("done\n"))
	})
	return true
}

func allow(c *Call, method string) bool {
	if string(c.Method) != method {
		c.Reply(405, "Allow: "+method+"\r\n", []byte("only "+method+" is allowed\n"))
		return false
	}
	return true
}

// say takes a prep worker out or calls it back. Out holds from here on, whatever
// becomes of the record; back holds once it is recorded, so that a no leaves the
// prep worker out.
func (a *Admin) say(c *Call, name string, out bool) {
	id, known := a.pool.Find(name)
	if _, spoken := a.words[name]; !known && !spoken {
		c.Reject(404, "no such prep worker")
		return
	}
	slog.Info("by hand", "prep_worker", name, "out", out)
	if out {
		a.words.Set(name, true, a.loop.Now())
		a.apply(id)
	}
	answered := false
	reply := func(status int, text string) {
		if !answered {
			answered = true
			c.Reply(status, "Content-Type: text/plain\r\n", []byte(text+"\n"))
		}
	}
	if a.config.Record == nil {
		if !out {
			a.words.Set(name, false, a.loop.Now())
			a.apply(id)
		}
		reply(200, "done")
		return
	}
	late := a.loop.Timers.Add(a.loop.Now()+recordWithin, func() { reply(503, "the record in TMPDIR takes too long") })
	a.config.Record(name, out, func(now override.Overrides, err error) {
		a.loop.Timers.Cancel(late)
		if err != nil {
			slog.Error("a word by hand is not recorded", "prep_worker", name, "out", out, "fault", err)
			reply(500, "it is out in this process, but not recorded in TMPDIR: an upgrade would forget it")
			return
		}
		a.Merge(now)
		reply(200, "done")
	})
}

// Merge takes in the words that another process has recorded.
func (a *Admin) Merge(words override.Overrides) {
	for _, name := range a.words.Merge(words) {
		slog.Info("by hand", "prep_worker", name, "out", a.words.Out(name), "recorded", true)
		a.apply(numberOf(name))
	}
}

// apply has a changed word take effect. Connections from before are not used any
// more: the prep worker is restarted while it is out.
func (a *Admin) apply(id balance.WorkerID) {
	a.to.Renew(id)
	a.pool.Relay(id)
}

// Figures writes the figures, one a line.
func (a *Admin) Figures() []byte {
	var b bytes.Buffer
	line := func(name string, v uint64, kind string) {
		b.WriteString("balancer.")
		b.WriteString(name)
		b.WriteByte(':')
		b.WriteString(strconv.FormatUint(v, 10))
		b.WriteByte('|')
		b.WriteString(kind)
		b.WriteByte('\n')
	}
	counts := a.core.Counts()
	for i, class := range a.config.Classes {
		of := counts.Classes[i]
		line("served."+class, of.Served, "c")
		line("refused."+class, of.Refused, "c")
		line("failed."+class, of.Failed, "c")
	}
	line("attempts", a.to.Attempts(), "c")
	line("in_flight", uint64(a.core.Open()), "g")
	line("prep_workers_known", uint64(a.pool.Listed()), "g")
	line("prep_workers_excluded", uint64(a.excluded()), "g")
	return b.Bytes()
}

// excluded counts the listed prep workers that the node avoids now, each once.
func (a *Admin) excluded() (n int) {
	a.core.Listed(func(id balance.WorkerID, _ balance.State, doubt float64) {
		if doubt >= avoidedFrom || a.words.Out(a.pool.names[id]) {
			n++
		}
	})
	return n
}
