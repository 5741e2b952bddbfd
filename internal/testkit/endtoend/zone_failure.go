package endtoend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/transport"
)

const (
	// Every process that is in contact with the leader evacuates a zone within this time of the command.
	maxEvacuationTime = time.Second
	pollInterval      = 50 * time.Millisecond
	pollSlack         = 300 * time.Millisecond // by which a poll on a busy machine may show a command late
	maxUnledFraction  = 0.01                   // fraction of all requests that may be sent to a failed zone without an evacuation in the second half of its failure
	maxReturnTime     = 20 * time.Second       // from the end of the fault until the zone takes its full share again
)

// observation is the state of one voter at one poll.
type observation struct {
	at     time.Duration
	voter  string
	starts int // how often the voter had been started
	table  commands.Table
	leads  bool
}

// Zone runs a trial in which a zone fails and recovers, with a second fault at a process or a link meanwhile.
func Zone(ctx context.Context, plan Plan) (Report, error) {
	r := Report{Kind: "zone", Seed: plan.Seed, Figures: map[string]float64{}}
	s, err := newTrial(plan)
	defer s.stop()
	if err != nil {
		return r, err
	}
	if err := s.start(); err != nil {
		return r, err
	}
	r.Processes = len(s.nodes) + len(s.voters)
	s.startedAt = time.Now()
	span := plan.DurationBefore + plan.FaultDuration + plan.DurationAfter
	ctx, cancel := context.WithTimeout(ctx, span+10*time.Second)
	defer cancel()
	polled := make(chan []observation)
	polls, stop := context.WithCancel(ctx)
	defer stop()
	go func() { polled <- s.poll(polls) }()
	done := make(chan struct{})
	go func() { s.load(ctx, span, nil); close(done) }()
	failed, spared := s.injectFaults(ctx)
	<-done
	stop()
	observations := <-polled
	s.audit(&r, observations, failed, spared)
	r.Events = s.events
	return r, nil
}

// zoneFaults are the faults of a trial.
type zoneFaults struct {
	zone        string   // the zone that fails
	failure     int      // how the zone fails: partitionZone and so on
	secondFault int      // kind of the second fault: freezeNode and so on; 0: none
	node        *Process // at which the second fault is injected, if it is a fault of a node
}

// Ways in which a zone fails. They are drawn by number, so their order is part of what a seed stands for.
const (
	partitionZone = iota
	resetZone
	loseZoneResponses
	numZoneFailures // number of ways
)

// drawFaults draws the faults. They depend on the seed alone, so that trials with and without voters have the same ones.
func (s *trial) drawFaults() zoneFaults {
	rng := rand.New(rand.NewPCG(s.plan.Seed, 12))
	return zoneFaults{zone: zones[rng.IntN(len(zones))], failure: rng.IntN(numZoneFailures), secondFault: rng.IntN(numSecondFaults),
		node: s.nodes[rng.IntN(len(s.nodes))]}
}

// recordRequests has the proxies to the workers of a zone record the requests.
func (s *trial) recordRequests(zone string) {
	for _, p := range s.proxies {
		if toWorkersOf(zone)(p.From, p.To) {
			p.StartRecording()
		}
	}
}

// toWorkersOf returns a filter for the links to the workers of a zone.
func toWorkersOf(zone string) func(from, to string) bool {
	return func(_, to string) bool { return strings.HasPrefix(to, "w-"+zone) }
}

