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
	// All processes in contact have left a zone within this of the order.
	maxEvacuationTime = time.Second
	pollInterval      = 50 * time.Millisecond
	pollSlack         = 300 * time.Millisecond // by which a look may show an order late, on a busy machine
	maxUnledFraction  = 0.01                   // part of all requests that a zone that fails may get for half of that time without being left
	maxReturnTime     = 20 * time.Second       // of the trouble's end the zone takes its whole share again
)

// observation is what one look at a voter has shown.
type observation struct {
	at    time.Duration
	voter string
	runs  int
	table commands.Table
	leads bool
}

// Zone plays a zone that fails and comes back, with faults at processes and links beside it.
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
	span := plan.QuietBefore + plan.Faulty + plan.After
	ctx, cancel := context.WithTimeout(ctx, span+10*time.Second)
	defer cancel()
	polled := make(chan []observation)
	polls, stop := context.WithCancel(ctx)
	defer stop()
	go func() { polled <- s.poll(polls) }()
	done := make(chan struct{})
	go func() { s.load(ctx, span); close(done) }()
	bad, spared := s.injectFaults(ctx)
	<-done
	stop()
	looks := <-polled
	s.audit(&r, looks, bad, spared)
	r.Story = s.story
	return r, nil
}

// injectFaults plays the trouble, and returns the zone that fails and the processes whose clients
// and sends are not held against the program, as they are themselves the trouble.
func (s *trial) injectFaults(ctx context.Context) (bad string, spared map[string]bool) {
	spared = map[string]bool{}
	rng := rand.New(rand.NewPCG(s.plan.Seed, 12)) // of its own: alone or not, the faults are the same
	bad = zones[rng.IntN(len(zones))]
	how, beside, whose := rng.IntN(3), rng.IntN(6), rng.IntN(len(s.nodes))
	at := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d - s.elapsed()):
			return true
		}
	}
	toWorkers := func(from, to string) bool { return strings.HasPrefix(to, "w-"+bad) }
	for _, p := range s.proxies {
		if toWorkers(p.From, p.To) {
			p.Count()
		}
	}
	if !at(s.plan.QuietBefore) {
		return bad, spared
	}
	switch how {
	case 0:
		s.note("zone %s: its prep workers are cut off, without a word", bad)
		s.setLinks(Link{Delayed: true}, Link{Delayed: true}, toWorkers)
	case 1:
		s.note("zone %s: its prep workers reset all", bad)
		s.setLinks(Link{Cut: true}, Link{Cut: true}, toWorkers)
	default:
		s.note("zone %s: what its prep workers answer does not come back", bad)
		s.setLinks(Link{}, Link{Delayed: true}, toWorkers)
	}
	undo := s.injectSecondFault(beside, s.nodes[whose], bad, spared)
	if !at(s.plan.QuietBefore + s.plan.Faulty) {
		return bad, spared
	}
	s.note("zone %s: its links are mended", bad)
	s.setLinks(Link{}, Link{}, toWorkers)
	undo()
	return bad, spared
}

// injectSecondFault plays a fault at a process or a link while the zone fails.
func (s *trial) injectSecondFault(which int, node *Process, bad string, spared map[string]bool) (undo func()) {
	undo = func() {}
	switch which {
	case 1:
		spared[node.Name] = true
		s.note("%s stands still", node.Name)
		_ = node.Freeze()
		return func() {
			s.note("%s goes on", node.Name)
			_ = node.Thaw()
		}
	case 2:
		spared[node.Name] = true
		s.note("%s is killed", node.Name)
		_ = node.Kill()
		return func() { s.restart(node) }
	case 5:
		other := zones[0]
		if other == bad {
			other = zones[1]
		}
		s.note("%s alone does not reach the prep workers of zone %s, which is well", node.Name, other)
		match := func(from, to string) bool { return from == node.Name && strings.HasPrefix(to, "w-"+other) }
		s.setLinks(Link{Delayed: true}, Link{Delayed: true}, match)
		return func() { s.setLinks(Link{}, Link{}, match) }
	}
	if len(s.voters) == 0 {
		return undo
	}
	switch which {
	case 3:
		leader := s.voters[0]
		for _, v := range s.voters {
			if st, err := s.client.Status(context.Background(), s.addresses[v.Name]); err == nil && st.Leader == st.Voter {
				leader = v
			}
		}
		s.note("%s, which leads, is killed", leader.Name)
		_ = leader.Kill()
		return func() { s.restart(leader) }
	case 4:
		s.note("voter of zone %s hears the others late, and they do not hear it", bad)
		own := ""
		for _, v := range s.voters {
			if v.Zone == bad {
				own = v.Name
			}
		}
		match := func(from, to string) bool { return from == own && strings.HasPrefix(to, "v") }
		late := func(from, to string) bool { return to == own && strings.HasPrefix(from, "v") }
		s.setLinks(Link{Delayed: true}, Link{}, match)
		s.setLinks(Link{Delay: 100 * time.Millisecond}, Link{Delay: 100 * time.Millisecond}, late)
		return func() {
			s.setLinks(Link{}, Link{}, match)
			s.setLinks(Link{}, Link{}, late)
		}
	}
	return undo
}

// restart starts a process that was killed.
func (s *trial) restart(p *Process) {
	if err := p.Start(); err != nil {
		s.note("%s does not start: %v", p.Name, err)
		return
	}
	s.note("%s is up again", p.Name)
}

