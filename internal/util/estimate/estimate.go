// Package estimate predicts the delays of workers: it keeps windows of samples for each worker, fits lines
// to them over size or load, and combines a worker's own fit with a pooled prediction. It also ranks workers
// for a key by rendezvous hashing. Packages selection and balance choose workers by its results.
//
// Delays are in seconds. The package reads no clock: callers pass the current time.
package estimate

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	// WindowLength is the number of samples in a window. A fit over more samples adapts too slowly.
	WindowLength = 24
	// PriorSamples is the number of samples at which a worker's own fit has the same weight as the pooled prediction.
	PriorSamples = 6.0
)

// Blend returns the weighted mean of a worker's own prediction, whose weight is its number of samples, and
// the pooled prediction, whose weight is prior. Pooling is needed since on a large fleet most windows are
// nearly empty.
func Blend(own, samples, pooled, prior float64) float64 {
	return (own*samples + pooled*prior) / (samples + prior)
}

// RendezvousRank returns the expected rank of a worker in the rendezvous order (highest random weight
// hashing) of a key, from 0 (the first) up to the number of workers. All nodes that know the same workers
// compute the same order.
func RendezvousRank(key, worker uint64, workers int) float64 {
	return stats.UniformHash(key, worker) * float64(workers)
}

// Delays predicts the delays of one worker for one class of calls. SampleTTL must be set; the other fields
// are ready for use at their zero values.
type Delays struct {
	SampleTTL time.Duration         // age at which a sample expires
	transfer  stats.Window          // seconds over tokens sent or transferred
	process   map[int]*stats.Window // by bucket: relative processing time over load
}

// AddTransfer adds a sample: the duration in seconds of a transfer of the given size.
func (d *Delays) AddTransfer(now time.Duration, size, seconds float64) {
	d.transfer.Add(now, size, seconds, WindowLength)
}

// Transfer predicts the duration in seconds of a transfer of the given size. pooled is the prediction
// without samples.
func (d *Delays) Transfer(now time.Duration, size, pooled float64) float64 {
	line := d.transfer.Fit(now, d.SampleTTL, 1)
	return Blend(line.At(size), line.N, pooled, PriorSamples)
}

// AddProcess adds a sample to a bucket: the processing time at a load, as a multiple of the time on an
// unloaded worker.
func (d *Delays) AddProcess(now time.Duration, bucket int, load, ratio float64) {
	if d.process == nil {
		d.process = map[int]*stats.Window{}
	}
	stats.Ensure(d.process, bucket).Add(now, load, ratio, WindowLength)
}

// Process predicts the processing time at a load, as a multiple of the time on an unloaded worker. pooled
// is the prediction without samples in the bucket.
func (d *Delays) Process(now time.Duration, bucket int, load, pooled float64) float64 {
	window := d.process[bucket]
	if window == nil {
		return pooled
	}
	line := window.Fit(now, d.SampleTTL, 1)
	return Blend(line.At(load), line.N, pooled, PriorSamples)
}
