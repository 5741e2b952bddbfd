// Package simwire converts between the simulator's wire format and the types of package balance:
// frames of events (frame.go), replies with actions (reply.go) and settings (settings.go).
//
// All numbers on the wire are little-endian, and times are in microseconds. It decides nothing;
// the node's command uses it to run the balancer inside the simulator, and package nodeconfig
// for the settings' names.
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
	batchHeader = 20      // bytes
	replyHeader = 12      // bytes
	minRecord   = 5       // bytes of the smallest record: a code and an instance
	listingSize = 23      // bytes of an entry of a worker list
	readChunk   = 1 << 20 // initial capacity of a body at most, before its bytes arrive
)

// The codes of events on the wire.
const (
	codeAttach       = 1
	codeList         = 2
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

// The bits of a request's flags.
const (
	flagHasCost = 1 << iota
	flagRepeat
)

// The topics of a progress event.
const (
	topicStarted  = 1
	topicProgress = 2
)

// Outcomes are numbered in steps of outcomeStep on the wire, from the first balance.Outcome on.
const (
	outcomeStep = 10
	lastOutcome = 80
)

// Attach starts an instance of the balancer.
type Attach struct {
	Seed    uint64
	Options string
}

// Shutdown ends an instance of the balancer.
type Shutdown struct{}

// Record is one event of one instance: a balance.Event, an Attach or a Shutdown.
type Record struct {
	Instance uint32
	Event    any
}

// Batch is one frame of events.
type Batch struct {
	Number  uint32
	Now     time.Duration
	Records []Record
}

var errShortHeader = errors.New("batch header: input ends in its middle")

// ReadBatch reads one frame. It returns io.EOF only if the input ends between frames.
func ReadBatch(reader *bufio.Reader) (Batch, error) {
	var header [batchHeader]byte
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
		return batch, fmt.Errorf("batch %d: clock %d out of range", batch.Number, now)
	}
	batch.Now = micros(now)
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

// readBody reads size bytes. It does not allocate them all before they arrive.
func readBody(r io.Reader, size int64) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(int(min(size, readChunk)))
	n, err := io.CopyN(&buf, r, size)
	if err != nil {
		return nil, fmt.Errorf("input ends after %d bytes", n)
	}
	return buf.Bytes(), nil
}

// decodeRecords decodes the count records of a frame's body.
func decodeRecords(body []byte, count uint32) ([]Record, error) {
	if int64(count)*minRecord > int64(len(body)) {
		return nil, fmt.Errorf("%d records cannot fit %d bytes", count, len(body))
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

// decoder reads fields one by one. After a short read all further reads are short.
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

func (d *decoder) bytes16() []byte { return bytes.Clone(d.take(int(d.u16()))) }

func (d *decoder) report() []float32 {
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
		return rec, fmt.Errorf("code %d: the record is cut short", code)
	}
	return rec, err
}

func (d *decoder) event(code uint8) (any, error) {
	switch code {
	case codeAttach:
		seed := d.u64()
		return Attach{Seed: seed, Options: string(d.take(int(d.u32())))}, nil
	case codeList:
		return d.list()
	case codeRequest:
		return d.request()
	case codeStreamStart:
		return balance.StreamStarted{Request: d.id(), Attempt: int(d.u16()), Worker: d.worker(),
			Elapsed: micros(uint64(d.u32()))}, nil
	case codeAttemptDone:
		return d.attemptDone()
	case codeRequestEnded:
		return balance.RequestEnded{Request: d.id()}, nil
	case codeTimerFired:
		return balance.TimerFired{Token: d.u32()}, nil
	case codeProbeDone:
		ev := balance.ProbeDone{Worker: d.worker()}
		out, err := outcome(d.u16())
		ev.Outcome, ev.Elapsed, ev.Report = out, micros(uint64(d.u32())), d.report()
		return ev, err
	case codePeerMessage:
		return balance.PeerMessage{From: int(d.u32()), Payload: d.bytes16()}, nil
	case codeShutdown:
		return Shutdown{}, nil
	case codeProgress:
		return d.progress()
	}
	return nil, fmt.Errorf("unknown event code %d", code)
}

func (d *decoder) id() balance.RequestID { return balance.RequestID(d.u64()) }

func (d *decoder) list() (any, error) {
	ev := balance.ListUpdate{Version: d.u64()}
	mode := d.u8()
	switch mode {
	case 1:
		ev.Kind = balance.ListFailed
	case 2:
		ev.Kind = balance.ListCached
	case 3:
		ev.Kind = balance.ListChanges
	case 4:
		ev.Kind = balance.ListFull
	default:
		return ev, fmt.Errorf("list of unknown mode %d", mode)
	}
	n := int64(d.u32())
	if n*listingSize > int64(len(d.buf)-d.pos) {
		d.short = true
		return ev, nil
	}
	ev.Workers = make([]balance.WorkerListing, 0, n)
	for range n {
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
	w.Started = micros(d.u64())
	switch state {
	case 1:
		w.State = balance.Gone
	case 2:
		w.State = balance.Ready
	case 3:
		w.State = balance.Draining
	default:
		return w, fmt.Errorf("worker of unknown availability %d", state)
	}
	if !(w.Scale >= 0) || math.IsInf(w.Scale, 0) {
		return w, fmt.Errorf("worker of scale %v", w.Scale)
	}
	return w, nil
}

func (d *decoder) request() (any, error) {
	ev := balance.Request{ID: d.id(), Tenant: int(d.u32())}
	flags := d.u8()
	ev.Memory = float64(d.f32())
	ev.Cost = micros(uint64(d.u32()))
	ev.HasCost, ev.ClientRetry = flags&flagHasCost != 0, flags&flagRepeat != 0
	ev.Key = d.u64()
	ev.Deadline = micros(d.u64())
	ev.Class = int(d.u8())
	ev.Slots = float64(d.f32())
	for _, v := range []float64{ev.Memory, ev.Slots} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return ev, fmt.Errorf("request %d wants %v slots or units of memory", ev.ID, v)
		}
	}
	return ev, nil
}

func (d *decoder) attemptDone() (any, error) {
	ev := balance.AttemptDone{Request: d.id(), Attempt: int(d.u16()), Worker: d.worker()}
	out, err := outcome(d.u16())
	ev.Outcome = out
	ev.Elapsed = micros(uint64(d.u32()))
	ev.Over = d.u8() != 0
	ev.Note = d.u32()
	ev.Report = d.report()
	return ev, err
}

func (d *decoder) progress() (any, error) {
	ev := balance.AttemptProgress{Request: d.id(), Attempt: int(d.u16()), Worker: d.worker()}
	topic := d.u8()
	ev.Started, ev.Progress = topic == topicStarted, float64(d.f32())
	if topic != topicStarted && topic != topicProgress {
		return ev, fmt.Errorf("news of unknown topic %d", topic)
	}
	return ev, nil
}

// outcome converts an outcome's code.
func outcome(code uint16) (balance.Outcome, error) {
	if code < outcomeStep || code > lastOutcome || code%outcomeStep != 0 {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return balance.Outcome(code/outcomeStep - 1), nil
}

// micros converts a time of the wire. Times beyond the clock's range are cut to its end: never.
func micros(us uint64) time.Duration {
	return time.Duration(min(us, math.MaxInt64/1000)) * time.Microsecond
}
