// Package commands defines the replicated state of the zones and the commands that change it.
//
// The state is a Table: the phase and traffic share of each zone, the admitted fraction of each
// request class, and the operators' manual overrides. StateMachine applies the commands of the
// replicated log (package replicatedlog); its state is identical at every voter that has applied the
// same entries. Package failover computes the changes, package replica proposes them, and package
// follower applies the resulting table in each process.
//
// The package has no clock and does no I/O. An override ends at a wall clock time, which the caller
// compares with its own clock.
package commands

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"ospreybend/internal/node/zones/encoding"
)

// Phase is the state of a zone in the failover state machine.
type Phase uint8

// The phases. docs/design/fleet-as-one.md lists every transition. The numbers are part of the stored and
// sent encoding.
const (
	PhaseActive    Phase = iota // takes its full share of traffic
	PhaseReduced                // slower than the other zones: takes a reduced share
	PhaseEvacuated              // takes no traffic
	PhaseProbing                // a few processes send it trial requests
	PhaseSlowStart              // takes a share that doubles step by step
)

var phaseNames = [...]string{"in", "eased", "left", "trying", "rising"}

// String returns the name of the phase in the operators' interface.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "phase " + strconv.Itoa(int(p))
}

// Serves reports whether a zone in this phase takes regular traffic; evacuated and probing zones do not.
func (p Phase) Serves() bool { return p != PhaseEvacuated && p != PhaseProbing }

// ZoneState is the committed state of one zone.
type ZoneState struct {
	Phase           Phase    `cbor:"1,keyasint" json:"Phase"`
	Share           float64  `cbor:"2,keyasint"`                         // fraction of its normal traffic, 0 to 1; while probing, of the selected processes' traffic
	ProbeFraction   float64  `cbor:"3,keyasint,omitempty" json:"Chosen"` // fraction of the processes that send probe requests
	Step            int      `cbor:"4,keyasint,omitempty"`               // slow start step, from 1
	Failures        int      `cbor:"5,keyasint,omitempty"`               // consecutive failures; each doubles the probe backoff
	UnreachableFrom []string `cbor:"6,keyasint,omitempty" json:"Cut"`    // zones whose processes cannot reach it; of these only the selected ones send it traffic, as probes
	Reason          string   `cbor:"7,keyasint,omitempty"`
	SinceEpoch      uint64   `cbor:"8,keyasint,omitempty" json:"Since"` // the epoch that set this state
}

// The actions of a manual override. The strings are part of the operators' interface.
const (
	OverrideEvacuate = "leave"
	OverrideRestore  = "return"
	OverrideFreeze   = "hold"
	OverrideClear    = "clear"
)

// Override is an operator's manual override of one zone. It takes precedence over the automatic
// decisions until it expires.
type Override struct {
	Zone   string `cbor:"1,keyasint"`
	Action string `cbor:"2,keyasint" json:"Do"`
	Reason string `cbor:"3,keyasint"`
	Until  int64  `cbor:"4,keyasint" json:"Until"` // Unix microseconds
}

// Table is the replicated state at one epoch.
type Table struct {
	Epoch     uint64               `cbor:"1,keyasint"`
	Zones     map[string]ZoneState `cbor:"2,keyasint"`
	Admission map[string]float64   `cbor:"3,keyasint,omitempty" json:"Admit"` // admitted fraction by class; absent classes are fully admitted
	Overrides map[string]Override  `cbor:"4,keyasint,omitempty" json:"Words"` // by zone
}

// Zone returns the state of a zone; a zone without an entry is active with its full share.
func (t *Table) Zone(zone string) ZoneState {
	if z, ok := t.Zones[zone]; ok {
		return z
	}
	return ZoneState{Phase: PhaseActive, Share: 1}
}

// Clone returns a deep copy of the table.
func (t *Table) Clone() Table {
	out := Table{Epoch: t.Epoch, Zones: maps.Clone(t.Zones), Admission: maps.Clone(t.Admission), Overrides: maps.Clone(t.Overrides)}
	for name, zone := range out.Zones {
		zone.UnreachableFrom = slices.Clone(zone.UnreachableFrom)
		out.Zones[name] = zone
	}
	return out
}

