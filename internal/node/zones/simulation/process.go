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

// The simulation's own checks for Scenario.DisabledCheck; the others are those of replica, commands and follower.
const (
	checkDurable = "write" // a write is acknowledged when it is durable
	checkReady   = "ready" // a new node waits for its first table
)

// process is a voter or node with a clock of its own.
type process struct {
	simulation  *simulation
	name        string
	zone        string
	down        bool
	paused      bool
	deferred    []func() // what became due while it was paused
	incarnation int      // grows with each start and crash
	clockRate   float64  // against the simulation's clock
	voter       *voterProcess
	node        *nodeProcess
}

// now returns the time on the process's own clock.
func (p *process) now() time.Duration { return time.Duration(float64(p.simulation.now) * p.clockRate) }

// after runs f at the process after a duration on its own clock, unless it crashed by then.
func (p *process) after(d time.Duration, f func()) {
	incarnation := p.incarnation
	p.simulation.after(time.Duration(float64(d)/p.clockRate), func() { p.do(incarnation, f) })
}

// do runs f unless the process crashed since the incarnation; a paused process runs it when it resumes.
func (p *process) do(incarnation int, f func()) {
	switch {
	case p.down || p.incarnation != incarnation:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.do(incarnation, f) })
	default:
		f()
	}
}

// crash ends the process without notice.
func (p *process) crash() {
	p.down = true
	p.incarnation++
	p.deferred, p.paused = nil, false
	if p.voter != nil {
		p.voter.stop()
	}
	if p.node != nil {
		p.node.follower = nil
	}
}

func (p *process) start() {
	p.down = false
	p.incarnation++
	if p.voter != nil {
		p.voter.start()
	} else {
		p.node.start()
	}
}

func (p *process) pause() { p.paused = true }

func (p *process) resume() {
	p.paused = false
	later := p.deferred
	p.deferred = nil
	for _, f := range later {
		f()
	}
}

// disk is a voter's durable state.
type disk struct {
	stored replicatedlog.StoredState
	starts uint64
	name   string
}

func (d *disk) write(persist replicatedlog.Persist) {
	if persist.HardState != nil {
		d.stored.HardState = persist.HardState
	}
	entries := d.stored.Entries
	if persist.Snapshot != nil {
		d.stored.Snapshot = persist.Snapshot
		if persist.Replaces {
			entries = nil
		}
		for len(entries) > 0 && entries[0].Index < persist.First {
			entries = entries[1:]
		}
	}
	if len(persist.Entries) > 0 {
		for len(entries) > 0 && entries[len(entries)-1].Index >= persist.Entries[0].Index {
			entries = entries[:len(entries)-1]
		}
		entries = append(entries[:len(entries):len(entries)], persist.Entries...)
	}
	d.stored.Entries = entries
}

// reopen returns what a start finds, and counts it.
func (d *disk) reopen() replicatedlog.StoredState {
	d.starts++
	return d.stored
}

// voterProcess is a voter with its disk.
type voterProcess struct {
	process   *process
	id        uint64
	disk      disk
	replica   *replica.Replica
	writing   bool
	checked   uint64        // log index of the last table checked
	startedAt time.Duration // the replica's clock counts from each start
}

func (v *voterProcess) now() time.Duration { return v.process.now() - v.startedAt }

func (v *voterProcess) start() {
	d := v.process.simulation.scenario
	rules := d.Replica
	stored := v.disk.reopen()
	v.startedAt = v.process.now()
	made, err := replica.New(0, replica.Config{Fleet: "sim", ID: v.id, Store: v.disk.name, Starts: v.disk.starts, Settings: rules, Classes: classes,
		Rand: rand.New(rand.NewPCG(d.Seed, v.id<<16|v.disk.starts)), Logger: slog.New(slog.DiscardHandler),
		WallClock: func() int64 { return v.process.simulation.now.Microseconds() }, DisabledCheck: d.DisabledCheck}, stored)
	if err != nil {
		v.process.simulation.violate("voter %s does not start: %v", v.process.name, err)
		return
	}
	v.replica, v.writing, v.checked = made, false, 0
	v.tick()
}

func (v *voterProcess) stop() { v.replica = nil }

func (v *voterProcess) tick() {
	v.replica.Tick(v.now())
	v.flush()
	v.process.after(v.process.simulation.scenario.Replica.Tick, v.tick)
}

// flush starts the next write unless one is in progress, and sends the outgoing messages.
func (v *voterProcess) flush() {
	s := v.process.simulation
	if err := v.replica.Err(); err != nil {
		s.violate("voter %s: %v", v.process.name, err)
		v.process.crash()
		return
	}
	if !v.writing {
		if persist, ok := v.replica.NextPersist(); ok {
			v.writing = true
			written := func() {
				v.disk.write(persist)
				v.replica.Persisted(persist)
				v.writing = false
				s.checkLog(v)
				v.flush()
			}
			if s.scenario.DisabledCheck == checkDurable {
				// Acknowledged before it is durable: a crash loses it.
				v.replica.Persisted(persist)
				s.checkLog(v)
				v.process.after(s.scenario.DiskLatency.draw(s.rng), func() { v.disk.write(persist); v.writing = false; v.flush() })
			} else {
				v.process.after(s.scenario.DiskLatency.draw(s.rng), written)
			}
		}
	}
	posts := v.replica.TakeOutgoing()
	s.checkLog(v)
	for _, post := range posts {
		to := s.voters[post.To-1]
		s.network.send(v.process, to, func() {
			to.do(to.incarnation, func() {
				_ = to.voter.replica.Receive(to.voter.now(), post.Message)
				to.voter.flush()
			})
		})
	}
}

