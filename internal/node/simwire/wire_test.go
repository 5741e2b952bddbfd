package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
)

// littleEndian encodes fields in order, in little-endian byte order.
func littleEndian(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

// frame returns a frame with the given records: batch 7, at 2500 µs.
func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(littleEndian(uint32(7), uint64(2500), uint32(len(body)), uint32(len(records))), body...)
}

var (
	wireAddr     = [6]byte{10, 1, 2, 3, 0x34, 0x12}
	wireWorkerID = balance.WorkerID(0x1234_0302_010a)
	options      = []byte("balancers=2\n")
)

// eventCase is a record on the wire and the event that it decodes to.
type eventCase struct {
	record []byte
	want   any
}

// eventCases returns a record of each event, for instance 3 of the balancer.
func eventCases() map[string]eventCase {
	return map[string]eventCase{
		"Attach": {littleEndian(uint8(1), uint32(3), uint64(99), uint32(len(options)), options),
			Attach{Seed: 99, Options: string(options)}},
		"ListUpdate": {littleEndian(uint8(2), uint32(3), uint64(41), uint8(4), uint32(1),
			wireAddr, uint8(1), uint8(2), uint16(5), uint8(3), float32(1.5), uint64(1000)),
			balance.ListUpdate{Kind: balance.ListFull, Version: 41, Workers: []balance.WorkerListing{{Worker: wireWorkerID,
				Zone: 1, Kind: 2, Cell: 5, State: balance.Draining, Scale: 1.5, Started: time.Millisecond}}}},
		"Request": {littleEndian(uint8(3), uint32(3), uint64(12), uint32(1), uint8(3), float32(0.5), uint32(2000), uint64(77),
			uint64(9000), uint8(2), float32(4)),
			balance.Request{ID: 12, Class: 2, Tenant: 1, Key: 77, Cost: 2 * time.Millisecond, HasCost: true,
				ClientRetry: true, Slots: 4, Memory: 0.5, Deadline: 9 * time.Millisecond}},
		"StreamStarted": {littleEndian(uint8(4), uint32(3), uint64(12), uint16(1), wireAddr, uint32(500)),
			balance.StreamStarted{Request: 12, Attempt: 1, Worker: wireWorkerID, Elapsed: 500 * time.Microsecond}},
		"AttemptDone": {littleEndian(uint8(5), uint32(3), uint64(12), uint16(1), wireAddr, uint16(30), uint32(500), uint8(1), uint32(6),
			uint8(2), float32(1), float32(2)),
			balance.AttemptDone{Request: 12, Attempt: 1, Worker: wireWorkerID, Outcome: balance.Full,
				Elapsed: 500 * time.Microsecond, Over: true, Note: 6, Report: []float32{1, 2}}},
		"RequestEnded": {littleEndian(uint8(6), uint32(3), uint64(12)), balance.RequestEnded{Request: 12}},
		"TimerFired":   {littleEndian(uint8(7), uint32(3), uint32(8)), balance.TimerFired{Token: 8}},
		"ProbeDone": {littleEndian(uint8(8), uint32(3), wireAddr, uint16(50), uint32(250), uint8(0)),
			balance.ProbeDone{Worker: wireWorkerID, Outcome: balance.ConnectFailed, Elapsed: 250 * time.Microsecond}},
		"PeerMessage": {littleEndian(uint8(9), uint32(3), uint32(2), uint16(3), [3]byte{1, 2, 3}),
			balance.PeerMessage{From: 2, Payload: []byte{1, 2, 3}}},
		"Shutdown": {littleEndian(uint8(10), uint32(3)), Shutdown{}},
		"AttemptProgress": {littleEndian(uint8(11), uint32(3), uint64(12), uint16(1), wireAddr, uint8(2), float32(0.5)),
			balance.AttemptProgress{Request: 12, Attempt: 1, Worker: wireWorkerID, Progress: 0.5}},
	}
}

func readBatch(b []byte) (Batch, error) { return ReadBatch(bufio.NewReader(bytes.NewReader(b))) }