// Change is a compare-and-set update of the table. It applies only while the table is at
// ExpectedEpoch, so that a deposed or delayed leader changes nothing.
type Change struct {
	ExpectedEpoch uint64               `cbor:"1,keyasint"`
	Zones         map[string]ZoneState `cbor:"2,keyasint,omitempty"`              // the zones that change
	Admission     map[string]float64   `cbor:"3,keyasint,omitempty" json:"Admit"` // replaces the table's Admission if SetsAdmission
	SetsAdmission bool                 `cbor:"4,keyasint,omitempty"`
}

// VoterStart registers a start of a voter's process, so that a store restored from an older copy is
// detected by its start count.
type VoterStart struct {
	Voter  uint64 `cbor:"1,keyasint"`
	Store  string `cbor:"2,keyasint"` // ID of the voter's store
	Starts uint64 `cbor:"3,keyasint"` // how often a process has started with the store
}

// Command is one entry of the replicated log. Exactly one of Change, Override and Start is set.
type Command struct {
	ID       string      `cbor:"1,keyasint"` // unique; identifies the command to its proposer and rejects duplicates
	Change   *Change     `cbor:"2,keyasint,omitempty"`
	Override *Override   `cbor:"3,keyasint,omitempty"`
	Start    *VoterStart `cbor:"4,keyasint,omitempty"`
}

// ErrStale is returned for a change computed for an earlier epoch.
var ErrStale = errors.New("the change was computed for an earlier epoch")

// ErrStoreRolledBack is returned for a voter whose store was restored from an older copy.
var ErrStoreRolledBack = errors.New("the voter's store was restored from an older copy")

// Errors of invalid commands. Those of overrides are shown to operators.
var (
	errDuplicateID    = errors.New("command ID is missing or was applied before")
	errEmptyCommand   = errors.New("command sets none of change, override and start")
	errZoneMissing    = errors.New("zone: missing")
	errReasonMissing  = errors.New("reason: missing")
	errUntilMissing   = errors.New("until: missing")
	errSnapshotFields = errors.New("snapshot lacks zones, overrides or starts")
)

// checkExpectedEpoch is the value of StateMachine.DisabledCheck that accepts changes computed for another epoch.
const checkExpectedEpoch = "expect"

// StateMachine applies the commands of the replicated log in order. It is not safe for concurrent
// use; the replica's goroutine owns it.
type StateMachine struct {
	state         state
	OnApplied     func(command Command, err error) // called after each command; err is nil if the command took effect
	DisabledCheck string                           // check to skip, for tests that show why it is needed
}

type state struct {
	Table      Table                 `cbor:"1,keyasint"`
	Starts     map[uint64]VoterStart `cbor:"2,keyasint"` // last start by voter
	RecentIDs  []string              `cbor:"3,keyasint"` // IDs of the last commands, oldest first
	RolledBack map[uint64]string     `cbor:"4,keyasint"` // ID of the rolled-back store by voter
}

const maxRecentIDs = 256 // command IDs kept to reject duplicates

// NewStateMachine returns a state machine with an empty table at epoch 0.
func NewStateMachine() *StateMachine {
	m := &StateMachine{}
	m.state = emptyState()
	return m
}

func emptyState() state {
	return state{Table: Table{Zones: map[string]ZoneState{}, Overrides: map[string]Override{}, Admission: map[string]float64{}},
		Starts: map[uint64]VoterStart{}, RolledBack: map[uint64]string{}}
}

// Table returns the current table. The caller must not modify it.
func (m *StateMachine) Table() *Table { return &m.state.Table }

// StoreRolledBack reports whether a voter's store was found to be restored from an older copy.
func (m *StateMachine) StoreRolledBack(voter uint64, store string) bool {
	return m.state.RolledBack[voter] == store
}

// Apply applies the next log entry. An entry that cannot be decoded or is invalid changes nothing in
// the table, at every voter alike.
func (m *StateMachine) Apply(_ uint64, data []byte) {
	var command Command
	err := encoding.Unmarshal(data, &command)
	if err == nil {
		err = m.applyCommand(command)
	}
	if m.OnApplied != nil {
		m.OnApplied(command, err)
	}
}

