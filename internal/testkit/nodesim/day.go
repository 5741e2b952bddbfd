// Package nodesim plays a day of a complete fleet in simulated time: many instances of
// the real decisions, on one clock, against models of prep workers, clients, the network
// and the list. The same day gives the same result.
//
// It is a model, not a benchmark: it shows which of two versions does better on the same hundred days, and what the
// fleet does as a sum. All parameters are in Day.
package nodesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ospreybend/balance"
)

// Range is the range of a parameter that is drawn uniformly.
type Range struct{ Min, Max float64 }

func (s Range) draw(r *rand.Rand) float64 { return s.Min + (s.Max-s.Min)*r.Float64() }

func (s Range) seconds(r *rand.Rand) time.Duration { return seconds(s.draw(r)) }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Kind is a kind of prep worker.
type Kind struct {
	Share        float64
	Cores        float64
	Speed        Range   // of a core; each worker's own is drawn
	SlotsPerCore Range   // with more slots than cores, jobs share the cores
	QueuePerCore Range   // jobs that wait at most
	WarmUpFloor  Range   // part of its capacity that a warming worker has
	WarmUpTime   Range   // seconds in which it is warm at the latest
	Errors       float64 // part of its jobs that fail on any day
}

// Class is a class of operations; balance.Settings has its value.
type Class struct {
	Share float64
	Work  float64   // mean running time at speed 1, seconds
	CV    float64   // of a lognormal
	Slots []float64 // shares of jobs that take 1, 2, 4 ... slots
}

// Goal has the weights of a day's score.
type Goal struct{ Day, WorstWindow, WorstClass float64 }

// Replace is a release: a part of the workers drains in steps, successors start with cold caches.
type Replace struct {
	At, Within float64 // seconds
	Share      float64
	Steps      int
	Drain      Range // seconds until what still runs is killed
}

// Loss is a part of the workers that becomes unreachable and returns with a cold cache.
type Loss struct{ At, For, Share float64 }

// Kill is a part of the nodes that dies at once and restarts without state.
type Kill struct{ At, Down, Share float64 }

// Day describes one day. What is drawn for it comes from Seed alone.
type Day struct {
	Seed     uint64
	Settings balance.Settings // Balancers and Ordinal are set for each node
	Nodes    int
	Workers  int
	Length   float64 // seconds in which operations arrive
	Load     float64 // asked for, as a part of what warm workers can do
	Uneven   float64 // spread of the nodes' parts of the traffic, as of all noise: the variation of a lognormal
	Kinds    []Kind
	Classes  []Class

	Heaviest     float64 // work of the heaviest job, as a part of its class's give-up
	AttemptNoise float64 // by which each run differs
	HintNoise    float64 // by which a hint is off; below 0: no hints
	ReportEvery  Range   // seconds from one load report to the next
	ReportDelay  Range   // seconds until it can be read
	ReportNoise  float64 // slots or jobs
	WarmUpWork   float64 // part of the longest warming that a worker kept busy needs
	OneWay       Range   // seconds on the network
	ListLate     Range   // seconds until news of the list reaches a node
	PeerDelay    Range
	PeerLoss     float64
	Retries      int   // that a client makes of its own
	Backoff      Range // seconds before one

	SlowShare, SlowFactor float64
	Replace               Replace
	Loss                  Loss
	Kill                  Kill

	Goal           Goal
	HandshakePrice float64 // part of the price of a handshake that each new connection counts
}

// check returns an error that names the first invalid parameter: without workers or load, operations would arrive all at
// once or never.
func (d Day) check() error {
	for _, c := range []struct {
		name string
		v    float64
	}{{"nodes", float64(d.Nodes)}, {"workers", float64(d.Workers)}, {"length", d.Length}, {"load", d.Load}} {
		if !(c.v > 0) || math.IsInf(c.v, 0) {
			return fmt.Errorf("%s: %v, above 0 is wanted", c.name, c.v)
		}
	}
	if len(d.Kinds) == 0 || len(d.Classes) == 0 || len(d.Classes) != len(d.Settings.Classes) {
		return fmt.Errorf("%d kinds of workers, %d classes of operations, %d in the settings", len(d.Kinds), len(d.Classes),
			len(d.Settings.Classes))
	}
	return nil
}

// meanWork is that of an operation, in slot-seconds at speed 1.
func (d Day) meanWork() (mean float64) {
	for _, c := range d.Classes {
		slots := 0.0
		for i, s := range c.Slots {
			slots += s * float64(int(1)<<i)
		}
		mean += c.Share * c.Work * slots
	}
	return mean
}

// pick draws one of n by their shares; the last has what is left.
func pick(r *rand.Rand, n int, share func(int) float64) int {
	at := r.Float64()
	for i := range n - 1 {
		if at < share(i) {
			return i
		}
		at -= share(i)
	}
	return n - 1
}

// lognormal draws a factor of mean 1 with the given coefficient of variation.
func lognormal(r *rand.Rand, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(s2)*r.NormFloat64() - s2/2)
}