// poll looks at the voters again and again.
func (s *trial) poll(ctx context.Context) (out []observation) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	said := map[string]string{}
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
			n := v.starts
			if st, err := s.client.Status(ctx, s.addresses[v.Name]); err == nil {
				out = append(out, observation{s.elapsed(), v.Name, n, st.Table, st.Leader == st.Voter})
				s.noteVerdicts(said, v.Name, st)
			}
		}
	}
}

// noteVerdicts notes what the leader makes of the zones, and orders, as they change.
func (s *trial) noteVerdicts(said map[string]string, voter string, st transport.Status) {
	if st.Leader != st.Voter {
		return
	}
	for _, z := range zones {
		verdict, _, _ := strings.Cut(st.Verdicts[z], ",")
		o := st.Table.Zone(z)
		now := fmt.Sprintf("%s, ordered: %v, share %.3f", verdict, o.Phase, o.Share)
		if now != said[z] {
			said[z] = now
			s.note("%s on zone %s: %s (%s)", voter, z, now, st.Verdicts[z])
		}
	}
}

// audit holds the trial against what must be so.
func (s *trial) audit(report *Report, looks []observation, bad string, spared map[string]bool) {
	violate := func(format string, a ...any) {
		report.Violations = append(report.Violations, fmt.Sprintf(format, a...))
	}
	for _, q := range s.requests {
		if q.status == 0 && !spared[q.node] {
			violate("request %s to %s has no answer", q.id, q.node)
		}
	}
	twice := map[string]int{}
	for _, z := range zones {
		for _, w := range s.workers[z] {
			for id, n := range w.Begun() {
				twice[id] += n
			}
		}
	}
	for _, q := range s.requests {
		if q.class == bookings && twice[q.id] > 1 {
			violate("booking %s was begun %d times", q.id, twice[q.id])
		}
	}
	for _, p := range append(append([]*Process{}, s.nodes...), s.voters...) {
		if runs, should := p.State(); should && !runs {
			violate("%s has ended by itself: %s", p.Name, p.logTail())
		}
	}
	if len(s.voters) > 0 {
		s.auditEvacuation(report, looks, bad, spared, violate)
	}
	end := s.plan.QuietBefore + s.plan.Faulty + 8*time.Second
	asked, served := s.value(s.plan.QuietBefore, end, spared)
	report.Figures["worth_lost"] = 1 - served/max(asked, 1)
	all, ok := s.value(0, s.plan.QuietBefore+s.plan.Faulty+s.plan.After, spared)
	report.Figures["worth_lost_all_day"] = 1 - ok/max(all, 1)
	report.Figures["requests"] = float64(len(s.requests))
}

// countSends counts what went to a zone's prep workers in a time, but for what came from processes
// that were the trouble themselves.
func (s *trial) countSends(zone string, spared map[string]bool, from, to time.Duration) (n int) {
	for _, p := range s.proxies {
		if !strings.HasPrefix(p.To, "w-"+zone) || spared[p.From] {
			continue
		}
		for _, at := range p.Passed() {
			if t := at.Sub(s.startedAt); t > from && t < to {
				n++
			}
		}
	}
	return n
}

func (s *trial) auditEvacuation(report *Report, looks []observation, bad string, spared map[string]bool, violate func(string, ...any)) {
	epochs := map[string]uint64{}
	var evacuatedAt, probedAt, returnedAt time.Duration
	for _, l := range looks {
		run := fmt.Sprint(l.voter, " in its run ", l.runs)
		if l.table.Epoch < epochs[run] {
			violate("%s went back from epoch %d to %d", run, epochs[run], l.table.Epoch)
		}
		epochs[run] = l.table.Epoch
		for _, z := range zones {
			if o := l.table.Zone(z); z != bad && o.Phase != commands.PhaseActive {
				violate("zone %s, which is well, is %v: %s", z, o.Phase, o.Reason)
				return
			}
		}
		z := l.table.Zone(bad)
		switch {
		case evacuatedAt == 0 && z.Phase == commands.PhaseEvacuated:
			evacuatedAt = l.at
		case evacuatedAt > 0 && probedAt == 0 && z.Phase != commands.PhaseEvacuated && l.leads:
			probedAt = l.at
		case probedAt > 0 && l.at > s.plan.QuietBefore+s.plan.Faulty && returnedAt == 0 && z.Phase == commands.PhaseActive && len(z.UnreachableFrom) == 0 && l.leads:
			returnedAt = l.at
		}
	}
	if evacuatedAt == 0 {
		// Where the nodes themselves soon send next to nothing there, too little is seen to leave it.
		late := s.countSends(bad, spared, s.plan.QuietBefore+s.plan.Faulty/2, s.plan.QuietBefore+s.plan.Faulty)
		if report.Figures["sends_unled"] = float64(late); float64(late) > maxUnledFraction*float64(len(s.requests)) {
			violate("zone %s was never left, and %d sends went there in the second half of its failure", bad, late)
		}
		return
	}
	if probedAt == 0 {
		probedAt = s.elapsed()
	}
	report.Figures["left_after"] = (evacuatedAt - s.plan.QuietBefore).Seconds()
	// The look that shows the end of the rest comes after it.
	sends := s.countSends(bad, spared, evacuatedAt+maxEvacuationTime, probedAt-pollSlack)
	report.Figures["sends_to_left"] = float64(sends)
	if sends > 0 {
		violate("%d sends to zone %s, which was left", sends, bad)
	}
	healedAt := s.plan.QuietBefore + s.plan.Faulty
	if returnedAt > 0 {
		report.Figures["back_after"] = (returnedAt - healedAt).Seconds()
	} else if s.plan.After >= maxReturnTime {
		violate("zone %s does not take its whole share %v after its links were mended", bad, s.plan.After)
	}
}
