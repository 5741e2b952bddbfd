package roleplanner

import (
	"errors"
	"fmt"
	"math"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// Stages of workers, as they register with them.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

// Demand is the work that requests bring: a sum in worker-seconds, or a rate in workers, where a rate of 1 keeps one worker
// busy. The prompt of each request counts once for Prefill, also if the request is rejected or fails, so that the demand
// does not fall where prefill workers are too few. Prompts count with the time that they are expected to take without waits.
type Demand struct {
	Offered     float64 // requests that arrived; a count, not a time
	Started     float64 // requests that started to stream; a count, too
	Prefill     float64 // expected time of the prompts that arrived
	PrefillDone float64 // expected time of the prompts that prefill workers completed
	PrefillTime float64 // observed time of the same prompts, with their waits
	Slots       float64 // share of a decode worker's slots that streams occupied, over time
	Memory      float64 // share of a decode worker's memory that streams occupied, over time
	Transfers   float64 // time in which decode workers fetched KV caches
}

// parts returns pointers to the fields, in the order of their encoding.
func (d *Demand) parts() [8]*float64 {
	return [...]*float64{&d.Offered, &d.Started, &d.Prefill, &d.PrefillDone, &d.PrefillTime, &d.Slots, &d.Memory, &d.Transfers}
}

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand {
	more := other.parts()
	for i, part := range d.parts() {
		*part += *more[i]
	}
	return d
}

// Scale returns the demand multiplied by a factor.
func (d Demand) Scale(factor float64) Demand {
	for _, part := range d.parts() {
		*part *= factor
	}
	return d
}

// Since returns the increase over an earlier sum, or all of the demand if the sum was reset meanwhile.
func (d Demand) Since(before Demand) Demand {
	since := d.Add(before.Scale(-1))
	if !since.valid() {
		return d
	}
	return since
}

// valid reports whether all fields are finite and none is negative.
func (d Demand) valid() bool {
	for _, part := range d.parts() {
		if !(*part >= 0) || math.IsInf(*part, 1) {
			return false
		}
	}
	return true
}

// maxServices limits the services of one report.
const maxServices = 4096

// ErrInvalidReport is wrapped by the errors of DecodeReport.
var ErrInvalidReport = errors.New("roleplanner: invalid demand report")

// ServiceDemand is the rate of the demand of one service, in workers.
type ServiceDemand struct {
	Service string
	Demand  Demand
}

// wireDemand is the encoded form of a ServiceDemand.
type wireDemand struct {
	Service string    `avro:"service"`
	Parts   []float64 `avro:"parts"` // in the order of Demand's fields
}

var reportSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"demand","fields":[
	{"name":"service","type":"string"},
	{"name":"parts","type":{"type":"array","items":"double"}}]}}`)

var codec = avro.Config{MaxSliceAllocSize: maxServices}.Freeze()

// EncodeReport returns the encoded form of a report, the body of a message on feedtransport.TopicDemand.
func EncodeReport(report []ServiceDemand) ([]byte, error) {
	wire := make([]wireDemand, 0, len(report))
	for _, entry := range report {
		encoded := wireDemand{Service: entry.Service}
		for _, part := range entry.Demand.parts() {
			encoded.Parts = append(encoded.Parts, *part)
		}
		wire = append(wire, encoded)
	}
	return codec.Marshal(reportSchema, wire)
}

// DecodeReport decodes what EncodeReport returned. The error wraps ErrInvalidReport.
func DecodeReport(encoded []byte) ([]ServiceDemand, error) {
	var wire []wireDemand
	if err := strictavro.Unmarshal(codec, reportSchema, encoded, &wire); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidReport, err)
	}
	report := make([]ServiceDemand, 0, len(wire))
	for _, entry := range wire {
		read := ServiceDemand{Service: entry.Service}
		parts := read.Demand.parts()
		if entry.Service == "" || len(entry.Parts) != len(parts) {
			return nil, ErrInvalidReport
		}
		for i, part := range entry.Parts {
			*parts[i] = part
		}
		if !read.Demand.valid() {
			return nil, ErrInvalidReport
		}
		report = append(report, read)
	}
	return report, nil
}
