package failover

import (
	"math"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// admit decides what part of each class is let in while a part of the fleet is out:
// bookings first, then what is worth most a slot-second, as far as the rest can take it.
func (d *Decider) admit(now time.Duration, verdicts map[string]Verdict, t, after *commands.Table) (map[string]float64, bool) {
	capacity, out := 0.0, false
	asked := make([]float64, len(d.classes))
	for name, v := range verdicts {
		z := after.Of(name)
		switch z.Phase {
		case commands.Left, commands.Trying:
			out = true
		case commands.In:
			capacity += v.Sum.Slots
		default:
			out = true
			capacity += v.Sum.Slots * z.Share
		}
		for i, w := range v.Sum.Work {
			if i < len(asked) {
				asked[i] += w
			}
		}
	}
	want := map[string]float64{}
	if out && capacity > 0 {
		for i, c := range d.classes {
			if part, ok := t.Admit[c.Name]; ok {
				asked[i] /= max(part, 0.01) // what was refused was asked for, too
			}
		}
		order := make([]int, len(d.classes))
		for i := range order {
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int {
			x, y := d.classes[a], d.classes[b]
			if x.Once != y.Once {
				return map[bool]int{true: -1, false: 1}[x.Once]
			}
			return compareDown(x.Worth, y.Worth)
		})
		room := d.rules.Full * capacity
		for _, i := range order {
			part := 1.0
			if asked[i] > room {
				part = room / asked[i]
			}
			room = max(0, room-asked[i])
			if part < 1 {
				want[d.classes[i].Name] = math.Round(part*100) / 100
			}
		}
	}
	// A burst, as of clients whose process stood still, is queued for a moment; refusing it
	// would lose more.
	if len(want) == 0 {
		d.fullAt = 0
	} else if d.fullAt == 0 {
		d.fullAt = now
	}
	if len(want) > 0 && len(t.Admit) == 0 && now-d.fullAt < d.rules.FullFor {
		return nil, false
	}
	worth := false
	for _, c := range d.classes {
		was, wanted := part(t.Admit, c.Name), part(want, c.Name)
		worth = worth || math.Abs(was-wanted) >= d.rules.AdmitBy || was != wanted && len(want) == 0
	}
	if !worth || len(want) > 0 && len(t.Admit) > 0 && now-d.admitAt < d.rules.Hold {
		return nil, false
	}
	d.admitAt = now
	return want, true
}

func compareDown(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}

func part(m map[string]float64, class string) float64 {
	if v, ok := m[class]; ok {
		return v
	}
	return 1
}
