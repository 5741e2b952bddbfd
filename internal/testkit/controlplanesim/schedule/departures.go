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
// more. In half of these another server fails meanwhile. It returns the length of the schedule.
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
	g.add(retire)
	if leaving < len(slots) && g.shape.Tolerance > 0 && random.IntN(2) == 0 {
		after := CatchUp + time.Duration(random.Int64N(int64(time.Second))).Truncate(time.Millisecond)
		kind := []Kind{Kill, Power, Wipe}[random.IntN(3)]
		g.add(Event{At: at + after, Kind: kind, Servers: slots[leaving : leaving+1], Duration: time.Second})
	}
	return retire.End() + departureMargin
}
