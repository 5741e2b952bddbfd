// Package simwire converts between the simulator's wire format and the types of package balance:
// frames of events (frame.go), replies with actions (reply.go) and settings (settings.go).
//
// All numbers on the wire are little-endian, and times are in microseconds. The package makes no
// balancing decisions. Command simhost uses it to run the balancer inside the simulator, and
// package nodeconfig to parse settings, which have the same names in a node's configuration.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"ospreybend/balance"
)

const (
	batchHeaderSize  = 20      // bytes
	replyHeaderSize  = 12      // bytes
	minRecordSize    = 5       // bytes of the smallest record, which is a code and an instance number
	listingSize      = 23      // bytes of one worker in a list update
	maxInitialBuffer = 1 << 20 // bytes; limit on the memory allocated for a body before its bytes arrive
)

// The wire codes of events.
const (
	codeAttach       = 1
	codeListUpdate   = 2
	codeRequest      = 3
	codeStreamStart  = 4
	codeAttemptDone  = 5
	codeRequestEnded = 6
	codeTimerFired   = 7
	codeProbeDone    = 8
	codePeerMessage  = 9
	codeShutdown     = 10
	codeProgress     = 11
)

// The bits of the flags of a request.
const (
	flagHasCost = 1 << iota
	flagClientRetry
)

// The kinds of a progress event.
const (
	progressStarted  = 1
	progressFraction = 2
)

// The wire code of a balance.Outcome is outcomeStep times its ordinal, counted from 1.
const (
	outcomeStep    = 10
	maxOutcomeCode = 80
)

// Attach starts an instance of the balancer. Options are read by ParseSettings.
type Attach struct {
	Seed    uint64
	Options string
}

// Shutdown ends an instance of the balancer.
type Shutdown struct{}

// Record is one event for one instance of the balancer. Event is a balance.Event, an Attach or a
// Shutdown.
type Record struct {
	Instance uint32
	Event    any
}

// Batch is one frame of events that occur at the same time.
type Batch struct {
	Number  uint32
	Now     time.Duration
	Records []Record
}

var errShortHeader = fmt.Errorf("batch header: input ends before %d bytes", batchHeaderSize)

// ReadBatch reads one frame. It returns io.EOF if and only if the input ends between two frames.
func ReadBatch(reader *bufio.Reader) (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errShortHeader
		}
		return Batch{}, err
	}
	batch := Batch{Number: binary.LittleEndian.Uint32(header[:])}
	now := binary.LittleEndian.Uint64(header[4:])
	size, count := binary.LittleEndian.Uint32(header[12:]), binary.LittleEndian.Uint32(header[16:])
	if now > math.MaxInt64/1000 {
		return batch, fmt.Errorf("batch %d: clock %d µs is out of range, want at most %d", batch.Number, now, int64(math.MaxInt64/1000))
	}
	batch.Now = microseconds(now)
	body, err := readBody(reader, int64(size))
	if err != nil {
		return batch, fmt.Errorf("batch %d: body of %d bytes: %w", batch.Number, size, err)
	}
	batch.Records, err = decodeRecords(body, count)
	if err != nil {
		return batch, fmt.Errorf("batch %d: %w", batch.Number, err)
	}
	return batch, nil
}

// readBody reads size bytes. Beyond maxInitialBuffer it allocates memory only as they arrive, so that
// an invalid size cannot exhaust the memory.
func readBody(r io.Reader, size int64) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(int(min(size, maxInitialBuffer)))
	n, err := io.CopyN(&buf, r, size)
	if err != nil {
		return nil, fmt.Errorf("input ends after %d bytes", n)
	}
	return buf.Bytes(), nil
}

// decodeRecords decodes the count records of a frame's body.
func decodeRecords(body []byte, count uint32) ([]Record, error) {
	if int64(count)*minRecordSize > int64(len(body)) {
		return nil, fmt.Errorf("%d records cannot fit in a body of %d bytes", count, len(body))
	}
	records := make([]Record, 0, count)
	d := decoder{buf: body}
	for i := range count {
		start := d.pos
		rec, err := d.record()
		if err != nil {
			return nil, fmt.Errorf("record %d at byte %d: %w", i, start, err)
		}
		records = append(records, rec)
	}
	if d.pos != len(body) {
		return nil, fmt.Errorf("%d bytes left over after %d records", len(body)-d.pos, count)
	}
	return records, nil
}

// decoder reads fields in order. Once the input ends within a field, short is set, and that read and
// all further ones return zero values.
type decoder struct {
	buf   []byte
	pos   int
	short bool
}

func (d *decoder) take(n int) []byte {
	if d.short || n > len(d.buf)-d.pos {
		d.short = true
		return nil
	}
	b := d.buf[d.pos : d.pos+n]
	d.pos += n
	return b
}