// beginFaults injects the zone failure and the second fault. end reverts both. The spared processes are the
// nodes that the second fault freezes or kills: their clients and the requests that they send are left out of the checks.
func (s *trial) beginFaults(faults zoneFaults) (spared map[string]bool, end func()) {
	spared = map[string]bool{}
	toWorkers := toWorkersOf(faults.zone)
	switch faults.failure {
	case partitionZone:
		s.note("zone %s: partition: traffic to and from its prep workers is withheld, no connection is reset", faults.zone)
		s.setLinks(Link{Withheld: true}, Link{Withheld: true}, toWorkers)
	case resetZone:
		s.note("zone %s: all connections to its prep workers are reset", faults.zone)
		s.setLinks(Link{Cut: true}, Link{Cut: true}, toWorkers)
	default:
		s.note("zone %s: the responses of its prep workers are withheld", faults.zone)
		s.setLinks(Link{}, Link{Withheld: true}, toWorkers)
	}
	undo := s.injectSecondFault(faults.secondFault, faults.node, faults.zone, spared)
	return spared, func() {
		s.note("zone %s: the links to its prep workers work again", faults.zone)
		s.setLinks(Link{}, Link{}, toWorkers)
		undo()
	}
}

// injectFaults injects and reverts the faults at the times of the plan. It returns the failed zone and the spared processes.
func (s *trial) injectFaults(ctx context.Context) (failed string, spared map[string]bool) {
	faults := s.drawFaults()
	waitFor := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d - s.elapsed()):
			return true
		}
	}
	s.recordRequests(faults.zone)
	if !waitFor(s.plan.DurationBefore) {
		return faults.zone, nil
	}
	spared, end := s.beginFaults(faults)
	if waitFor(s.plan.DurationBefore + s.plan.FaultDuration) {
		end()
	}
	return faults.zone, spared
}

// Kinds of the second fault. They are drawn by number, so their order is part of what a seed stands for; 0 is none.
const (
	freezeNode = 1 + iota
	killNode
	killLeader
	partitionVoter
	partitionHealthyZone
	numSecondFaults // number of kinds, with none
)

// injectSecondFault injects a fault at a process or a link during the zone failure. undo reverts it.
func (s *trial) injectSecondFault(kind int, node *Process, failed string, spared map[string]bool) (undo func()) {
	switch kind {
	case freezeNode:
		spared[node.Name] = true
		s.note("%s is frozen", node.Name)
		_ = node.Freeze()
		return func() {
			s.note("%s is thawed", node.Name)
			_ = node.Thaw()
		}
	case killNode:
		spared[node.Name] = true
		return s.kill(node, "%s is killed")
	case partitionHealthyZone:
		return s.partitionHealthyZone(node, failed)
	}
	if len(s.voters) == 0 {
		return func() {}
	}
	switch kind {
	case killLeader:
		return s.kill(s.leader(), "%s, the leader, is killed")
	case partitionVoter:
		return s.partitionVoter(failed)
	}
	return func() {}
}

// kill kills a process and notes that in the given format. undo restarts the process.
func (s *trial) kill(process *Process, note string) (undo func()) {
	s.note(note, process.Name)
	_ = process.Kill()
	return func() { s.restart(process) }
}

// leader returns the voter that reports itself as the leader, or the first voter if none does.
func (s *trial) leader() *Process {
	leader := s.voters[0]
	for _, voter := range s.voters {
		if status, err := s.client.Status(context.Background(), s.addresses[voter.Name]); err == nil && status.Leader == status.Voter {
			leader = voter
		}
	}
	return leader
}

// partitionHealthyZone partitions one node from the workers of a healthy zone. undo reverts that.
func (s *trial) partitionHealthyZone(node *Process, failed string) (undo func()) {
	other := zones[0]
	if other == failed {
		other = zones[1]
	}
	s.note("%s, and no other node, is partitioned from the prep workers of the healthy zone %s", node.Name, other)
	match := func(from, to string) bool { return from == node.Name && strings.HasPrefix(to, "w-"+other) }
	s.setLinks(Link{Withheld: true}, Link{Withheld: true}, match)
	return func() { s.setLinks(Link{}, Link{}, match) }
}

