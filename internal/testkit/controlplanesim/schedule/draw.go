package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is what schedules are drawn for.
type Shape struct {
	Servers   int `json:"Keepers"`
	Tolerance int
	Agents    int
	Operators int
	Workers   int
	Length    time.Duration
	OneSided  bool // of some cuts, the cut side is all that some operators and workers reach
	Omit      []string
	SlowDisks bool // all disks are slow now and then, and all servers lose power meanwhile
}

// quietStart is the time at the start without events: the group is founded and the first configuration sent.
const quietStart = 4 * time.Second

// randomStream separates the random numbers of schedules from other ones of the same seed.
const randomStream = 0x5ced

// drawer draws the events of one schedule.
type drawer struct {
	random *rand.Rand
	shape  Shape
	losses []loss
	events []Event
}

// loss is a span in which a slot counts as lost.
type loss struct {
	slot     int
	from, to time.Duration
}

// Draw returns the schedule with the seed and shape. At no instant are more servers lost than the tolerance, counting
// each for CatchUp after it is back, but for events that take every server down at once and leave the disks.
func Draw(seed uint64, shape Shape) Schedule {
	d := &drawer{random: rand.New(rand.NewPCG(seed, randomStream)), shape: shape}
	families := d.pickFamilies()
	at := quietStart
	for {
		at += d.between(100*time.Millisecond, 3500*time.Millisecond)
		if at >= shape.Length {
			break
		}
		pick(d, families...)(d, at)
	}
	if shape.SlowDisks {
		d.slowDisks()
	}
	slices.SortStableFunc(d.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Schedule{Seed: seed, Servers: shape.Servers, Tolerance: shape.Tolerance, Agents: shape.Agents, Operators: shape.Operators,
		Workers: shape.Workers, Length: shape.Length, Omit: slices.Clone(shape.Omit), Events: d.events}
}

// family draws a group of events that belong together, beginning at the time.
type family func(*drawer, time.Duration)

// pickFamilies draws which families the schedule has, so that some schedules have much of one thing and little of others.
func (d *drawer) pickFamilies() []family {
	all := []family{(*drawer).machine, (*drawer).cut, (*drawer).chain, (*drawer).allDown, (*drawer).race, (*drawer).burst, (*drawer).disk,
		(*drawer).link, (*drawer).workers, (*drawer).roll, (*drawer).bad, (*drawer).afterAcknowledgement, (*drawer).loseReplies}
	var mix []family
	for _, one := range all {
		for range d.random.IntN(4) {
			mix = append(mix, one)
		}
	}
	if len(mix) == 0 {
		return all
	}
	return mix
}

// between draws a span from low to under high, in whole milliseconds.
func (d *drawer) between(low, high time.Duration) time.Duration {
	return (low + time.Duration(d.random.Int64N(int64(high-low)))).Round(time.Millisecond)
}

// pick draws one of the choices.
func pick[T any](d *drawer, choices ...T) T { return choices[d.random.IntN(len(choices))] }

// pickSome draws up to limit different slots out of count, at least one.
func (d *drawer) pickSome(count, limit int) []int {
	if count == 0 || limit == 0 {
		return nil
	}
	indexes := d.random.Perm(count)[:1+d.random.IntN(min(count, limit))]
	slices.Sort(indexes)
	return indexes
}

// add adds the event.
func (d *drawer) add(event Event) { d.events = append(d.events, event) }

// addLoss adds an event that costs the group its servers, unless more than the tolerance would be lost at once.
func (d *drawer) addLoss(event Event) bool {
	until := event.End() + CatchUp
	if len(event.Servers) == 0 || !d.withinTolerance(event.Servers, event.At, until) {
		return false
	}
	for _, slot := range event.Servers {
		d.losses = append(d.losses, loss{slot: slot, from: event.At, to: until})
	}
	d.add(event)
	return true
}

// withinTolerance reports whether the slots may be lost from one time to the other beside those that are lost by then.
func (d *drawer) withinTolerance(indexes []int, from, to time.Duration) bool {
	lost := map[int]bool{}
	for _, slot := range indexes {
		lost[slot] = true
	}
	for _, other := range d.losses {
		if other.from < to && from < other.to {
			lost[other.slot] = true
		}
	}
	return len(lost) <= d.shape.Tolerance
}

// loseAll records every server as lost.
func (d *drawer) loseAll(from, to time.Duration) {
	for slot := range d.shape.Servers {
		d.losses = append(d.losses, loss{slot: slot, from: from, to: to})
	}
}
