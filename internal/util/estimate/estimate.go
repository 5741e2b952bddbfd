// Package estimate holds what the deciding parts of the programs share of their predictions: windows
// of delays for each worker, blending of a worker's own line with the pooled prediction, and the
// order in which workers are homes of a key. Delays are in seconds; time is an argument.
package estimate

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	// WindowLength is the number of samples that a window keeps: a fit over more changes too slowly.
	WindowLength = 24
	// PriorSamples is the number of samples with which a window weighs as much as the pooled prediction.
	PriorSamples = 6.0
)

// Blend weighs a worker's own prediction by its samples against the pooled one, which counts as prior
// samples: on a large fleet most windows are nearly empty.
func Blend(own, samples, pooled, prior float64) float64 {
	return (own*samples + pooled*prior) / (samples + prior)
}

// RendezvousRank tells how far down a key's order a worker is, in workers: the least of all is its first home.
// Whoever has the same workers has the same order.
func RendezvousRank(key, worker uint64, workers int) float64 {
	return stats.Draw(key, worker) * float64(workers)
}

// Delays is what is known of one worker's delays in one class.
type Delays struct {
	SampleTTL time.Duration // a sample's lifetime
	transfer  stats.Window  // delay against tokens sent or moved
	process   map[int]*stats.Window
}

// AddTransfer takes in a transfer delay in seconds at a size.
func (d *Delays) AddTransfer(now time.Duration, size, seconds float64) {
	d.transfer.Add(now, size, seconds, WindowLength)
}

// Transfer predicts the transfer delay at a size; pooled is the prediction without samples.
func (d *Delays) Transfer(now time.Duration, size, pooled float64) float64 {
	line := d.transfer.Fit(now, d.SampleTTL, 1)
	return Blend(line.At(size), line.N, pooled, PriorSamples)
}

// AddProcess takes in a processing time at a load, as a multiple of what the job needs by itself.
func (d *Delays) AddProcess(now time.Duration, bucket int, load, ratio float64) {
	if d.process == nil {
		d.process = map[int]*stats.Window{}
	}
	stats.Of(d.process, bucket).Add(now, load, ratio, WindowLength)
}

// Process predicts the processing time at a load as such a multiple; pooled is the prediction without samples.
func (d *Delays) Process(now time.Duration, bucket int, load, pooled float64) float64 {
	window := d.process[bucket]
	if window == nil {
		return pooled
	}
	line := window.Fit(now, d.SampleTTL, 1)
	return Blend(line.At(load), line.N, pooled, PriorSamples)
}
