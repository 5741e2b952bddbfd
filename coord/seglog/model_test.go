package seglog_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

const (
	directory         = "group"
	smallSegmentBytes = 250 // so small that a few records fill a segment
)

// operation is one call of the log: Compact if compact is set, otherwise Save.
type operation struct {
	batch   []*consensus.PersistRequest
	compact *consensus.Snapshot
}

// statesAfter returns the states that an operation passes through. The last one is its result.
func statesAfter(before consensus.PersistedState, call operation) []consensus.PersistedState {
	if call.compact != nil {
		return []consensus.PersistedState{compacted(before, *call.compact)}
	}
	var states []consensus.PersistedState
	current := before
	for _, request := range call.batch {
		for _, next := range statesAfterPersist(current, request) {
			states = append(states, next)
			current = next
		}
	}
	return states
}

// statesAfterPersist returns the states that one request of a batch passes through.
func statesAfterPersist(before consensus.PersistedState, request *consensus.PersistRequest) []consensus.PersistedState {
	var states []consensus.PersistedState
	current := before
	if request.Snapshot != nil {
		current.Snapshot = *request.Snapshot
		current.Entries = nil
		if request.HardState != nil {
			current.HardState = *request.HardState
		}
		states = append(states, current)
	}
	for _, entry := range request.Entries {
		position := entry.Index - current.Snapshot.Index - 1
		current.Entries = append(slices.Clone(current.Entries[:position]), entry)
		states = append(states, current)
	}
	if request.HardState != nil {
		current.HardState = *request.HardState
		states = append(states, current)
	}
	return states
}

// compacted returns the state with a snapshot of its own history instead of the entries that the snapshot covers.
func compacted(before consensus.PersistedState, snapshot consensus.Snapshot) consensus.PersistedState {
	after := before
	after.Entries = slices.Clone(before.Entries[snapshot.Index-before.Snapshot.Index:])
	after.Snapshot = snapshot
	return after
}

// stateText returns a canonical text of a state for comparisons. Like recovery, it limits the commit index to the last
// index.
func stateText(state consensus.PersistedState) string {
	last := state.Snapshot.Index + uint64(len(state.Entries))
	state.HardState.Commit = min(state.HardState.Commit, last)
	return fmt.Sprintf("%+v", state)
}

func lastIndex(state consensus.PersistedState) uint64 {
	return state.Snapshot.Index + uint64(len(state.Entries))
}

func lastTerm(state consensus.PersistedState) uint64 {
	if len(state.Entries) > 0 {
		return state.Entries[len(state.Entries)-1].Term
	}
	return state.Snapshot.Term
}

// workload generates random operations that are valid in the current state.
type workload struct {
	random         *rand.Rand
	committedIndex uint64 // entries up to this index are committed and therefore never replaced
}

// lastCommitted returns the index up to which entries are never replaced.
func (w workload) lastCommitted(state consensus.PersistedState) uint64 {
	return max(state.Snapshot.Index, w.committedIndex)
}

func (w workload) nextOperation(state consensus.PersistedState) operation {
	if w.random.IntN(6) == 0 && len(state.Entries) > 0 {
		return operation{compact: w.localSnapshot(state)}
	}
	var batch []*consensus.PersistRequest
	current := state
	for range 1 + w.random.IntN(3) {
		request := w.persistRequest(current)
		states := statesAfterPersist(current, request)
		current = states[len(states)-1]
		batch = append(batch, request)
	}
	return operation{batch: batch}
}

func (w workload) localSnapshot(state consensus.PersistedState) *consensus.Snapshot {
	entry := state.Entries[w.random.IntN(len(state.Entries))]
	return &consensus.Snapshot{Index: entry.Index, Term: entry.Term, Members: w.members(), Data: w.data()}
}

func (w workload) persistRequest(state consensus.PersistedState) *consensus.PersistRequest {
	request := &consensus.PersistRequest{}
	switch w.random.IntN(10) {
	case 0: // a snapshot received from the leader
		request.Snapshot = w.receivedSnapshot(state)
		state.Snapshot, state.Entries = *request.Snapshot, nil
	case 1, 2: // entries of a new leader, which may replace others
		request.Entries = w.entries(w.firstReplacedIndex(state), lastTerm(state)+1)
	case 3: // a hard state alone
	default: // entries of the same leader
		request.Entries = w.entries(lastIndex(state)+1, max(lastTerm(state), 1))
	}
	if request.Entries == nil || w.random.IntN(3) == 0 {
		request.HardState = w.hardState(state)
	}
	return request
}

// firstReplacedIndex returns a random index from which on a new leader replaces entries.
func (w workload) firstReplacedIndex(state consensus.PersistedState) uint64 {
	first := w.lastCommitted(state) + 1
	return first + uint64(w.random.IntN(int(lastIndex(state)+2-first)))
}

