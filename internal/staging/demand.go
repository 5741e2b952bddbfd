// Package staging decides how many workers of a service read prompts (stage "prefill") and how many
// make tokens (stage "decode"): it adds up the demand that proxies report, works out the wanted split,
// and says which workers are to change their stage. It has no clock and no I/O: instants are arguments,
// on one monotonic clock.
package staging

import (
	"errors"
	"math"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/strictavro"
)

// Stages of workers, as they register them.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

// Demand is work that requests bring, as a sum of workers' seconds, or as a rate in workers: a rate of 1
// keeps one worker busy. Requests count once, also where they are refused or fail; so the demand does not
// fall because there are too few workers of a stage.
type Demand struct {
	Read   float64 // prompts to be read, by prefill workers
	Slots  float64 // streams, against all slots of a decode worker
	Memory float64 // memory of running streams, against all of a decode worker's
	Moves  float64 // fetching memory, by decode workers
}

// Plus returns the sum of two demands.
func (d Demand) Plus(other Demand) Demand {
	return Demand{
		Read:   d.Read + other.Read,
		Slots:  d.Slots + other.Slots,
		Memory: d.Memory + other.Memory,
		Moves:  d.Moves + other.Moves,
	}
}

// Times returns a multiple of a demand.
func (d Demand) Times(factor float64) Demand {
	return Demand{Read: d.Read * factor, Slots: d.Slots * factor, Memory: d.Memory * factor, Moves: d.Moves * factor}
}

// Since returns the demand that came after an earlier sum; all of it if the sum has begun anew meanwhile.
func (d Demand) Since(before Demand) Demand {
	since := d.Plus(before.Times(-1))
	if !since.valid() {
		return d
	}
	return since
}

// valid tells whether all parts are finite and none is negative.
func (d Demand) valid() bool {
	for _, part := range []float64{d.Read, d.Slots, d.Memory, d.Moves} {
		if !(part >= 0) || math.IsInf(part, 1) {
			return false
		}
	}
	return true
}

// mostServices bounds the services of one report.
const mostServices = 4096

// ErrReport is the error for bytes that are no report.
var ErrReport = errors.New("staging: not a report of demand")

// ServiceDemand is the rate of the demand of one service, in workers.
type ServiceDemand struct {
	Service string
	Demand  Demand
}

// wireDemand is a ServiceDemand as it is encoded.
type wireDemand struct {
	Service string  `avro:"service"`
	Read    float64 `avro:"read"`
	Slots   float64 `avro:"slots"`
	Memory  float64 `avro:"memory"`
	Moves   float64 `avro:"moves"`
}

var reportSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"demand","fields":[
	{"name":"service","type":"string"},
	{"name":"read","type":"double"},
	{"name":"slots","type":"double"},
	{"name":"memory","type":"double"},
	{"name":"moves","type":"double"}]}}`)

var binary = avro.Config{MaxSliceAllocSize: mostServices}.Freeze()

// EncodeReport returns the bytes of a report.
func EncodeReport(report []ServiceDemand) ([]byte, error) {
	wire := make([]wireDemand, 0, len(report))
	for _, one := range report {
		wire = append(wire, wireDemand{
			Service: one.Service, Read: one.Demand.Read, Slots: one.Demand.Slots,
			Memory: one.Demand.Memory, Moves: one.Demand.Moves,
		})
	}
	return binary.Marshal(reportSchema, wire)
}

// DecodeReport reads what EncodeReport wrote. The error wraps ErrReport.
func DecodeReport(encoded []byte) ([]ServiceDemand, error) {
	var wire []wireDemand
	if err := strictavro.Unmarshal(binary, reportSchema, encoded, &wire); err != nil {
		return nil, errors.Join(ErrReport, err)
	}
	report := make([]ServiceDemand, 0, len(wire))
	for _, one := range wire {
		demand := Demand{Read: one.Read, Slots: one.Slots, Memory: one.Memory, Moves: one.Moves}
		if one.Service == "" || !demand.valid() {
			return nil, ErrReport
		}
		report = append(report, ServiceDemand{Service: one.Service, Demand: demand})
	}
	return report, nil
}
