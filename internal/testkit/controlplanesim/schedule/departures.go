package schedule

import (
	"math/rand/v2"
	"time"
)

const (
	departureStream = 0xdea9 // a stream of random numbers of its own, so that the other events of a seed stay the same
	departureShare  = 3      // one in this many schedules ends with servers that leave for good
	departureMargin = 3 * time.Second
)

// departures has servers leave for good at the end of some schedules, together or in turn, once no other server counts as lost any
// more, at times while agents are cut off. In half of these another server fails or is cut off meanwhile. It returns the length of the schedule.
func (g *generator) departures(seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, departureStream))
	if random.IntN(departureShare) > 0 {
		return g.shape.Length
	}
	at := g.shape.Length
	for _, other := range g.losses {
		at = max(at, other.to)
	}
	slots := random.Perm(g.shape.Servers)
	leaving := 1 + random.IntN(len(slots))
	interval := time.Duration(random.IntN(2)) * time.Duration(random.Int64N(int64(time.Second))).Truncate(time.Millisecond)
	retire := Event{At: at, Kind: Retire, Servers: slots[:leaving], Duration: interval}
	if g.shape.Agents > 0 && random.IntN(2) == 0 {
		retire.Agents = random.Perm(g.shape.Agents)[:1+random.IntN(g.shape.Agents)]
	}
	g.add(retire)
	if leaving < len(slots) && g.shape.Tolerance > 0 && random.IntN(2) == 0 {
		after := CatchUp + time.Duration(random.Int64N(int64(time.Second))).Truncate(time.Millisecond)
		failure := Event{At: at + after, Kind: []Kind{Kill, Power, Wipe, Partition}[random.IntN(4)], Servers: slots[leaving : leaving+1], Duration: time.Second}
		if failure.Kind == Partition { // while the others are replaced
			failure.At, failure.Variant, failure.Duration = at, PartitionAll, retire.End()-at+time.Second
		}
		g.add(failure)
	}
	return retire.End() + departureMargin
}