func (w workload) receivedSnapshot(state consensus.PersistedState) *consensus.Snapshot {
	first := w.lastCommitted(state) + 1
	index := first + uint64(w.random.IntN(int(lastIndex(state)+6-first)))
	return &consensus.Snapshot{Index: index, Term: lastTerm(state) + 1, Members: w.members(), Data: w.data()}
}

func (w workload) hardState(state consensus.PersistedState) *consensus.HardState {
	return &consensus.HardState{
		Term:   state.HardState.Term + uint64(w.random.IntN(3)),
		Vote:   consensus.MemberID(w.random.Uint64()),
		Commit: max(state.Snapshot.Index, min(state.HardState.Commit, lastIndex(state))),
	}
}

func (w workload) entries(first, term uint64) []consensus.Entry {
	var entries []consensus.Entry
	for i := range uint64(1 + w.random.IntN(4)) {
		entry := consensus.Entry{Term: term, Index: first + i, Data: w.data()}
		if w.random.IntN(8) == 0 {
			entry.Kind, entry.Members = consensus.EntryMembership, w.members()
		}
		entries = append(entries, entry)
	}
	return entries
}

func (w workload) members() []consensus.Member {
	return []consensus.Member{
		{ID: consensus.MemberID(w.random.Uint64()), Address: "10.1.0.1:7660", Voter: true},
		{ID: consensus.MemberID(w.random.Uint64()), Address: "10.1.0.2:7660"},
		{ID: consensus.MemberID(w.random.Uint64()), Retired: true},
	}
}

func (w workload) data() []byte {
	data := make([]byte, 1+w.random.IntN(40))
	for i := range data {
		data[i] = byte(w.random.Uint32())
	}
	return data
}

// history is the sequence of states that the log has passed through. The disk may contain the last acknowledged one or a
// later one.
type history struct {
	states             []consensus.PersistedState
	stateTexts         []string             // texts of the first states; computed on demand
	acknowledged       int                  // position of the last acknowledged state
	abandonedSnapshots []consensus.Snapshot // snapshots whose Compact failed and was not retried
}

func newHistory(state consensus.PersistedState) *history {
	return &history{states: []consensus.PersistedState{state}}
}

func (h *history) last() consensus.PersistedState { return h.states[len(h.states)-1] }

// attempt adds the states that an operation passes through. They may be on disk even if the operation fails.
func (h *history) attempt(call operation) {
	h.states = append(h.states, statesAfter(h.last(), call)...)
}

// acknowledge records that all attempted operations are durable.
func (h *history) acknowledge() { h.acknowledged = len(h.states) - 1 }

// check returns an error unless a recovered state is the last acknowledged one or a later one.
func (h *history) check(state consensus.PersistedState) error {
	recovered := stateText(state)
	for i := h.acknowledged; i < len(h.states); i++ {
		if h.text(i) == recovered || h.differsByAbandonedSnapshot(h.states[i], recovered) {
			return nil
		}
	}
	return fmt.Errorf("recovered %s\nacknowledged %s\nattempted %s",
		stateText(state), stateText(h.states[h.acknowledged]), stateText(h.last()))
}

// text returns the text of the state at a position and caches it.
func (h *history) text(position int) string {
	for len(h.stateTexts) <= position {
		h.stateTexts = append(h.stateTexts, stateText(h.states[len(h.stateTexts)]))
	}
	return h.stateTexts[position]
}

// differsByAbandonedSnapshot reports whether the recovered state is the allowed one compacted with an abandoned snapshot.
func (h *history) differsByAbandonedSnapshot(allowed consensus.PersistedState, recovered string) bool {
	for _, snapshot := range h.abandonedSnapshots {
		inLog := snapshot.Index > allowed.Snapshot.Index && snapshot.Index <= lastIndex(allowed)
		if inLog && stateText(compacted(allowed, snapshot)) == recovered {
			return true
		}
	}
	return false
}

func runOperation(log *seglog.Log, call operation) error {
	if call.compact != nil {
		return log.Compact(*call.compact)
	}
	return log.Save(call.batch)
}

func open(disk *seglogtest.MemoryDisk) (*seglog.Log, consensus.PersistedState, error) {
	return seglog.Open(seglog.Options{FileSystem: disk, Directory: directory, SegmentBytes: smallSegmentBytes})
}

func mustOpen(t *testing.T, disk *seglogtest.MemoryDisk) (*seglog.Log, consensus.PersistedState) {
	t.Helper()
	log, stored, err := open(disk)
	if err != nil {
		t.Fatalf("open the log: %v", err)
	}
	return log, stored
}

// runUntilFailure makes random calls until one fails or count calls are done.
func runUntilFailure(log *seglog.Log, calls workload, expected *history, count int) error {
	for range count {
		call := calls.nextOperation(expected.last())
		expected.attempt(call)
		if err := runOperation(log, call); err != nil {
			return err
		}
		expected.acknowledge()
	}
	return nil
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// errNotRecovered means that Open or LoadOrCreateMemberID failed, or returned another member ID, after a power loss or
// restart.
var errNotRecovered = errors.New("the stored state has not been recovered")