func (d *decoder) u8() uint8 {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) u16() uint16 {
	if b := d.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (d *decoder) u32() uint32 {
	if b := d.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (d *decoder) u64() uint64 {
	if b := d.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (d *decoder) f32() float32 { return math.Float32frombits(d.u32()) }

func (d *decoder) worker() balance.WorkerID {
	b := d.take(6)
	if b == nil {
		return 0
	}
	return balance.WorkerID(binary.LittleEndian.Uint32(b)) | balance.WorkerID(binary.LittleEndian.Uint16(b[4:]))<<32
}

func (d *decoder) payload() []byte { return bytes.Clone(d.take(int(d.u16()))) }

// loadReport reads the values of a load report; nil if there are none.
func (d *decoder) loadReport() []float32 {
	n := int(d.u8())
	if n == 0 || n*4 > len(d.buf)-d.pos {
		d.short = d.short || n > 0
		return nil
	}
	values := make([]float32, n)
	for i := range values {
		values[i] = d.f32()
	}
	return values
}

func (d *decoder) record() (Record, error) {
	code := d.u8()
	rec := Record{Instance: d.u32()}
	var err error
	rec.Event, err = d.event(code)
	if d.short {
		return rec, fmt.Errorf("event code %d: the record is cut short", code)
	}
	return rec, err
}

func (d *decoder) event(code uint8) (any, error) {
	switch code {
	case codeAttach:
		seed := d.u64()
		return Attach{Seed: seed, Options: string(d.take(int(d.u32())))}, nil
	case codeListUpdate:
		return d.listUpdate()
	case codeRequest:
		return d.request()
	case codeStreamStart:
		return balance.StreamStarted{Request: d.requestID(), Attempt: int(d.u16()), Worker: d.worker(),
			Elapsed: microseconds(uint64(d.u32()))}, nil
	case codeAttemptDone:
		return d.attemptDone()
	case codeRequestEnded:
		return balance.RequestEnded{Request: d.requestID()}, nil
	case codeTimerFired:
		return balance.TimerFired{Token: d.u32()}, nil
	case codeProbeDone:
		ev := balance.ProbeDone{Worker: d.worker()}
		out, err := decodeOutcome(d.u16())
		ev.Outcome, ev.Elapsed, ev.Report = out, microseconds(uint64(d.u32())), d.loadReport()
		return ev, err
	case codePeerMessage:
		return balance.PeerMessage{From: int(d.u32()), Payload: d.payload()}, nil
	case codeShutdown:
		return Shutdown{}, nil
	case codeProgress:
		return d.progress()
	}
	return nil, fmt.Errorf("unknown event code %d", code)
}

func (d *decoder) requestID() balance.RequestID { return balance.RequestID(d.u64()) }

func (d *decoder) listUpdate() (any, error) {
	ev := balance.ListUpdate{Version: d.u64()}
	kind := d.u8()
	switch kind {
	case 1:
		ev.Kind = balance.ListFailed
	case 2:
		ev.Kind = balance.ListCached
	case 3:
		ev.Kind = balance.ListChanges
	case 4:
		ev.Kind = balance.ListFull
	default:
		return ev, fmt.Errorf("list update: unknown kind %d", kind)
	}
	count := int64(d.u32())
	if count*listingSize > int64(len(d.buf)-d.pos) {
		d.short = true
		return ev, nil
	}
	ev.Workers = make([]balance.WorkerListing, 0, count)
	for range count {
		w, err := d.listing()
		if err != nil {
			return ev, err
		}
		ev.Workers = append(ev.Workers, w)
	}
	return ev, nil
}

func (d *decoder) listing() (balance.WorkerListing, error) {
	w := balance.WorkerListing{Worker: d.worker(), Zone: int(d.u8()), Kind: int(d.u8()), Cell: int(d.u16())}
	state := d.u8()
	w.Scale = float64(d.f32())
	w.Started = microseconds(d.u64())
	switch state {
	case 1:
		w.State = balance.Gone
	case 2:
		w.State = balance.Ready
	case 3:
		w.State = balance.Draining
	default:
		return w, fmt.Errorf("list update: worker %#x has unknown state %d", uint64(w.Worker), state)
	}
	if !(w.Scale >= 0) || math.IsInf(w.Scale, 0) {
		return w, fmt.Errorf("list update: worker %#x has scale %v, want a finite number of at least 0", uint64(w.Worker), w.Scale)
	}
	return w, nil
}

func (d *decoder) request() (any, error) {
	ev := balance.Request{ID: d.requestID(), Tenant: int(d.u32())}
	flags := d.u8()
	ev.Memory = float64(d.f32())
	ev.Cost = microseconds(uint64(d.u32()))
	ev.HasCost, ev.ClientRetry = flags&flagHasCost != 0, flags&flagClientRetry != 0
	ev.Key = d.u64()
	ev.Deadline = microseconds(d.u64())
	ev.Class = int(d.u8())
	ev.Slots = float64(d.f32())
	for _, demand := range []struct {
		name  string
		value float64
	}{{"memory", ev.Memory}, {"slots", ev.Slots}} {
		if !(demand.value >= 0) || math.IsInf(demand.value, 0) {
			return ev, fmt.Errorf("request %d: %s is %v, want a finite number of at least 0", ev.ID, demand.name, demand.value)
		}
	}
	return ev, nil
}

func (d *decoder) attemptDone() (any, error) {
	ev := balance.AttemptDone{Request: d.requestID(), Attempt: int(d.u16()), Worker: d.worker()}
	out, err := decodeOutcome(d.u16())
	ev.Outcome = out
	ev.Elapsed = microseconds(uint64(d.u32()))
	ev.Over = d.u8() != 0
	ev.Note = d.u32()
	ev.Report = d.loadReport()
	return ev, err
}

func (d *decoder) progress() (any, error) {
	ev := balance.AttemptProgress{Request: d.requestID(), Attempt: int(d.u16()), Worker: d.worker()}
	kind := d.u8()
	ev.Started, ev.Progress = kind == progressStarted, float64(d.f32())
	if kind != progressStarted && kind != progressFraction {
		return ev, fmt.Errorf("progress of request %d: unknown kind %d", ev.Request, kind)
	}
	return ev, nil
}

// decodeOutcome converts the wire code of an outcome.
func decodeOutcome(code uint16) (balance.Outcome, error) {
	if code < outcomeStep || code > maxOutcomeCode || code%outcomeStep != 0 {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return balance.Outcome(code/outcomeStep - 1), nil
}

// microseconds converts a time of the wire. A time beyond the range of time.Duration, which stands
// for never, becomes the largest one.
func microseconds(us uint64) time.Duration {
	return time.Duration(min(us, math.MaxInt64/1000)) * time.Microsecond
}
