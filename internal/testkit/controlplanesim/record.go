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
	simulation *simulation
	start      time.Time

	mutex       sync.Mutex
	ended       bool // set when the run ends; samples are no longer recorded
	history     history.History
	failures    []string
	departures  map[string]*pendingDeparture
	members     map[consensus.MemberID]*memberRecord
	groupStates [shards.ShardCount]history.GroupState // last recorded
	memberships [shards.ShardCount]membership
	leaders     map[uint64]bool // terms of the configuration group that had a leader
}

// memberRecord is the recorder's knowledge of a member ID.
type memberRecord struct {
	machine  *machine
	diskLost bool
	durable  [shards.ShardCount]uint64
}

// pendingDeparture is a recorded departure whose acknowledgement may still be missing.
type pendingDeparture struct {
	recorder *recorder
	index    int
}

func newRecorder(sim *simulation) *recorder {
	return &recorder{
		simulation: sim, start: time.Now(), departures: make(map[string]*pendingDeparture),
		members: make(map[consensus.MemberID]*memberRecord), leaders: make(map[uint64]bool),
	}
}

// now returns the time since the start.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) addOperation(one history.Operation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Operations = append(r.history.Operations, one)
}

func (r *recorder) addView(one history.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Views = append(r.history.Views, one)
}

func (r *recorder) addHeartbeat(one history.Heartbeat) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Heartbeats = append(r.history.Heartbeats, one)
}

func (r *recorder) addPresence(one history.Presence) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Presences = append(r.history.Presences, one)
}

// addFailure records a failure that the checks of the history cannot detect.
func (r *recorder) addFailure(text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = append(r.failures, r.now().String()+": "+text)
}

// beginDeparture records that a worker has begun to leave.
func (r *recorder) beginDeparture(id string) *pendingDeparture {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.departures[id]; known != nil {
		return known
	}
	made := &pendingDeparture{recorder: r, index: len(r.history.Departures)}
	r.departures[id] = made
	r.history.Departures = append(r.history.Departures, history.Departure{Instance: id, From: r.now()})
	return made
}

// acknowledged records the first acknowledgement of the departure.
func (d *pendingDeparture) acknowledged() {
	d.recorder.mutex.Lock()
	defer d.recorder.mutex.Unlock()
	if one := &d.recorder.history.Departures[d.index]; one.Acknowledged == 0 {
		one.Acknowledged = d.recorder.now()
	}
}

// beginFault records the start of a fault. The function returned records its end.
func (r *recorder) beginFault(one history.Fault) (endFault func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one.From = r.now()
	one.To, one.Until = time.Hour, time.Hour
	index := len(r.history.Faults)
	r.history.Faults = append(r.history.Faults, one)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.history.Faults[index].To = r.now()
		r.history.Faults[index].Until = r.now() + schedule.CatchUp
	}
}

// beginSilence records that workers are paused or cut off. The function returned records the end.
func (r *recorder) beginSilence(workers []int) (endSilence func()) {
	var instances []string
	for _, i := range workers {
		if id := r.simulation.workers[i].instance(); id != "" {
			instances = append(instances, id)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := len(r.history.Silences)
	for _, id := range instances {
		r.history.Silences = append(r.history.Silences, history.Silence{Instance: id, From: r.now()})
	}
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		for i := range instances {
			r.history.Silences[first+i].To = r.now()
		}
	}
}

// addMember records the machine of a member ID.
func (r *recorder) addMember(id consensus.MemberID, m *machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.members[id] == nil {
		r.members[id] = &memberRecord{machine: m}
	}
}

// markDiskLost records that a member's disk is permanently lost.
func (r *recorder) markDiskLost(id consensus.MemberID) {
	r.mutex.Lock()
	if known := r.members[id]; known != nil {
		known.diskLost = true
	}
	r.mutex.Unlock()
	r.sample()
}

// observe processes a change of a group's status at a machine. It must not block.
func (r *recorder) observe(_ *machine, status replica.Status) {
	if status.Shard == shards.ConfigurationShard && (status.Role == consensus.RoleCandidate || status.Role == consensus.RolePreCandidate) {
		r.simulation.trigger(schedule.Candidacy)
	}
	if !status.IsLeader() {
		return
	}
	if status.Shard == shards.ConfigurationShard && r.isFirstLeaderOfTerm(status.Term) {
		r.simulation.trigger(schedule.Election)
	}
	r.sample()
}

func (r *recorder) isFirstLeaderOfTerm(term uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.leaders[term]
	r.leaders[term] = true
	return first
}

// sample records each group's members according to its leader, and the durable index of each. Members are queried one after
// the other and make progress meanwhile, so the commit index of all is read before the durable index of any.
func (r *recorder) sample() {
	all := r.simulation.allMachines()
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
		return // members are being stopped and no longer report their states
	}
	var leading [shards.ShardCount]replica.Status
	for i, m := range all {
		for _, status := range states[i] {
			r.recordDurable(m, status)
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

// membership is a group's membership according to the leader of its newest term. A leader of an earlier term that was frozen
// or isolated may have an older one.
type membership struct {
	term      uint64
	members   []consensus.Member
	committed uint64
}

func (r *recorder) recordDurable(m *machine, status replica.Status) {
	m.mutex.Lock()
	id := m.memberID
	m.mutex.Unlock()
	if known := r.members[id]; known != nil {
		known.durable[status.Shard] = status.DurableIndex
	}
}

// recordGroup records a group's state if it has changed.
func (r *recorder) recordGroup(shard int, members []consensus.Member, committed uint64) {
	current := history.GroupState{At: r.now(), Group: shard, Committed: committed}
	for _, member := range members {
		if !member.Voter {
			continue
		}
		voter := history.Voter{ID: uint64(member.ID), Slot: -1}
		if known := r.members[member.ID]; known != nil {
			voter.Slot, voter.Lost, voter.Durable = known.machine.slot, known.diskLost || known.machine.isRetired(), known.durable[shard]
		}
		current.Voters = append(current.Voters, voter)
	}
	slices.SortFunc(current.Voters, func(a, b history.Voter) int { return cmp.Compare(a.ID, b.ID) })
	before := r.groupStates[shard]
	if before.Committed == current.Committed && slices.Equal(before.Voters, current.Voters) {
		return
	}
	r.groupStates[shard] = current
	r.history.GroupStates = append(r.history.GroupStates, current)
}

// result returns the recorded history in chronological order, and the recorded failures.
func (r *recorder) result() (history.History, []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	recorded := r.history
	slices.SortStableFunc(recorded.Operations, func(a, b history.Operation) int { return cmp.Compare(a.Call, b.Call) })
	slices.SortStableFunc(recorded.Views, func(a, b history.View) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(recorded.Presences, func(a, b history.Presence) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(recorded.GroupStates, func(a, b history.GroupState) int { return cmp.Compare(a.At, b.At) })
	return recorded, slices.Clone(r.failures)
}

// end records the end of the run, its bounds, and the formation of the core as a fault.
func (r *recorder) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = true
	s := r.simulation.schedule
	r.history.End, r.history.Bounds = r.now(), bounds
	r.history.Tolerance, r.history.Agents = s.Tolerance, s.Agents
	r.history.Faults = append(r.history.Faults, history.Fault{
		Description: "formation", To: formationTime, Core: true, Lasting: true, Lost: r.simulation.allSlots(), Until: formationTime,
	})
	r.history.TargetVoters = min(max(2*s.Tolerance+1, seedCount), s.Servers)
}
