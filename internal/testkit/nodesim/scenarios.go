package nodesim

import (
	"time"

	"ospreybend/balance"
)

// ReferenceDay returns a day without faults at a site with two kinds of prep workers, which have four cores, a FIFO queue
// and cold starts, and three classes of operations, one of which is not idempotent.
func ReferenceDay(nodes, workers int, seed uint64) Day {
	class := func(latencyTarget, giveUp int, worth, stretch float64, effect balance.Effect) balance.Class {
		return balance.Class{LatencyTarget: time.Duration(latencyTarget) * time.Millisecond, Timeout: time.Duration(giveUp) * time.Second,
			Value: worth, TargetStretch: stretch, Effect: effect, Kind: -1}
	}
	kind := func(share float64, speed, queue, from Range) Kind {
		return Kind{Share: share, Cores: 4, Speed: speed, SlotsPerCore: Range{1, 1.3}, QueuePerCore: queue, WarmUpFloor: from,
			WarmUpTime: Range{12, 23}, Errors: 0.001}
	}
	return Day{Seed: seed, Nodes: nodes, Workers: workers, Length: 23, Load: 0.62, TrafficSpread: 0.6, MaxWork: 0.5, WarmUpWork: 0.6,
		Goal: Goal{Day: 0.75, WorstWindow: 0.05, WorstClass: 0.2}, HandshakePrice: 0.32,
		Settings: balance.Settings{Resolution: 2 * time.Millisecond, ValueByWork: true, ReportsStart: true,
			Classes: []balance.Class{class(400, 5, 5, 1.75, balance.Idempotent), class(1000, 20, 2, 2.5, balance.Idempotent),
				class(800, 25, 8, 2, balance.NonIdempotent)},
			ReportFields: []balance.ReportField{balance.FieldBacklog, balance.FieldFreeSlots},
			Limits: balance.Limits{Cancel: true, HedgedRequests: true, Probes: true, Messages: true, RetryAfter: true,
				MaxRetryAfter: 2 * time.Second, MaxAttempts: 4, ConnectTimeout: 250 * time.Millisecond,
				ConnIdle: time.Minute, StreamsPerConn: 1},
			Rules: balance.Rules{AnswerSlack: 8 * time.Millisecond, SubscribeWithin: 10 * time.Second,
				DrainGrace: 300 * time.Millisecond, InitialCapacity: 0.14, WarmupTime: 24 * time.Second, OverloadMultiple: 4,
				OverloadTime: 3 * time.Second},
			Costs: balance.Costs{LateFail: 0.032, Waste: 0.036, Probe: 0.0013, Message: 0.0099, Handshake: 0.02}},
		Kinds: []Kind{kind(0.52, Range{0.8, 1.15}, Range{5.9, 8.6}, Range{0.14, 0.29}),
			kind(0.48, Range{0.48, 0.72}, Range{7.7, 16}, Range{0.18, 0.3})},
		Classes: []Class{{0.43, 0.46, 2, []float64{1}}, {0.37, 1.9, 2.2, []float64{0.6, 0.25, 0.15}},
			{0.2, 2.8, 2, []float64{0.6, 0.25, 0.15}}},
		AttemptNoise: 0.3, HintNoise: 0.5, ReportEvery: Range{0.33, 1.5}, ReportDelay: Range{0.089, 0.49}, ReportNoise: 0.03,
		NetworkDelay: Range{0.0001, 0.0004}, ListDelay: Range{1, 3}, PeerDelay: Range{0.0013, 0.027}, PeerLoss: 0.01, Retries: 2,
		Backoff: Range{0.012, 0.097}}
}

// WithRelease returns the day with a release that replaces 60% of the prep workers within 7 s, and with one in eight slow.
func (d Day) WithRelease() Day {
	d.Release = Release{At: 7, Within: 7, Share: 0.6, Steps: 4, Drain: Range{3.3, 5.8}}
	d.SlowShare, d.SlowFactor = 0.125, 5
	return d
}

// WithWorkerLoss returns the day with 30% of the prep workers unreachable for 5 s, after which they have cold caches, and
// with one in eight slow.
func (d Day) WithWorkerLoss() Day {
	d.WorkerLoss = WorkerLoss{At: 7, For: 5, Share: 0.3}
	d.SlowShare, d.SlowFactor = 0.125, 5
	return d
}

// WithNodeKill returns the day with 70% of the nodes killed at once 4 s before a release.
func (d Day) WithNodeKill() Day {
	d.NodeKill = NodeKill{At: 10, Down: 2, Share: 0.7}
	d.Release = Release{At: 14, Within: 12, Share: 0.6, Steps: 7, Drain: Range{3.3, 5.8}}
	return d
}
