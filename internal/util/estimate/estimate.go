// Package estimate predicts the delays of workers: it keeps windows of samples for each worker, fits them
// against size or load, and blends a worker's own fit with a pooled prediction. It also orders workers for
// a key by rendezvous hashing. Packages selection and balance decide by it; it decides nothing itself.
//
// Delays are in seconds. The package has no clock: instants are arguments.
package estimate

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	// WindowLength is the number of samples in a window. A fit over more adapts too slowly.
	WindowLength = 24
	// PriorSamples is the number of samples at which a worker's own fit weighs as much as the pooled prediction.
	PriorSamples = 6.0
)

// Blend returns the mean of a worker's own prediction, weighed by its samples, and the pooled one, which
// counts as prior samples. Pooling is needed since on a large fleet most windows are nearly empty.
func Blend(own, samples, pooled, prior float64) float64 {
	return (own*samples + pooled*prior) / (samples + prior)
}

// RendezvousRank returns the expected rank of a worker in the rendezvous order (highest random weight
// hashing) of a key, from 0 for the first to workers for the last. All nodes that know the same workers
// agree on the order.
func RendezvousRank(key, worker uint64, workers int) float64 {
	return stats.Draw(key, worker) * float64(workers)
}

// Delays predicts the delays of one worker in one class of calls. SampleTTL must be set; the rest of the
// zero value is ready for use.
type Delays struct {
	SampleTTL time.Duration
	transfer  stats.Window // seconds against tokens sent or transferred
	process   map[int]*stats.Window
}

// AddTransfer adds a sample: the seconds that a transfer of that size took.
func (d *Delays) AddTransfer(now time.Duration, size, seconds float64) {
	d.transfer.Add(now, size, seconds, WindowLength)
}

// Transfer predicts the seconds of a transfer of that size. Pooled is the prediction without samples.
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
	stats.Of(d.process, bucket).Add(now, load, ratio, WindowLength)
}

// Process predicts the processing time at a load, as such a multiple. Pooled is the prediction without
// samples in the bucket.
func (d *Delays) Process(now time.Duration, bucket int, load, pooled float64) float64 {
	window := d.process[bucket]
	if window == nil {
		return pooled
	}
	line := window.Fit(now, d.SampleTTL, 1)
	return Blend(line.At(load), line.N, pooled, PriorSamples)
}
