package controlplanesim

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// recorder collects the history of a run.
type recorder struct {
	world *world
	start time.Time

	mutex       sync.Mutex
	ended       bool // the run is at its end
	observed    history.History
	faults      []string
	departures  map[string]*pendingDeparture
	members     map[consensus.MemberID]*knownMember
	groupStates [shards.ShardCount]history.GroupState // the last ones
	memberships [shards.ShardCount]membership
	leaders     map[uint64]bool // terms of the configuration's group that had one
}

// knownMember is what is known of a member ID.
type knownMember struct {
	machine *machine
	gone    bool
	durable [shards.ShardCount]uint64
}

// pendingDeparture is a departure that may not be acknowledged yet.
type pendingDeparture struct {
	record *recorder
	index  int
}

func newRecorder(w *world) *recorder {
	return &recorder{
		world: w, start: time.Now(), departures: make(map[string]*pendingDeparture),
		members: make(map[consensus.MemberID]*knownMember), leaders: make(map[uint64]bool),
	}
}

// now returns the time since the start.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) addOperation(one history.Operation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observed.Operations = append(r.observed.Operations, one)
}

func (r *recorder) addView(one history.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observed.Views = append(r.observed.Views, one)
}

func (r *recorder) addHeartbeat(one history.Heartbeat) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observed.Heartbeats = append(r.observed.Heartbeats, one)
}

func (r *recorder) addPresence(one history.Presence) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observed.Presences = append(r.observed.Presences, one)
}

// addFault records a failure that no check of the history would find.
func (r *recorder) addFault(text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, r.now().String()+": "+text)
}

// beginDeparture records that a worker has begun to leave.
func (r *recorder) beginDeparture(id string) *pendingDeparture {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.departures[id]; known != nil {
		return known
	}
	made := &pendingDeparture{record: r, index: len(r.observed.Departures)}
	r.departures[id] = made
	r.observed.Departures = append(r.observed.Departures, history.Departure{Instance: id, From: r.now()})
	return made
}

// acknowledged records the first acknowledgement of the departure.
func (d *pendingDeparture) acknowledged() {
	d.record.mutex.Lock()
	defer d.record.mutex.Unlock()
	if one := &d.record.observed.Departures[d.index]; one.Acknowledged == 0 {
		one.Acknowledged = d.record.now()
	}
}

// beginFault records the beginning of a fault; over records its end.
func (r *recorder) beginFault(one history.Fault) (over func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one.From = r.now()
	one.To, one.Until = time.Hour, time.Hour
	index := len(r.observed.Faults)
	r.observed.Faults = append(r.observed.Faults, one)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.observed.Faults[index].To = r.now()
		r.observed.Faults[index].Until = r.now() + schedule.CatchUp
	}
}

// addMember records where a member ID is.
func (r *recorder) addMember(id consensus.MemberID, m *machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.members[id] == nil {
		r.members[id] = &knownMember{machine: m}
	}
}

// markGone records that a member's disk is lost for good.
func (r *recorder) markGone(id consensus.MemberID) {
	r.mutex.Lock()
	if known := r.members[id]; known != nil {
		known.gone = true
	}
	r.mutex.Unlock()
	r.sample()
}

// observe takes note of a change of a group's status at a machine. It must not block.
func (r *recorder) observe(_ *machine, status replica.Status) {
	if status.Shard == shards.ConfigurationShard && (status.Role == consensus.RoleCandidate || status.Role == consensus.RolePreCandidate) {
		r.world.trigger(schedule.Candidacy)
	}
	if !status.IsLeader() {
		return
	}
	if status.Shard == shards.ConfigurationShard && r.firstOfTerm(status.Term) {
		r.world.trigger(schedule.Election)
	}
	r.sample()
}

func (r *recorder) firstOfTerm(term uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.leaders[term]
	r.leaders[term] = true
	return first
}

// sample records each group's members, as its leader has them, and what is durable at them. Since members go on while
// they are asked one after the other, what is committed is asked of all before what is durable.
func (r *recorder) sample() {
	all := r.world.allMachines()
	var committed [shards.ShardCount]uint64
	for _, m := range all {
		for _, status := range m.inspect() {
			committed[status.Shard] = max(committed[status.Shard], status.CommitIndex)
		}
	}
	states := make([][]replica.Status, len(all))
	for i, m := range all {
		states[i] = m.inspect()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended {
		return // members are being stopped, and their states are not reported any more
	}
	var leading [shards.ShardCount]replica.Status
	for i, m := range all {
		for _, status := range states[i] {
			r.noteDurable(m, status)
			if status.IsLeader() && status.Term >= leading[status.Shard].Term {
				leading[status.Shard] = status
			}
		}
	}
	for shard, status := range leading {
		known := &r.memberships[shard]
		known.committed = max(known.committed, committed[shard])
		if status.Term > 0 && status.Term >= known.term {
			known.term, known.members = status.Term, status.Members
		}
		if known.term > 0 {
			r.recordGroup(shard, known.members, known.committed)
		}
	}
}

// membership is a group's membership as the leader of its newest term has it: one of a former term, frozen or partitioned off,
// may have an older one.
type membership struct {
	term      uint64
	members   []consensus.Member
	committed uint64
}

func (r *recorder) noteDurable(m *machine, status replica.Status) {
	m.mutex.Lock()
	id := m.memberID
	m.mutex.Unlock()
	if known := r.members[id]; known != nil {
		known.durable[status.Shard] = status.DurableIndex
	}
}

// recordGroup records a group's standing unless it is as before.
func (r *recorder) recordGroup(shard int, members []consensus.Member, committed uint64) {
	now := history.GroupState{At: r.now(), Group: shard, Committed: committed}
	for _, member := range members {
		if !member.Voter {
			continue
		}
		voter := history.Voter{ID: uint64(member.ID), Slot: -1}
		if known := r.members[member.ID]; known != nil {
			voter.Slot, voter.Lost, voter.Durable = known.machine.slot, known.gone || known.machine.isRetired(), known.durable[shard]
		}
		now.Voters = append(now.Voters, voter)
	}
	slices.SortFunc(now.Voters, func(a, b history.Voter) int { return cmp.Compare(a.ID, b.ID) })
	before := r.groupStates[shard]
	if before.Committed == now.Committed && slices.Equal(before.Voters, now.Voters) {
		return
	}
	r.groupStates[shard] = now
	r.observed.GroupStates = append(r.observed.GroupStates, now)
}

// result returns what was recorded, in the order of time.
func (r *recorder) result() (history.History, []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := r.observed
	slices.SortStableFunc(seen.Operations, func(a, b history.Operation) int { return cmp.Compare(a.Call, b.Call) })
	slices.SortStableFunc(seen.Views, func(a, b history.View) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(seen.Presences, func(a, b history.Presence) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(seen.GroupStates, func(a, b history.GroupState) int { return cmp.Compare(a.At, b.At) })
	return seen, slices.Clone(r.faults)
}

// end records the end of the run and its bounds.
func (r *recorder) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = true
	s := r.world.schedule
	r.observed.End, r.observed.Bounds = r.now(), bounds
	r.observed.Tolerance, r.observed.Agents = s.Tolerance, s.Agents
	r.observed.Faults = append(r.observed.Faults, history.Fault{
		Description: "formation", To: formationTime, Core: true, Lasting: true, Lost: r.world.allSlots(), Until: formationTime,
	})
	r.observed.TargetVoters = min(max(2*s.Tolerance+1, seedCount), s.Servers)
}
