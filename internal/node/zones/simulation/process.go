package simulation

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"ospreybend/internal/node/zones/failover"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
	"ospreybend/internal/node/zones/replicatedlog"
)

// process is one of the fleet's, with a clock of its own.
type process struct {
	w      *world
	name   string
	zone   string
	down   bool
	frozen bool
	later  []func() // what came while it was frozen
	life   int      // raised by each start
	rate   float64  // of its clock
	voter  *voterProcess
	node   *nodeProcess
}

// now is the time on the process's own clock.
func (p *process) now() time.Duration { return time.Duration(float64(p.w.now) * p.rate) }

// after has the process do something after a time on its own clock, unless it has ended.
func (p *process) after(d time.Duration, f func()) {
	life := p.life
	p.w.after(time.Duration(float64(d)/p.rate), func() { p.do(life, f) })
}

func (p *process) do(life int, f func()) {
	switch {
	case p.down || p.life != life:
	case p.frozen:
		p.later = append(p.later, func() { p.do(life, f) })
	default:
		f()
	}
}

// crash ends it without a word.
func (p *process) crash() {
	p.down = true
	p.life++
	p.later, p.frozen = nil, false
	if p.voter != nil {
		p.voter.end()
	}
	if p.node != nil {
		p.node.f = nil
	}
}

func (p *process) start() {
	p.down = false
	p.life++
	if p.voter != nil {
		p.voter.start()
	} else {
		p.node.start()
	}
}

func (p *process) freeze() { p.frozen = true }

func (p *process) thaw() {
	p.frozen = false
	later := p.later
	p.later = nil
	for _, f := range later {
		f()
	}
}

// disk is what a voter has written through.
type disk struct {
	stored replicatedlog.Stored
	runs   uint64
	name   string
}

func (d *disk) write(p replicatedlog.Persist) {
	if p.HardState != nil {
		d.stored.HardState = p.HardState
	}
	entries := d.stored.Entries
	if p.Snapshot != nil {
		d.stored.Snapshot = p.Snapshot
		if p.Replaces {
			entries = nil
		}
		for len(entries) > 0 && entries[0].Index < p.First {
			entries = entries[1:]
		}
	}
	if len(p.Entries) > 0 {
		for len(entries) > 0 && entries[len(entries)-1].Index >= p.Entries[0].Index {
			entries = entries[:len(entries)-1]
		}
		entries = append(entries[:len(entries):len(entries)], p.Entries...)
	}
	d.stored.Entries = entries
}

// reopen is what a start finds.
func (d *disk) reopen() replicatedlog.Stored {
	d.runs++
	return d.stored
}

// voterProcess is a voter with its disk.
type voterProcess struct {
	p       *process
	id      uint64
	disk    disk
	v       *replica.Voter
	writing bool
	checked uint64        // the last entry applied that the orders were held against
	born    time.Duration // the voter's clock begins with each start
}

func (v *voterProcess) now() time.Duration { return v.p.now() - v.born }

func (v *voterProcess) start() {
	d := v.p.w.day
	rules := d.Voter
	stored := v.disk.reopen()
	v.born = v.p.now()
	made, err := replica.New(0, replica.Config{Fleet: "sim", ID: v.id, Store: v.disk.name, Runs: v.disk.runs, Rules: rules, Classes: classes,
		Rand: rand.New(rand.NewPCG(d.Seed, v.id<<16|v.disk.runs)), Logger: slog.New(slog.DiscardHandler),
		Wall: func() int64 { return v.p.w.now.Microseconds() }, Without: d.Without}, stored)
	if err != nil {
		v.p.w.violate("voter %s does not start: %v", v.p.name, err)
		return
	}
	v.v, v.writing, v.checked = made, false, 0
	v.tick()
}

func (v *voterProcess) end() { v.v = nil }

func (v *voterProcess) tick() {
	v.v.Tick(v.now())
	v.flush()
	v.p.after(v.p.w.day.Voter.Tick, v.tick)
}

// flush writes through what is next, and sends what may go out.
func (v *voterProcess) flush() {
	w := v.p.w
	if err := v.v.Broken(); err != nil {
		w.violate("voter %s: %v", v.p.name, err)
		v.p.crash()
		return
	}
	if !v.writing {
		if persist, ok := v.v.Next(); ok {
			v.writing = true
			written := func() {
				v.disk.write(persist)
				v.v.Done(persist)
				v.writing = false
				w.checkLog(v)
				v.flush()
			}
			if w.day.Without == "write" {
				// Said before it is written through: a crash takes it back.
				v.v.Done(persist)
				w.checkLog(v)
				v.p.after(w.day.Disk.draw(w.rng), func() { v.disk.write(persist); v.writing = false; v.flush() })
			} else {
				v.p.after(w.day.Disk.draw(w.rng), written)
			}
		}
	}
	posts := v.v.Post()
	w.checkLog(v)
	for _, post := range posts {
		to := w.voters[post.To-1]
		w.net.send(v.p, to, func() {
			to.do(to.life, func() {
				_ = to.voter.v.Take(to.voter.now(), post.Letter)
				to.voter.flush()
			})
		})
	}
}

