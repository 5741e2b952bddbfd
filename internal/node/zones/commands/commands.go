// Package commands is what the fleet has agreed on: how much of its work each zone takes,
// and what a person has said. It is the machine that the agreed log drives, the same in
// every voter, and has no clock: times in it are spans, or a person's wall time.
package commands

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// Phase is where a zone stands.
type Phase uint8

// The phases. docs/design/fleet-as-one.md has every transition.
const (
	PhaseActive    Phase = iota // takes its whole share
	PhaseReduced                // slow: takes a part
	PhaseEvacuated              // takes nothing
	PhaseProbing                // a few processes try it
	PhaseSlowStart              // takes a part that grows by steps
)

var phaseNames = [...]string{"in", "eased", "left", "trying", "rising"}

// String names the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "phase " + strconv.Itoa(int(p))
}

// ZoneState is the order on one zone.
type ZoneState struct {
	Phase           Phase    `cbor:"1,keyasint" json:"Phase"`
	Share           float64  `cbor:"2,keyasint"`                         // of what it would take; while Trying, of those chosen
	ProbeFraction   float64  `cbor:"3,keyasint,omitempty" json:"Chosen"` // part of the processes that try
	Step            int      `cbor:"4,keyasint,omitempty"`               // of the rise
	Failures        int      `cbor:"5,keyasint,omitempty"`               // in a row; each doubles the rest
	UnreachableFrom []string `cbor:"6,keyasint,omitempty" json:"Cut"`    // zones whose processes do not reach it: they send nothing there
	Reason          string   `cbor:"7,keyasint,omitempty"`
	SinceEpoch      uint64   `cbor:"8,keyasint,omitempty" json:"Since"` // the epoch that set it
}

// The words that a person may say on a zone.
const (
	OverrideEvacuate = "leave"
	OverrideRestore  = "return"
	OverrideFreeze   = "hold"
	OverrideClear    = "clear"
)

// Override is what a person has said on a zone. It goes before the program's own orders
// until its end.
type Override struct {
	Zone   string `cbor:"1,keyasint"`
	Action string `cbor:"2,keyasint" json:"Do"`
	Reason string `cbor:"3,keyasint"`
	Until  int64  `cbor:"4,keyasint" json:"Until"` // Unix microseconds
}

// Table is all that holds now.
type Table struct {
	Epoch     uint64               `cbor:"1,keyasint"`
	Zones     map[string]ZoneState `cbor:"2,keyasint"`
	Admission map[string]float64   `cbor:"3,keyasint,omitempty" json:"Admit"` // part of each class that is let in; who is not named is let in whole
	Overrides map[string]Override  `cbor:"4,keyasint,omitempty" json:"Words"`
}

// Zone is the order on a zone; one that nothing was said of is in.
func (t *Table) Zone(zone string) ZoneState {
	if z, ok := t.Zones[zone]; ok {
		return z
	}
	return ZoneState{Phase: PhaseActive, Share: 1}
}

// Clone copies the table.
func (t *Table) Clone() Table {
	out := Table{Epoch: t.Epoch, Zones: maps.Clone(t.Zones), Admission: maps.Clone(t.Admission), Overrides: maps.Clone(t.Overrides)}
	for name, zone := range out.Zones {
		zone.UnreachableFrom = slices.Clone(zone.UnreachableFrom)
		out.Zones[name] = zone
	}
	return out
}

// Change is a new order. It is void unless the epoch that it was made for still holds,
// so that a leader that was outvoted, or answers late, changes nothing.
type Change struct {
	ExpectedEpoch uint64               `cbor:"1,keyasint"`
	Zones         map[string]ZoneState `cbor:"2,keyasint,omitempty"`              // these alone change
	Admission     map[string]float64   `cbor:"3,keyasint,omitempty" json:"Admit"` // in place of the last, where Admits
	SetsAdmission bool                 `cbor:"4,keyasint,omitempty"`
}

// VoterStart is a voter's, told before it votes for anything but its start.
type VoterStart struct {
	Voter uint64 `cbor:"1,keyasint"`
	Store string `cbor:"2,keyasint"`
	Runs  uint64 `cbor:"3,keyasint"`
}

// Command is one entry of the log: one of its parts is set.
type Command struct {
	ID       string      `cbor:"1,keyasint"` // unique, so that who put it knows it again; a doubled one is void
	Change   *Change     `cbor:"2,keyasint,omitempty"`
	Override *Override   `cbor:"3,keyasint,omitempty"`
	Start    *VoterStart `cbor:"4,keyasint,omitempty"`
}

// ErrStale says that an order was made for an epoch that is over.
var ErrStale = errors.New("the order was made for an epoch that is over")

// ErrStoreRolledBack says that a voter's store was put back from an older copy.
var ErrStoreRolledBack = errors.New("the voter's store is an older copy than the fleet has heard of")