func TestReadBatch_everyEvent(t *testing.T) {
	for name, c := range eventCases() {
		got, err := readBatch(frame(c.record))
		if err != nil {
			t.Errorf("%s: error %v, want none", name, err)
			continue
		}
		want := Batch{Number: 7, Now: 2500 * time.Microsecond, Records: []Record{{Instance: 3, Event: c.want}}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

// A record that ends early is an error, and never io.EOF, which means the end of all input.
func TestReadBatch_everyEventCutShort(t *testing.T) {
	for name, c := range eventCases() {
		for n := range len(c.record) {
			if _, err := readBatch(frame(c.record[:n])); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("%s cut to %d bytes: got error %v, want one other than io.EOF", name, n, err)
			}
		}
	}
}

func TestReadBatch_frames(t *testing.T) {
	requestEnded := littleEndian(uint8(6), uint32(3), uint64(12))
	batch, err := readBatch(frame(requestEnded, requestEnded))
	if err != nil || len(batch.Records) != 2 {
		t.Errorf("two records: got %d and error %v, want 2 and no error", len(batch.Records), err)
	}
	if b, err := readBatch(frame()); err != nil || len(b.Records) != 0 {
		t.Errorf("empty batch: got %+v and error %v, want no records and no error", b, err)
	}
	if _, err := readBatch(nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: got error %v, want io.EOF", err)
	}
}

func TestReadBatch_malformed(t *testing.T) {
	requestEnded := littleEndian(uint8(6), uint32(3), uint64(12))
	cases := map[string]struct {
		input []byte
		want  string // part of the error
	}{
		"header cut":            {frame(requestEnded)[:11], "header"},
		"body cut":              {frame(requestEnded)[:25], "input ends"},
		"huge length":           {littleEndian(uint32(1), uint64(0), uint32(1<<31), uint32(1)), "input ends"},
		"huge count":            {append(littleEndian(uint32(1), uint64(0), uint32(13), uint32(1<<31)), requestEnded...), "cannot fit"},
		"bytes left over":       {append(littleEndian(uint32(1), uint64(0), uint32(14), uint32(1)), append(requestEnded, 0)...), "left over"},
		"unknown code":          {frame(littleEndian(uint8(99), uint32(3))), "code 99"},
		"unknown outcome":       {frame(littleEndian(uint8(5), uint32(3), uint64(1), uint16(0), wireAddr, uint16(35), uint32(0), uint8(0), uint32(0), uint8(0))), "outcome 35"},
		"unknown list kind":     {frame(littleEndian(uint8(2), uint32(3), uint64(1), uint8(9), uint32(0))), "list update: unknown kind 9"},
		"huge list":             {frame(littleEndian(uint8(2), uint32(3), uint64(1), uint8(4), uint32(1<<31))), "cut short"},
		"unknown progress kind": {frame(littleEndian(uint8(11), uint32(3), uint64(12), uint16(1), wireAddr, uint8(7), float32(0))), "progress of request 12: unknown kind 7"},
		"clock past range":      {littleEndian(uint32(1), uint64(1<<63), uint32(0), uint32(0)), "clock"},
	}
	for name, c := range cases {
		if _, err := readBatch(c.input); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one with %q", name, err, c.want)
		}
	}
}

func TestReply_Add_everyAction(t *testing.T) {
	cases := []struct {
		action balance.Action
		want   []byte
	}{
		{balance.Send{Request: 12, Worker: wireWorkerID, Until: time.Millisecond},
			littleEndian(uint8(1), uint32(3), uint64(12), wireAddr, uint64(1000))},
		{balance.Reject{Request: 12, RetryAfter: time.Second}, littleEndian(uint8(2), uint32(3), uint64(12), uint32(1e6))},
		{balance.Fail{Request: 12}, littleEndian(uint8(3), uint32(3), uint64(12))},
		{balance.Cancel{Request: 12, Attempt: 2}, littleEndian(uint8(4), uint32(3), uint64(12), uint16(2))},
		{balance.SetTimer{After: time.Millisecond, Token: 5}, littleEndian(uint8(5), uint32(3), uint32(1000), uint32(5))},
		{balance.SetTimer{After: 100 * time.Hour, Token: 5}, littleEndian(uint8(5), uint32(3), uint32(1<<32-1), uint32(5))},
		{balance.Probe{Worker: wireWorkerID}, littleEndian(uint8(6), uint32(3), wireAddr)},
		{balance.CloseIdle{Worker: wireWorkerID}, littleEndian(uint8(7), uint32(3), wireAddr)},
		{balance.SendToPeers{To: -1, Payload: []byte("hi")}, littleEndian(uint8(8), uint32(3), ^uint32(0), uint16(2), []byte("hi"))},
		{balance.Log{Text: "hi"}, littleEndian(uint8(9), uint32(3), uint16(2), []byte("hi"))},
		{balance.InternalError{Text: "hi"}, littleEndian(uint8(10), uint32(3), uint16(2), []byte("hi"))},
		{balance.Subscribe{On: true}, littleEndian(uint8(11), uint32(3), uint8(1))},
		{balance.FetchList{}, littleEndian(uint8(12), uint32(3))},
	}
	var r Reply
	for _, c := range cases {
		r.Begin(9)
		if err := r.Add(3, c.action); err != nil {
			t.Fatalf("add %#v: %v", c.action, err)
		}
		want := append(littleEndian(uint32(9), uint32(len(c.want)), uint32(1)), c.want...)
		if got := r.Bytes(); !bytes.Equal(got, want) {
			t.Errorf("%#v: got % x, want % x", c.action, got, want)
		}
	}
}

const settingsText = `balancers=3
ordinal=2
zone=1
resolutionUs=5000
discovery=ask
countedBy=work
domain.tellsStart=true
domain.queueOrder=backfill
domain.reportX0=free_slots
domain.classStretch=1.5
domain.classKind=-1
report.fields=outstanding,x0,novelty
report.how=inline
grades.count=1
grades.0.giveUpUs=5000000
grades.0.targetUs=200000
grades.0.points=2.5
grades.0.repeat=idempotency_key
grades.0.group=cell
grades.0.windowUs=7000
tenants.count=1
tenants.0.quotaRps=10.5
tenants.0.fraction=0.4
bounds.maxAttempts=6
bounds.secondCopies=true
rules.coldFrom=0.35
rules.coldUs=9000000
some.new.key=whatever
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(settingsText)
	if err != nil {
		t.Fatalf("parse valid settings: %v", err)
	}
	want := balance.Settings{Balancers: 3, Ordinal: 2, Zone: 1, Resolution: 5 * time.Millisecond,
		SubscribeDiscovery: true, ValueByWork: true, ReportsStart: true, QueueOrder: balance.Backfill,
		ReportFields: []balance.ReportField{balance.FieldOutstanding, balance.FieldFreeSlots, balance.FieldOther},
		Classes: []balance.Class{{LatencyTarget: 200 * time.Millisecond, TargetStretch: 1.5, Timeout: 5 * time.Second, Value: 2.5,
			Effect: balance.Deduplicated, DedupGroup: balance.GroupCell, DedupWindow: 7 * time.Millisecond, Kind: -1}},
		Tenants: []balance.Tenant{{QuotaPerSecond: 10.5, Share: 0.4}},
		Limits:  balance.Limits{MaxAttempts: 6, HedgedRequests: true, StreamsPerConn: 1},
		Rules:   balance.Rules{InitialCapacity: 0.35, WarmupTime: 9 * time.Second}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("parsed settings:\ngot  %+v\nwant %+v", s, want)
	}
}

func TestParseSettings_malformed(t *testing.T) {
	for _, c := range []string{"balancers=two", "balancers=1.5", "zone", "discovery=shout",
		"grades.count=-1", "grades.count=999999999", "bounds.probes=perhaps", "rules.coldFrom=NaN",
		"resolutionUs=-5", "rules.coldUs=1e300"} {
		if _, err := ParseSettings(c); err == nil {
			t.Errorf("parse %q: got no error, want one", c)
		}
	}
}

// No input makes ReadBatch panic, or return more records than its bytes can hold.
func FuzzReadBatch(f *testing.F) {
	for _, c := range eventCases() {
		f.Add(frame(c.record))
	}
	f.Add(littleEndian(uint32(1), uint64(0), ^uint32(0), ^uint32(0)))
	f.Fuzz(func(t *testing.T, input []byte) {
		b, err := readBatch(input)
		if err == nil && len(b.Records)*minRecordSize > len(input) {
			t.Errorf("input of %d bytes: got %d records, want at most one per %d bytes", len(input), len(b.Records), minRecordSize)
		}
	})
}