// nodeProcess is a node that sends work to zones.
type nodeProcess struct {
	p      *process
	number int
	f      *follower.Follower
	asks   int // voters asked in vain
	credit float64
	epoch  uint64
	began  time.Duration
}

var classes = []failover.Class{{Name: "check", Worth: 2}, {Name: "preview", Worth: 1}, {Name: "book", Worth: 4, Once: true}}

func (n *nodeProcess) start() {
	d := n.p.w.day
	n.f = follower.New(n.p.now(), d.Follow, "sim", n.p.name, n.p.zone, uint64(n.p.now().Microseconds())+1, len(classes),
		rand.New(rand.NewPCG(d.Seed, uint64(n.number)<<20|uint64(n.p.life))))
	n.f.Without = d.Without
	n.asks, n.epoch, n.began = 0, 0, n.p.now()
	if !d.Alone {
		n.report()
	}
	n.work()
}

// report tells a voter what is seen, the near one first.
func (n *nodeProcess) report() {
	w := n.p.w
	r, next := n.f.Report(n.p.now())
	sent := n.p.now()
	voters := len(w.voters)
	to := w.voters[(n.number+n.asks)%voters]
	answered := false
	w.net.send(n.p, to, func() {
		to.do(to.life, func() {
			a, err := to.voter.v.Report(to.voter.now(), r)
			to.voter.flush()
			if err != nil {
				return
			}
			w.net.send(to, n.p, func() {
				n.p.do(n.p.life, func() {
					answered = answered || a.Lease > 0
					if n.f.Heard(n.p.now(), sent, a) {
						n.took()
					}
				})
			})
		})
	})
	n.p.after(next, func() {
		if !answered {
			n.asks++
		}
		n.report()
	})
}

// took checks the orders that have been taken up.
func (n *nodeProcess) took() {
	w := n.p.w
	at := n.f.Epoch()
	if at < n.epoch {
		w.violate("%s went back from epoch %d to %d", n.p.name, n.epoch, at)
	}
	n.epoch = at
	if known, ok := w.tables[at]; ok && at > 0 && known != w.text(n.f.Table()) {
		w.violate("%s holds other orders of epoch %d than were agreed on", n.p.name, at)
	}
}

// work sends for a tenth of a second.
func (n *nodeProcess) work() {
	w, d := n.p.w, n.p.w.day
	const span = 100 * time.Millisecond
	now := n.p.now()
	if !d.Alone && d.Without != "ready" && !n.f.Ready(now) {
		n.p.after(span, n.work) // no client is let in yet
		return
	}
	shares := n.f.Shares(now, w.zones)
	w.checkShares(n, shares)
	total := 0.0
	for _, z := range w.zones {
		total += shares[z]
	}
	rate := d.Rate * w.crowd * span.Seconds()
	n.credit += rate
	for ; n.credit >= 1; n.credit-- {
		class := w.rng.IntN(len(classes))
		w.result.Asked += classes[class].Worth
		if w.rng.Float64() >= n.f.Admit(now, classes[class].Name) {
			w.result.Refused += classes[class].Worth
			continue
		}
		at := w.rng.Float64() * total
		zone := w.zones[len(w.zones)-1]
		for _, z := range w.zones {
			if at < shares[z] {
				zone = z
				break
			}
			at -= shares[z]
		}
		n.step(zone, class)
	}
	for _, z := range w.zones {
		n.f.Eyes().Knows(now, z, w.state[z].slots, 1-w.state[z].warm())
	}
	n.p.after(span, n.work)
}

// step sends one step, and sees what becomes of it.
func (n *nodeProcess) step(zone string, class int) {
	w := n.p.w
	sent, life := n.p.now(), n.p.life
	eyes := n.f.Eyes()
	eyes.Sent(sent, zone, class, workEach)
	outcome, after := w.outcome(n, zone)
	n.p.after(after, func() {
		if n.p.life != life {
			return
		}
		eyes.Note(n.p.now(), sent, zone, outcome)
	})
	if outcome.Good > 0 && outcome.Late == 0 {
		w.result.Served += classes[class].Worth
	}
}