// partitionVoter withholds the messages of the failed zone's voter from the other voters and delays theirs to it. undo
// reverts that.
func (s *trial) partitionVoter(failed string) (undo func()) {
	s.note("voter of zone %s: its messages to the other voters are withheld, and theirs to it are delayed", failed)
	own := ""
	for _, voter := range s.voters {
		if voter.Zone == failed {
			own = voter.Name
		}
	}
	outgoing := func(from, to string) bool { return from == own && strings.HasPrefix(to, "v") }
	incoming := func(from, to string) bool { return to == own && strings.HasPrefix(from, "v") }
	s.setLinks(Link{Withheld: true}, Link{}, outgoing)
	s.setLinks(Link{Delay: 100 * time.Millisecond}, Link{Delay: 100 * time.Millisecond}, incoming)
	return func() {
		s.setLinks(Link{}, Link{}, outgoing)
		s.setLinks(Link{}, Link{}, incoming)
	}
}

// restart starts a killed process again.
func (s *trial) restart(p *Process) {
	if err := p.Start(); err != nil {
		s.note("%s does not start again: %v", p.Name, err)
		return
	}
	s.note("%s is ready again", p.Name)
}

// poll polls the status of the running voters until the context ends.
func (s *trial) poll(ctx context.Context) (out []observation) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	noted := map[string]string{}
	for {
		select {
		case <-ctx.Done():
			return out
		case <-tick.C:
		}
		for _, v := range s.voters {
			if runs, _ := v.State(); !runs {
				continue
			}
			starts := v.starts
			if st, err := s.client.Status(ctx, s.addresses[v.Name]); err == nil {
				out = append(out, observation{s.elapsed(), v.Name, starts, st.Table, st.Leader == st.Voter})
				s.noteVerdicts(noted, v.Name, st)
			}
		}
	}
}

// noteVerdicts notes the leader's verdicts on the zones and its commands when they differ from the noted ones.
func (s *trial) noteVerdicts(noted map[string]string, voter string, st transport.Status) {
	if st.Leader != st.Voter {
		return
	}
	for _, z := range zones {
		verdict, _, _ := strings.Cut(st.Assessments[z], ",")
		o := st.Table.Zone(z)
		now := fmt.Sprintf("%s, ordered: %v, share %.3f", verdict, o.Phase, o.Share)
		if now != noted[z] {
			noted[z] = now
			s.note("%s on zone %s: %s (%s)", voter, z, now, st.Assessments[z])
		}
	}
}

// violationFunc records a violation of an invariant.
type violationFunc func(format string, values ...any)

// violations returns the function that adds a violation to the report.
func (r *Report) violations() violationFunc {
	return func(format string, values ...any) {
		r.Violations = append(r.Violations, fmt.Sprintf(format, values...))
	}
}

// auditRequests checks that each request got a response, that no booking was started twice, and that no process ended
// unexpectedly.
func (s *trial) auditRequests(spared map[string]bool, violate violationFunc) {
	for _, q := range s.requests {
		if q.status == 0 && !spared[q.node] {
			violate("request %s to %s got no response", q.id, q.node)
		}
	}
	begun := map[string]int{}
	for _, z := range zones {
		for _, w := range s.workers[z] {
			for id, n := range w.StartCounts() {
				begun[id] += n
			}
		}
	}
	for _, q := range s.requests {
		if q.class == bookings && begun[q.id] > 1 {
			violate("booking %s was started %d times", q.id, begun[q.id])
		}
	}
	for _, p := range append(append([]*Process{}, s.nodes...), s.voters...) {
		if runs, should := p.State(); should && !runs {
			violate("%s ended unexpectedly; its log ends with %q", p.Name, p.logTail())
		}
	}
}

// auditEpochs checks that no voter returned to an earlier table between two starts.
func auditEpochs(observations []observation, violate violationFunc) {
	epochs := map[string]uint64{}
	for _, o := range observations {
		voterRun := fmt.Sprintf("%s after start %d", o.voter, o.starts)
		if o.table.Epoch < epochs[voterRun] {
			violate("%s: the table went back from epoch %d to %d", voterRun, epochs[voterRun], o.table.Epoch)
		}
		epochs[voterRun] = o.table.Epoch
	}
}