func (m *StateMachine) applyCommand(command Command) error {
	if command.ID == "" || slices.Contains(m.state.RecentIDs, command.ID) {
		return errDuplicateID
	}
	m.state.RecentIDs = append(m.state.RecentIDs, command.ID)
	if extra := len(m.state.RecentIDs) - maxRecentIDs; extra > 0 {
		m.state.RecentIDs = slices.Delete(m.state.RecentIDs, 0, extra)
	}
	switch {
	case command.Change != nil:
		return m.applyChange(command.Change)
	case command.Override != nil:
		return m.applyOverride(*command.Override)
	case command.Start != nil:
		return m.applyVoterStart(*command.Start)
	}
	return errEmptyCommand
}

func (m *StateMachine) applyChange(change *Change) error {
	table := &m.state.Table
	if change.ExpectedEpoch != table.Epoch && m.DisabledCheck != checkExpectedEpoch {
		return ErrStale
	}
	for name, zone := range change.Zones {
		if err := zone.validate(); err != nil {
			return fmt.Errorf("zone %q: %w", name, err)
		}
	}
	table.Epoch++
	for name, zone := range change.Zones {
		zone.SinceEpoch = table.Epoch
		table.Zones[name] = zone
	}
	if change.SetsAdmission {
		table.Admission = maps.Clone(change.Admission)
	}
	return nil
}

func (z ZoneState) validate() error {
	switch {
	case int(z.Phase) >= len(phaseNames):
		return fmt.Errorf("unknown phase %d", z.Phase)
	case !(z.Share >= 0 && z.Share <= 1), !(z.ProbeFraction >= 0 && z.ProbeFraction <= 1):
		return fmt.Errorf("a share of %v, %v chosen", z.Share, z.ProbeFraction)
	}
	return nil
}

// Validate returns an error that names the first invalid field. It is called before the override is
// proposed and again when the override is applied.
func (o Override) Validate() error {
	switch {
	case o.Zone == "":
		return errZoneMissing
	case o.Action == OverrideClear:
		return nil
	case o.Action != OverrideEvacuate && o.Action != OverrideRestore && o.Action != OverrideFreeze:
		return fmt.Errorf("do: %q is none of leave, return, hold and clear", o.Action)
	case o.Reason == "":
		return errReasonMissing
	case o.Until <= 0:
		return errUntilMissing
	}
	return nil
}

func (m *StateMachine) applyOverride(override Override) error {
	if err := override.Validate(); err != nil {
		return err
	}
	table := &m.state.Table
	table.Epoch++
	if override.Action == OverrideClear {
		delete(table.Overrides, override.Zone)
		return nil
	}
	table.Overrides[override.Zone] = override
	return nil
}

// applyVoterStart records a voter's start. A store whose start count does not grow was restored from
// an older copy and lacks the votes and entries acknowledged since; the voter must stop.
func (m *StateMachine) applyVoterStart(start VoterStart) error {
	if last, ok := m.state.Starts[start.Voter]; ok && last.Store == start.Store && start.Starts <= last.Starts {
		m.state.RolledBack[start.Voter] = start.Store
		return ErrStoreRolledBack
	}
	m.state.Starts[start.Voter] = start
	return nil
}

// Snapshot encodes the state.
func (m *StateMachine) Snapshot() ([]byte, error) { return encoding.Marshal(m.state) }

// Restore replaces the state with that of a snapshot. Empty data stands for the empty state.
func (m *StateMachine) Restore(data []byte) error {
	s := emptyState()
	if len(data) > 0 {
		if err := encoding.Unmarshal(data, &s); err != nil {
			return fmt.Errorf("decode snapshot: %w", err)
		}
	}
	if s.Table.Zones == nil || s.Table.Overrides == nil || s.Starts == nil {
		return errSnapshotFields
	}
	if s.RolledBack == nil {
		s.RolledBack = map[uint64]string{}
	}
	m.state = s
	return nil
}