// nodeProcess is a node that sends steps to zones.
type nodeProcess struct {
	process       *process
	number        int
	follower      *follower.Follower
	failedReports int // reports without a lease, each to be followed by another voter
	credit        float64
	epoch         uint64
	startedAt     time.Duration
}

var classes = []failover.Class{{Name: "check", Value: 2}, {Name: "preview", Value: 1}, {Name: "book", Value: 4, NonIdempotent: true}}

func (n *nodeProcess) start() {
	d := n.process.simulation.scenario
	n.follower = follower.New(n.process.now(), d.Follower, "sim", n.process.name, n.process.zone, uint64(n.process.now().Microseconds())+1, len(classes),
		rand.New(rand.NewPCG(d.Seed, uint64(n.number)<<20|uint64(n.process.incarnation))))
	n.follower.DisabledCheck = d.DisabledCheck
	n.failedReports, n.epoch, n.startedAt = 0, 0, n.process.now()
	if !d.Standalone {
		n.report()
	}
	n.work()
}

// report sends the next report, at first to the voter of the node's number.
func (n *nodeProcess) report() {
	s := n.process.simulation
	r, next := n.follower.Report(n.process.now())
	sent := n.process.now()
	voters := len(s.voters)
	to := s.voters[(n.number+n.failedReports)%voters]
	answered := false
	s.network.send(n.process, to, func() {
		to.do(to.incarnation, func() {
			a, err := to.voter.replica.HandleReport(to.voter.now(), r)
			to.voter.flush()
			if err != nil {
				return
			}
			s.network.send(to, n.process, func() {
				n.process.do(n.process.incarnation, func() {
					answered = answered || a.Lease > 0
					if n.follower.HandleResponse(n.process.now(), sent, a) {
						n.checkTable()
					}
				})
			})
		})
	})
	n.process.after(next, func() {
		if !answered {
			n.failedReports++
		}
		n.report()
	})
}

// checkTable checks the table that was applied.
func (n *nodeProcess) checkTable() {
	s := n.process.simulation
	at := n.follower.Epoch()
	if at < n.epoch {
		s.violate("%s went back from epoch %d to %d", n.process.name, n.epoch, at)
	}
	n.epoch = at
	if known, ok := s.tablesByEpoch[at]; ok && at > 0 && known != s.encodeTable(n.follower.Table()) {
		s.violate("%s holds another table of epoch %d than was committed", n.process.name, at)
	}
}

// work sends the steps of a tenth of a second.
func (n *nodeProcess) work() {
	s, d := n.process.simulation, n.process.simulation.scenario
	const span = tenth
	now := n.process.now()
	if !d.Standalone && d.DisabledCheck != checkReady && !n.follower.Ready(now) {
		n.process.after(span, n.work) // no request is admitted yet
		return
	}
	shares := n.follower.Shares(now, s.zones)
	s.checkShares(n, shares)
	total := 0.0
	for _, z := range s.zones {
		total += shares[z]
	}
	rate := d.Rate * s.loadFactor * span.Seconds()
	n.credit += rate
	for ; n.credit >= 1; n.credit-- {
		class := s.rng.IntN(len(classes))
		s.result.Offered += classes[class].Value
		if s.rng.Float64() >= n.follower.AdmittedFraction(now, classes[class].Name) {
			s.result.Rejected += classes[class].Value
			continue
		}
		at := s.rng.Float64() * total
		zone := s.zones[len(s.zones)-1]
		for _, z := range s.zones {
			if at < shares[z] {
				zone = z
				break
			}
			at -= shares[z]
		}
		n.sendStep(zone, class)
	}
	for _, z := range s.zones {
		n.follower.Monitor().SetCapacity(now, z, s.zoneStates[z].slots, 1-s.zoneStates[z].warmCapacity())
	}
	n.process.after(span, n.work)
}

// sendStep sends one step and records its outcome when it shows.
func (n *nodeProcess) sendStep(zone string, class int) {
	s := n.process.simulation
	sent, incarnation := n.process.now(), n.process.incarnation
	monitor := n.follower.Monitor()
	monitor.RecordSent(sent, zone, class, workPerStep)
	outcome, after := s.stepOutcome(n, zone)
	n.process.after(after, func() {
		if n.process.incarnation != incarnation {
			return
		}
		monitor.RecordOutcome(n.process.now(), sent, zone, outcome)
	})
	if outcome.Succeeded > 0 && outcome.Late == 0 {
		s.result.Served += classes[class].Value
	}
}
