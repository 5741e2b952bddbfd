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
	In     Phase = iota // takes its whole share
	Eased               // slow: takes a part
	Left                // takes nothing
	Trying              // a few processes try it
	Rising              // takes a part that grows by steps
)

var phaseNames = [...]string{"in", "eased", "left", "trying", "rising"}

// String names the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "phase " + strconv.Itoa(int(p))
}

// Zone is the order on one zone.
type Zone struct {
	Phase    Phase    `cbor:"1,keyasint" json:"Phase"`
	Share    float64  `cbor:"2,keyasint"`                         // of what it would take; while Trying, of those chosen
	Chosen   float64  `cbor:"3,keyasint,omitempty" json:"Chosen"` // part of the processes that try
	Step     int      `cbor:"4,keyasint,omitempty"`               // of the rise
	Failures int      `cbor:"5,keyasint,omitempty"`               // in a row; each doubles the rest
	Cut      []string `cbor:"6,keyasint,omitempty" json:"Cut"`    // zones whose processes do not reach it: they send nothing there
	Reason   string   `cbor:"7,keyasint,omitempty"`
	Since    uint64   `cbor:"8,keyasint,omitempty" json:"Since"` // the epoch that set it
}

// The words that a person may say on a zone.
const (
	DoLeave  = "leave"
	DoReturn = "return"
	DoHold   = "hold"
	DoClear  = "clear"
)

// Word is what a person has said on a zone. It goes before the program's own orders
// until its end.
type Word struct {
	Zone   string `cbor:"1,keyasint"`
	Do     string `cbor:"2,keyasint" json:"Do"`
	Reason string `cbor:"3,keyasint"`
	Until  int64  `cbor:"4,keyasint" json:"Until"` // Unix microseconds
}

// Table is all that holds now.
type Table struct {
	Epoch uint64             `cbor:"1,keyasint"`
	Zones map[string]Zone    `cbor:"2,keyasint"`
	Admit map[string]float64 `cbor:"3,keyasint,omitempty" json:"Admit"` // part of each class that is let in; who is not named is let in whole
	Words map[string]Word    `cbor:"4,keyasint,omitempty" json:"Words"`
}

// Of is the order on a zone; one that nothing was said of is in.
func (t *Table) Of(zone string) Zone {
	if z, ok := t.Zones[zone]; ok {
		return z
	}
	return Zone{Phase: In, Share: 1}
}

// Clone copies the table.
func (t *Table) Clone() Table {
	out := Table{Epoch: t.Epoch, Zones: maps.Clone(t.Zones), Admit: maps.Clone(t.Admit), Words: maps.Clone(t.Words)}
	for name, z := range out.Zones {
		z.Cut = slices.Clone(z.Cut)
		out.Zones[name] = z
	}
	return out
}

// Change is a new order. It is void unless the epoch that it was made for still holds,
// so that a leader that was outvoted, or answers late, changes nothing.
type Change struct {
	Expect uint64             `cbor:"1,keyasint"`
	Zones  map[string]Zone    `cbor:"2,keyasint,omitempty"`              // these alone change
	Admit  map[string]float64 `cbor:"3,keyasint,omitempty" json:"Admit"` // in place of the last, where Admits
	Admits bool               `cbor:"4,keyasint,omitempty"`
}

// Start is a voter's, told before it votes for anything but its start.
type Start struct {
	Voter uint64 `cbor:"1,keyasint"`
	Store string `cbor:"2,keyasint"`
	Runs  uint64 `cbor:"3,keyasint"`
}

// Order is one entry of the log: one of its parts is set.
type Order struct {
	ID     string  `cbor:"1,keyasint"` // unique, so that who put it knows it again; a doubled one is void
	Change *Change `cbor:"2,keyasint,omitempty"`
	Word   *Word   `cbor:"3,keyasint,omitempty"`
	Start  *Start  `cbor:"4,keyasint,omitempty"`
}

// ErrStale says that an order was made for an epoch that is over.
var ErrStale = errors.New("the order was made for an epoch that is over")

// ErrOldStore says that a voter's store was put back from an older copy.
var ErrOldStore = errors.New("the voter's store is an older copy than the fleet has heard of")

// Machine applies orders. Applied is told of each.
type Machine struct {
	state   state
	Applied func(o Order, err error)
	Without string // a check left out, for the tests that show what it is for
}

type state struct {
	Table  Table             `cbor:"1,keyasint"`
	Starts map[uint64]Start  `cbor:"2,keyasint"`
	Recent []string          `cbor:"3,keyasint"` // IDs of the last orders
	Old    map[uint64]string `cbor:"4,keyasint"` // voters whose store is an older copy, by its ID
}

