// Package roleplanner decides how many workers of a service read prompts (stage "prefill") and how many
// make tokens (stage "decode"): it adds up the demand that proxies report, works out the wanted split,
// and says which workers are to change their stage. It has no clock and no I/O: instants are arguments,
// on one monotonic clock.
package roleplanner

import (
	"errors"
	"math"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// Stages of workers, as they register them.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

// Demand is work that requests bring, as a sum of workers' seconds, or as a rate in workers: a rate of 1
// keeps one worker busy. What is to be read counts once for each request, also where it is refused or fails; so the
// demand does not fall because there are too few readers. Reading is measured by what it is expected to take by itself.
type Demand struct {
	Offered     float64 // requests that came; a number, not a time
	Started     float64 // requests whose streams began; a number too
	Prefill     float64 // prompts that came, as expected
	PrefillDone float64 // prompts that prefill workers have read, as expected
	PrefillTime float64 // how long these took, their waits included
	Slots       float64 // streams, against all slots of a decode worker at the pace that it has then
	Memory      float64 // memory of running streams, against all of a decode worker's
	Transfers   float64 // fetching memory, by decode workers
}

// parts lists the parts of a demand.
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

// Scale returns a multiple of a demand.
func (d Demand) Scale(factor float64) Demand {
	for _, part := range d.parts() {
		*part *= factor
	}
	return d
}

// Since returns the demand that came after an earlier sum; all of it if the sum has begun anew meanwhile.
func (d Demand) Since(before Demand) Demand {
	since := d.Add(before.Scale(-1))
	if !since.valid() {
		return d
	}
	return since
}

// valid tells whether all parts are finite and none is negative.
func (d Demand) valid() bool {
	for _, part := range d.parts() {
		if !(*part >= 0) || math.IsInf(*part, 1) {
			return false
		}
	}
	return true
}

// maxServices bounds the services of one report.
const maxServices = 4096

// ErrInvalidReport is the error for bytes that are no report.
var ErrInvalidReport = errors.New("staging: not a report of demand")

// ServiceDemand is the rate of the demand of one service, in workers.
type ServiceDemand struct {
	Service string
	Demand  Demand
}

// wireDemand is a ServiceDemand as it is encoded.
type wireDemand struct {
	Service string    `avro:"service"`
	Parts   []float64 `avro:"parts"` // in the order of Demand
}

var reportSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"demand","fields":[
	{"name":"service","type":"string"},
	{"name":"parts","type":{"type":"array","items":"double"}}]}}`)

var codec = avro.Config{MaxSliceAllocSize: maxServices}.Freeze()

// EncodeReport returns the bytes of a report.
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

// DecodeReport reads what EncodeReport wrote. The error wraps ErrReport.
func DecodeReport(encoded []byte) ([]ServiceDemand, error) {
	var wire []wireDemand
	if err := strictavro.Unmarshal(codec, reportSchema, encoded, &wire); err != nil {
		return nil, errors.Join(ErrInvalidReport, err)
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
