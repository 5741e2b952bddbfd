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

// Checks of the simulation itself that Scenario.DisabledCheck can skip. Packages replica, commands and follower define
// the others.
const (
	checkDurable = "write" // a write is acknowledged only when it is durable
	checkReady   = "ready" // a new node waits for its first table
)

// process is a voter or a node. It has its own clock.
type process struct {
	simulation  *simulation
	name        string
	zone        string
	down        bool
	paused      bool
	deferred    []func() // functions that became due while the process was paused
	incarnation int      // incremented by each start and crash
	clockRate   float64  // rate of the process's clock relative to the simulation's
	voter       *voterProcess
	node        *nodeProcess
}

// now returns the time on the process's own clock.
func (p *process) now() time.Duration { return time.Duration(float64(p.simulation.now) * p.clockRate) }

// after runs f in the process after a duration on the process's clock, unless the process has crashed by then.
func (p *process) after(d time.Duration, f func()) {
	incarnation := p.incarnation
	p.simulation.after(time.Duration(float64(d)/p.clockRate), func() { p.do(incarnation, f) })
}

// do runs f if the process still has the given incarnation and is up. A paused process runs f when it resumes.
func (p *process) do(incarnation int, f func()) {
	switch {
	case p.down || p.incarnation != incarnation:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.do(incarnation, f) })
	default:
		f()
	}
}

// crash stops the process at once. What it has not made durable is lost.
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
	deferred := p.deferred
	p.deferred = nil
	for _, f := range deferred {
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
		if persist.ReplacesEntries {
			entries = nil
		}
		for len(entries) > 0 && entries[0].Index < persist.FirstIndex {
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

// reopen counts a start and returns the stored state.
func (d *disk) reopen() replicatedlog.StoredState {
	d.starts++
	return d.stored
}

// voterProcess is a voter with its disk.
type voterProcess struct {
	process      *process
	id           uint64
	disk         disk
	replica      *replica.Replica
	writing      bool
	checkedIndex uint64        // log index of the last table compared by checkLog
	startedAt    time.Duration // on the process's clock; the replica's clock starts at 0 then
}

func (v *voterProcess) now() time.Duration { return v.process.now() - v.startedAt }

func (v *voterProcess) start() {
	scenario := v.process.simulation.scenario
	settings := scenario.Replica
	stored := v.disk.reopen()
	v.startedAt = v.process.now()
	created, err := replica.New(0, replica.Config{Fleet: "sim", ID: v.id, Store: v.disk.name, Starts: v.disk.starts, Settings: settings, Classes: classes,
		Rand: rand.New(rand.NewPCG(scenario.Seed, v.id<<16|v.disk.starts)), Logger: slog.New(slog.DiscardHandler),
		WallClock: func() int64 { return v.process.simulation.now.Microseconds() }, DisabledCheck: scenario.DisabledCheck}, stored)
	if err != nil {
		v.process.simulation.addViolation("voter %s does not start: %v", v.process.name, err)
		return
	}
	v.replica, v.writing, v.checkedIndex = created, false, 0
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
		s.addViolation("voter %s: %v", v.process.name, err)
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
	envelopes := v.replica.TakeOutgoing()
	s.checkLog(v)
	for _, envelope := range envelopes {
		to := s.voters[envelope.To-1]
		s.network.send(v.process, to, func() {
			to.do(to.incarnation, func() {
				_ = to.voter.replica.Receive(to.voter.now(), envelope.Message)
				to.voter.flush()
			})
		})
	}
}

// nodeProcess is a node, which sends steps to zones.
type nodeProcess struct {
	process           *process
	number            int
	follower          *follower.Follower
	failedReports     int // reports that yielded no lease; after each the node reports to the next voter
	pendingOperations float64
	epoch             uint64
	startedAt         time.Duration
}

var classes = []failover.Class{{Name: "check", Value: 2}, {Name: "preview", Value: 1}, {Name: "book", Value: 4, NonIdempotent: true}}

func (n *nodeProcess) start() {
	scenario := n.process.simulation.scenario
	n.follower = follower.New(n.process.now(), scenario.Follower, "sim", n.process.name, n.process.zone, uint64(n.process.now().Microseconds())+1, len(classes),
		rand.New(rand.NewPCG(scenario.Seed, uint64(n.number)<<20|uint64(n.process.incarnation))))
	n.follower.DisabledCheck = scenario.DisabledCheck
	n.failedReports, n.epoch, n.startedAt = 0, 0, n.process.now()
	if !scenario.Standalone {
		n.report()
	}
	n.work()
}

// report sends the next report. The first goes to the voter that the node's number selects.
func (n *nodeProcess) report() {
	s := n.process.simulation
	report, next := n.follower.Report(n.process.now())
	sent := n.process.now()
	voters := len(s.voters)
	to := s.voters[(n.number+n.failedReports)%voters]
	leased := false
	s.network.send(n.process, to, func() {
		to.do(to.incarnation, func() {
			response, err := to.voter.replica.HandleReport(to.voter.now(), report)
			to.voter.flush()
			if err != nil {
				return
			}
			s.network.send(to, n.process, func() {
				n.process.do(n.process.incarnation, func() {
					leased = leased || response.Lease > 0
					if n.follower.HandleResponse(n.process.now(), sent, response) {
						n.checkTable()
					}
				})
			})
		})
	})
	n.process.after(next, func() {
		if !leased {
			n.failedReports++
		}
		n.report()
	})
}

// checkTable checks that the table just applied is not older than the last one and is the committed one of its epoch.
func (n *nodeProcess) checkTable() {
	s := n.process.simulation
	epoch := n.follower.Epoch()
	if epoch < n.epoch {
		s.addViolation("%s went back from table epoch %d to %d", n.process.name, n.epoch, epoch)
	}
	n.epoch = epoch
	if known, ok := s.tablesByEpoch[epoch]; ok && epoch > 0 && known != s.encodeTable(n.follower.Table()) {
		s.addViolation("%s has a table of epoch %d that differs from the committed one", n.process.name, epoch)
	}
}

// work sends the steps of one loadInterval, then schedules itself again.
func (n *nodeProcess) work() {
	s, scenario := n.process.simulation, n.process.simulation.scenario
	const interval = loadInterval
	now := n.process.now()
	if !scenario.Standalone && scenario.DisabledCheck != checkReady && !n.follower.Ready(now) {
		n.process.after(interval, n.work) // no request is admitted yet
		return
	}
	shares := n.follower.Shares(now, s.zones)
	s.checkShares(n, shares)
	total := 0.0
	for _, z := range s.zones {
		total += shares[z]
	}
	rate := scenario.Rate * s.loadFactor * interval.Seconds()
	n.pendingOperations += rate
	for ; n.pendingOperations >= 1; n.pendingOperations-- {
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
	n.process.after(interval, n.work)
}

// sendStep sends one step and records its outcome when the node learns of it.
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
