package roleplanner

import (
	"errors"
	"fmt"
	"math"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// Stages that workers report when they register.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

// Demand is the work that requests cause: either a total in worker-seconds or a rate in workers, where a rate of 1 keeps
// one worker busy. The prompt of each request counts once towards Prefill, even if the request is rejected or fails, so
// that the measured demand does not fall when there are too few prefill workers. A prompt counts with its expected
// processing time, without queueing.
type Demand struct {
	Offered     float64 // number of requests that arrived; a count, not a time
	Started     float64 // number of requests that started to stream; a count, not a time
	Prefill     float64 // expected processing time of the prompts that arrived
	PrefillDone float64 // expected processing time of the prompts that prefill workers completed
	PrefillTime float64 // observed time of the completed prompts, including queueing
	Slots       float64 // share of a decode worker's slots that streams occupied, integrated over time
	Memory      float64 // share of a decode worker's memory that streams occupied, integrated over time
	Transfers   float64 // time that decode workers spent fetching KV caches
}

// fields returns pointers to the fields in the order of their encoding.
func (d *Demand) fields() [8]*float64 {
	return [...]*float64{&d.Offered, &d.Started, &d.Prefill, &d.PrefillDone, &d.PrefillTime, &d.Slots, &d.Memory, &d.Transfers}
}

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand {
	otherFields := other.fields()
	for i, field := range d.fields() {
		*field += *otherFields[i]
	}
	return d
}

// Scale returns the demand multiplied by a factor.
func (d Demand) Scale(factor float64) Demand {
	for _, field := range d.fields() {
		*field *= factor
	}
	return d
}

// Since returns the increase over an earlier total, or d itself if the totals were reset in between.
func (d Demand) Since(earlier Demand) Demand {
	increase := d.Add(earlier.Scale(-1))
	if !increase.valid() {
		return d
	}
	return increase
}

// valid reports whether all fields are finite and none is negative.
func (d Demand) valid() bool {
	for _, field := range d.fields() {
		if !(*field >= 0) || math.IsInf(*field, 1) {
			return false
		}
	}
	return true
}

// maxServices limits the number of services in one report.
const maxServices = 4096

// ErrInvalidReport is wrapped by the errors that DecodeReport returns.
var ErrInvalidReport = errors.New("roleplanner: invalid demand report")

// ServiceDemand is the demand rate of one service, in workers.
type ServiceDemand struct {
	Service string
	Demand  Demand
}

// wireDemand is the encoded form of a ServiceDemand.
type wireDemand struct {
	Service string    `avro:"service"`
	Values  []float64 `avro:"parts"` // in the order of Demand.fields
}

var reportSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"demand","fields":[
	{"name":"service","type":"string"},
	{"name":"parts","type":{"type":"array","items":"double"}}]}}`)

var codec = avro.Config{MaxSliceAllocSize: maxServices}.Freeze()

// EncodeReport returns the encoded form of a report, which is the body of a message on feedtransport.TopicDemand.
func EncodeReport(report []ServiceDemand) ([]byte, error) {
	wire := make([]wireDemand, 0, len(report))
	for _, entry := range report {
		encoded := wireDemand{Service: entry.Service}
		for _, field := range entry.Demand.fields() {
			encoded.Values = append(encoded.Values, *field)
		}
		wire = append(wire, encoded)
	}
	return codec.Marshal(reportSchema, wire)
}

// DecodeReport decodes a report encoded by EncodeReport. Its errors wrap ErrInvalidReport.
func DecodeReport(encoded []byte) ([]ServiceDemand, error) {
	var wire []wireDemand
	if err := strictavro.Unmarshal(codec, reportSchema, encoded, &wire); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidReport, err)
	}
	report := make([]ServiceDemand, 0, len(wire))
	for position, entry := range wire {
		decoded := ServiceDemand{Service: entry.Service}
		fields := decoded.Demand.fields()
		if entry.Service == "" {
			return nil, fmt.Errorf("%w: entry %d has no service name", ErrInvalidReport, position)
		}
		if len(entry.Values) != len(fields) {
			return nil, fmt.Errorf("%w: service %q has %d values, expected %d", ErrInvalidReport, entry.Service, len(entry.Values), len(fields))
		}
		for i, value := range entry.Values {
			*fields[i] = value
		}
		if !decoded.Demand.valid() {
			return nil, fmt.Errorf("%w: service %q has a negative or non-finite value: %+v", ErrInvalidReport, entry.Service, decoded.Demand)
		}
		report = append(report, decoded)
	}
	return report, nil
}
