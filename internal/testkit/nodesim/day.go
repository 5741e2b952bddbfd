// Package nodesim simulates a day of a complete fleet: many instances of the real balancer run on one simulated
// clock against models of prep workers, clients, the network and the endpoint list. The same Day always gives the
// same Result.
//
// It is a model, not a benchmark: it shows which of two versions of the balancer does better over the same set of
// about a hundred days, and what the nodes do in total. All parameters are in Day.
package nodesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ospreybend/balance"
)

// Range is the range from which a parameter is drawn uniformly.
type Range struct{ Min, Max float64 }

func (s Range) draw(r *rand.Rand) float64 { return s.Min + (s.Max-s.Min)*r.Float64() }

func (s Range) seconds(r *rand.Rand) time.Duration { return seconds(s.draw(r)) }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Kind is a kind of prep worker.
type Kind struct {
	Share        float64 // fraction of the workers
	Cores        float64
	Speed        Range   // of one core, drawn for each worker
	SlotsPerCore Range   // jobs share the cores when more slots than cores are in use
	QueuePerCore Range   // capacity of the queue per core, in jobs
	WarmUpFloor  Range   // fraction of its capacity that a worker has right after a start
	WarmUpTime   Range   // seconds after which a worker is fully warm in any case
	Errors       float64 // fraction of jobs that fail
}

// Class describes the work of a class of operations. Its value and limits are in balance.Settings.
type Class struct {
	Share float64
	Work  float64   // mean running time at speed 1, in seconds
	CV    float64   // coefficient of variation of the work, which is lognormal
	Slots []float64 // fractions of jobs that take 1, 2, 4, ... slots
}

// Goal holds the weights of the terms of a day's score.
type Goal struct{ Day, WorstWindow, WorstClass float64 }

// Release replaces workers: a fraction of the workers drains in steps, and their successors start with cold caches.
type Release struct {
	At, Within float64 // seconds
	Share      float64
	Steps      int
	Drain      Range // seconds until running jobs are killed
}

// WorkerLoss makes a fraction of the workers unreachable for some time; they return with cold caches.
type WorkerLoss struct{ At, For, Share float64 }

// NodeKill kills a fraction of the nodes at the same time; they restart without state.
type NodeKill struct{ At, Down, Share float64 }

// Day holds the parameters of one simulated day. All random values derive from Seed.
type Day struct {
	Seed          uint64
	Settings      balance.Settings // Balancers and Ordinal are overwritten for each node
	Nodes         int
	Workers       int
	Length        float64 // seconds during which operations arrive
	Load          float64 // offered load as a fraction of the capacity of warm workers
	TrafficSpread float64 // coefficient of variation of the nodes' traffic weights, lognormal like all noise
	Kinds         []Kind
	Classes       []Class

	MaxWork      float64 // maximum work of a job as a fraction of its class's timeout
	AttemptNoise float64 // coefficient of variation between attempts at the same operation
	HintNoise    float64 // coefficient of variation of the error of cost hints; below 0: no hints
	ReportEvery  Range   // seconds between load reports
	ReportDelay  Range   // seconds until a load report can be read
	ReportNoise  float64 // standard deviation of reported values, in slots or jobs
	WarmUpWork   float64 // work that warms a worker up, in slot-seconds as a fraction of cores times WarmUpTime
	NetworkDelay Range   // one-way network delay, seconds
	ListDelay    Range   // seconds until a change of the endpoint list reaches a node
	PeerDelay    Range   // delay of messages between nodes, seconds
	PeerLoss     float64 // fraction of messages between nodes that are lost
	Retries      int     // retries that a client makes on its own
	Backoff      Range   // base delay before a retry, seconds; doubles with each

	SlowShare, SlowFactor float64
	Release               Release
	WorkerLoss            WorkerLoss
	NodeKill              NodeKill

	Goal           Goal
	HandshakePrice float64 // fraction of the price of a handshake charged for each new connection
}

// check returns an error that names the first invalid parameter. Without workers or load, the arrival rate would be zero
// or infinite.
func (d Day) check() error {
	for _, c := range []struct {
		name string
		v    float64
	}{{"nodes", float64(d.Nodes)}, {"workers", float64(d.Workers)}, {"length", d.Length}, {"load", d.Load}} {
		if !(c.v > 0) || math.IsInf(c.v, 0) {
			return fmt.Errorf("%s is %v, want a finite number above 0", c.name, c.v)
		}
	}
	if len(d.Kinds) == 0 || len(d.Classes) == 0 || len(d.Classes) != len(d.Settings.Classes) {
		return fmt.Errorf("%d kinds of workers, want at least 1; %d classes of operations, want at least 1 and as many as the %d in the settings", len(d.Kinds), len(d.Classes),
			len(d.Settings.Classes))
	}
	return nil
}

// meanWork returns the mean work of an operation, in slot-seconds at speed 1.
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

// drawIndex draws an index below n with the given probabilities. The last index gets the remainder.
func drawIndex(r *rand.Rand, n int, share func(int) float64) int {
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