// audit checks the invariants of the trial and adds the figures.
func (s *trial) audit(report *Report, observations []observation, failed string, spared map[string]bool) {
	violate := report.violations()
	s.auditRequests(spared, violate)
	auditEpochs(observations, violate)
	if len(s.voters) > 0 {
		s.auditEvacuation(report, observations, failed, spared, violate)
	}
	end := s.plan.DurationBefore + s.plan.FaultDuration + 8*time.Second
	asked, served := s.value(s.plan.DurationBefore, end, spared)
	report.Figures["worth_lost"] = 1 - served/max(asked, 1)
	all, ok := s.value(0, s.plan.DurationBefore+s.plan.FaultDuration+s.plan.DurationAfter, spared)
	report.Figures["worth_lost_all_day"] = 1 - ok/max(all, 1)
	report.Figures["requests"] = float64(len(s.requests))
}

// countSends returns how many fragments were sent to the workers of a zone between two times, without those of the
// spared processes.
func (s *trial) countSends(zone string, spared map[string]bool, from, to time.Duration) (n int) {
	for _, p := range s.proxies {
		if !strings.HasPrefix(p.To, "w-"+zone) || spared[p.From] {
			continue
		}
		for _, at := range p.SendTimes() {
			if t := at.Sub(s.startedAt); t > from && t < to {
				n++
			}
		}
	}
	return n
}

// auditEvacuation checks that the failed zone alone was evacuated, that nothing was sent to it meanwhile, and that it took
// its full share again after the fault. It need not be evacuated if almost nothing was sent to it anyway.
func (s *trial) auditEvacuation(report *Report, observations []observation, failed string, spared map[string]bool, violate violationFunc) {
	var evacuatedAt, probedAt, returnedAt time.Duration
	for _, o := range observations {
		for _, z := range zones {
			if row := o.table.Zone(z); z != failed && row.Phase != commands.PhaseActive {
				violate("the healthy zone %s is in phase %v at %v, with the reason %q", z, row.Phase, o.at, row.Reason)
				return
			}
		}
		z := o.table.Zone(failed)
		switch {
		case evacuatedAt == 0 && z.Phase == commands.PhaseEvacuated:
			evacuatedAt = o.at
		case evacuatedAt > 0 && probedAt == 0 && z.Phase != commands.PhaseEvacuated && o.leads:
			probedAt = o.at
		case probedAt > 0 && o.at > s.plan.DurationBefore+s.plan.FaultDuration && returnedAt == 0 && z.Phase == commands.PhaseActive && len(z.UnreachableFrom) == 0 && o.leads:
			returnedAt = o.at
		}
	}
	if evacuatedAt == 0 {
		// If the nodes soon send almost nothing there of their own accord, the leader sees too few requests to evacuate the zone.
		late := s.countSends(failed, spared, s.plan.DurationBefore+s.plan.FaultDuration/2, s.plan.DurationBefore+s.plan.FaultDuration)
		if report.Figures["sends_unled"] = float64(late); float64(late) > maxUnledFraction*float64(len(s.requests)) {
			violate("zone %s was never evacuated, and %d fragments were sent there in the second half of its failure", failed, late)
		}
		return
	}
	if probedAt == 0 {
		probedAt = s.elapsed()
	}
	report.Figures["left_after"] = (evacuatedAt - s.plan.DurationBefore).Seconds()
	// The end of the evacuation precedes the poll that shows it.
	sends := s.countSends(failed, spared, evacuatedAt+maxEvacuationTime, probedAt-pollSlack)
	report.Figures["sends_to_left"] = float64(sends)
	if sends > 0 {
		violate("%d fragments were sent to zone %s while it was evacuated", sends, failed)
	}
	healedAt := s.plan.DurationBefore + s.plan.FaultDuration
	if returnedAt > 0 {
		report.Figures["back_after"] = (returnedAt - healedAt).Seconds()
	} else if s.plan.DurationAfter >= maxReturnTime {
		violate("zone %s does not take its full share again within %v of the end of the fault", failed, s.plan.DurationAfter)
	}
}