// StateMachine applies orders. Applied is told of each.
type StateMachine struct {
	state         state
	OnApplied     func(o Command, err error)
	DisabledCheck string // a check left out, for the tests that show what it is for
}

type state struct {
	Table      Table                 `cbor:"1,keyasint"`
	Starts     map[uint64]VoterStart `cbor:"2,keyasint"`
	Recent     []string              `cbor:"3,keyasint"` // IDs of the last orders
	RolledBack map[uint64]string     `cbor:"4,keyasint"` // voters whose store is an older copy, by its ID
}

const maxRecentIDs = 256 // orders remembered by their IDs

// NewStateMachine makes an empty one.
func NewStateMachine() *StateMachine {
	m := &StateMachine{}
	m.state = emptyState()
	return m
}

func emptyState() state {
	return state{Table: Table{Zones: map[string]ZoneState{}, Overrides: map[string]Override{}, Admission: map[string]float64{}},
		Starts: map[uint64]VoterStart{}, RolledBack: map[uint64]string{}}
}

// Table returns what holds now; it is not to be changed.
func (m *StateMachine) Table() *Table { return &m.state.Table }

// StoreRolledBack tells whether a voter's store was found to be an older copy.
func (m *StateMachine) StoreRolledBack(voter uint64, store string) bool {
	return m.state.RolledBack[voter] == store
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16, MaxArrayElements: 1 << 16,
		MaxMapPairs: 1 << 16, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are wrong
	}
	return v
}

// Encode writes a value as it goes into the log and over links.
func Encode(v any) ([]byte, error) { return encoder.Marshal(v) }

// Decode reads one.
func Decode(data []byte, into any) error { return decoder.Unmarshal(data, into) }

// Apply takes in the next entry. What cannot be read is void at every voter alike.
func (m *StateMachine) Apply(_ uint64, data []byte) {
	var command Command
	err := Decode(data, &command)
	if err == nil {
		err = m.applyCommand(command)
	}
	if m.OnApplied != nil {
		m.OnApplied(command, err)
	}
}

func (m *StateMachine) applyCommand(command Command) error {
	if command.ID == "" || slices.Contains(m.state.Recent, command.ID) {
		return errors.New("an order without an ID of its own")
	}
	m.state.Recent = append(m.state.Recent, command.ID)
	if extra := len(m.state.Recent) - maxRecentIDs; extra > 0 {
		m.state.Recent = slices.Delete(m.state.Recent, 0, extra)
	}
	switch {
	case command.Change != nil:
		return m.applyChange(command.Change)
	case command.Override != nil:
		return m.applyOverride(*command.Override)
	case command.Start != nil:
		return m.applyVoterStart(*command.Start)
	}
	return errors.New("an order that says nothing")
}

func (m *StateMachine) applyChange(change *Change) error {
	table := &m.state.Table
	if change.ExpectedEpoch != table.Epoch && m.DisabledCheck != "expect" {
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
		return fmt.Errorf("%v", z.Phase)
	case !(z.Share >= 0 && z.Share <= 1), !(z.ProbeFraction >= 0 && z.ProbeFraction <= 1):
		return fmt.Errorf("a share of %v, %v chosen", z.Share, z.ProbeFraction)
	}
	return nil
}

// Validate tells what is wrong with a word before it goes into the log.
func (w Override) Validate() error {
	switch {
	case w.Zone == "":
		return errors.New("zone: missing")
	case w.Action == OverrideClear:
		return nil
	case w.Action != OverrideEvacuate && w.Action != OverrideRestore && w.Action != OverrideFreeze:
		return fmt.Errorf("do: %q is none of leave, return, hold and clear", w.Action)
	case w.Reason == "":
		return errors.New("reason: missing")
	case w.Until <= 0:
		return errors.New("until: missing")
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

// applyVoterStart notes a voter's start. A file whose count of starts falls was put back from an
// older copy: what it had promised since is not in it.
func (m *StateMachine) applyVoterStart(s VoterStart) error {
	if last, ok := m.state.Starts[s.Voter]; ok && last.Store == s.Store && s.Runs <= last.Runs {
		m.state.RolledBack[s.Voter] = s.Store
		return ErrStoreRolledBack
	}
	m.state.Starts[s.Voter] = s
	return nil
}

// Snapshot writes the state.
func (m *StateMachine) Snapshot() ([]byte, error) { return Encode(m.state) }

// Restore takes a state; none stands for an empty one.
func (m *StateMachine) Restore(data []byte) error {
	s := emptyState()
	if len(data) > 0 {
		if err := Decode(data, &s); err != nil {
			return fmt.Errorf("the orders cannot be read: %w", err)
		}
	}
	if s.Table.Zones == nil || s.Table.Overrides == nil || s.Starts == nil {
		return errors.New("the orders lack a part")
	}
	if s.RolledBack == nil {
		s.RolledBack = map[uint64]string{}
	}
	m.state = s
	return nil
}
