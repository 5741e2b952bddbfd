package schedule

import (
	"math/rand/v2"
	"time"
)

// commandStream is the stream of random numbers for the faults of role commands. It is separate, so that the other events of a seed stay
// the same.
const commandStream = 0xc0de

// commandFaults adds the faults that delay role commands: while one is in flight, workers are cut off or paused, and its sender is taken
// down, frozen or cut off, as far as the tolerance allows.
func (g *generator) commandFaults(seed uint64) {
	others := g.random
	g.random = rand.New(rand.NewPCG(seed, commandStream))
	defer func() { g.random = others }()
	for at := startupTime; at < g.shape.Length; at += g.drawDuration(3*time.Second, 10*time.Second) {
		if g.random.IntN(3) > 0 {
			g.workerFault(at)
		}
		if g.random.IntN(3) > 0 {
			g.senderFault(at)
		}
	}
}

// workerFault cuts workers off from all servers, or pauses them.
func (g *generator) workerFault(at time.Duration) {
	event := Event{At: at, Trigger: RoleCommand, Delay: g.commandDelay(), Workers: g.pickSome(g.shape.Workers, g.shape.Workers),
		Kind: Link, Variant: LinkHold, Duration: g.drawDuration(time.Second, 9*time.Second)}
	if g.random.IntN(2) == 0 {
		event.Kind, event.Variant = Freeze, ""
	}
	g.add(event)
}

// senderFault takes the sender of a role command down, freezes it or cuts it off, so that its shards get other owners.
func (g *generator) senderFault(at time.Duration) {
	event := Event{At: at, Trigger: RoleCommand, Delay: g.commandDelay(), Kind: pick(g, Kill, Freeze, Partition, Partition), Servers: []int{0},
		Duration: g.drawDuration(2*time.Second, 9*time.Second)}
	if event.Kind == Partition {
		event.Variant = pick(g, PartitionServers, PartitionOutbound, PartitionAll, PartitionAll)
	}
	g.addLeaderLoss(event)
}

// commandDelay draws the time from the write of a command to a fault: the command is still in flight, or has just arrived.
func (g *generator) commandDelay() time.Duration {
	return pick(g, 0, 0, g.drawDuration(time.Millisecond, 10*time.Millisecond), g.drawDuration(10*time.Millisecond, 700*time.Millisecond))
}