const recent = 256 // orders remembered by their IDs

// NewMachine makes an empty one.
func NewMachine() *Machine {
	m := &Machine{}
	m.state = empty()
	return m
}

func empty() state {
	return state{Table: Table{Zones: map[string]Zone{}, Words: map[string]Word{}, Admit: map[string]float64{}},
		Starts: map[uint64]Start{}, Old: map[uint64]string{}}
}

// Table returns what holds now; it is not to be changed.
func (m *Machine) Table() *Table { return &m.state.Table }

// OldStore tells whether a voter's store was found to be an older copy.
func (m *Machine) OldStore(voter uint64, store string) bool { return m.state.Old[voter] == store }

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
func Decode(text []byte, into any) error { return decoder.Unmarshal(text, into) }

// Apply takes in the next entry. What cannot be read is void at every voter alike.
func (m *Machine) Apply(_ uint64, text []byte) {
	var o Order
	err := Decode(text, &o)
	if err == nil {
		err = m.apply(o)
	}
	if m.Applied != nil {
		m.Applied(o, err)
	}
}

func (m *Machine) apply(o Order) error {
	if o.ID == "" || slices.Contains(m.state.Recent, o.ID) {
		return errors.New("an order without an ID of its own")
	}
	m.state.Recent = append(m.state.Recent, o.ID)
	if extra := len(m.state.Recent) - recent; extra > 0 {
		m.state.Recent = slices.Delete(m.state.Recent, 0, extra)
	}
	switch {
	case o.Change != nil:
		return m.change(o.Change)
	case o.Word != nil:
		return m.say(*o.Word)
	case o.Start != nil:
		return m.start(*o.Start)
	}
	return errors.New("an order that says nothing")
}

func (m *Machine) change(c *Change) error {
	t := &m.state.Table
	if c.Expect != t.Epoch && m.Without != "expect" {
		return ErrStale
	}
	for name, z := range c.Zones {
		if err := z.check(); err != nil {
			return fmt.Errorf("zone %q: %w", name, err)
		}
	}
	t.Epoch++
	for name, z := range c.Zones {
		z.Since = t.Epoch
		t.Zones[name] = z
	}
	if c.Admits {
		t.Admit = maps.Clone(c.Admit)
	}
	return nil
}

func (z Zone) check() error {
	switch {
	case int(z.Phase) >= len(phaseNames):
		return fmt.Errorf("%v", z.Phase)
	case !(z.Share >= 0 && z.Share <= 1), !(z.Chosen >= 0 && z.Chosen <= 1):
		return fmt.Errorf("a share of %v, %v chosen", z.Share, z.Chosen)
	}
	return nil
}

// Check tells what is wrong with a word before it goes into the log.
func (w Word) Check() error {
	switch {
	case w.Zone == "":
		return errors.New("zone: missing")
	case w.Do == DoClear:
		return nil
	case w.Do != DoLeave && w.Do != DoReturn && w.Do != DoHold:
		return fmt.Errorf("do: %q is none of leave, return, hold and clear", w.Do)
	case w.Reason == "":
		return errors.New("reason: missing")
	case w.Until <= 0:
		return errors.New("until: missing")
	}
	return nil
}

func (m *Machine) say(w Word) error {
	if err := w.Check(); err != nil {
		return err
	}
	t := &m.state.Table
	t.Epoch++
	if w.Do == DoClear {
		delete(t.Words, w.Zone)
		return nil
	}
	t.Words[w.Zone] = w
	return nil
}

// start notes a voter's start. A file whose count of starts falls was put back from an
// older copy: what it had promised since is not in it.
func (m *Machine) start(s Start) error {
	if last, ok := m.state.Starts[s.Voter]; ok && last.Store == s.Store && s.Runs <= last.Runs {
		m.state.Old[s.Voter] = s.Store
		return ErrOldStore
	}
	m.state.Starts[s.Voter] = s
	return nil
}

// Snapshot writes the state.
func (m *Machine) Snapshot() ([]byte, error) { return Encode(m.state) }

// Restore takes a state; none stands for an empty one.
func (m *Machine) Restore(text []byte) error {
	s := empty()
	if len(text) > 0 {
		if err := Decode(text, &s); err != nil {
			return fmt.Errorf("the orders cannot be read: %w", err)
		}
	}
	if s.Table.Zones == nil || s.Table.Words == nil || s.Starts == nil {
		return errors.New("the orders lack a part")
	}
	if s.Old == nil {
		s.Old = map[uint64]string{}
	}
	m.state = s
	return nil
}
