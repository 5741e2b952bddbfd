package failover

import (
	"fmt"
	"slices"
	"strings"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Kind is what the fleet makes of a zone.
type Kind uint8

// The kinds, the mildest first.
const (
	Well      Kind = iota
	Unknown        // too little is seen of it
	Crowded        // it serves all it can: leaving it would only move the crowd
	Slow           // it serves, but later than the others
	Cut            // some zones do not reach it, others do
	Fails          // nobody reaches it or gets anything done there
	Undecided      // it looks failed, but so does more than half of the fleet
)

var kindNames = [...]string{"well", "unknown", "crowded", "slow", "cut", "fails", "undecided"}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// Verdict is what the fleet makes of one zone, and from whose evidence.
type Verdict struct {
	Kind    Kind
	From    []string // the zones that say so
	Reached []string // the zones that reach it
	Keep    float64  // of a slow one: the part that it keeps up with
	Sum     health.Sight
	Offered float64 // slot-seconds a second sent there, all classes
}

// view is what one zone's processes see of another.
type view uint8

const (
	unseen view = iota
	good
	bad
)

// String tells what and why.
func (v Verdict) String() string {
	return fmt.Sprintf("%v, by %s, reached by %s: %.0f of %.0f processes see it fail; of %.0f steps ended %.0f broken, %.0f silent, %.0f late; %.1f of %.1f slots at work",
		v.Kind, strings.Join(v.From, " "), strings.Join(v.Reached, " "), v.Sum.Bad, v.Sum.Seers, v.Sum.Ended(), v.Sum.Broken, v.Sum.Silent, v.Sum.Late,
		v.Offered, v.Sum.Slots)
}

// judge makes the verdicts on all zones that anything is known of.
func (r Rules) judge(d health.Digest, t *commands.Table) map[string]Verdict {
	var names []string
	for from, at := range d {
		names = append(names, from)
		for to := range at.Sights {
			names = append(names, to)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	seen := map[string]map[string]view{}
	blind := map[string]bool{}
	for _, from := range names {
		at := d[from]
		seen[from] = map[string]view{}
		nBad, nSeen := 0, 0
		for _, to := range names {
			v := r.view(at, at.Sights[to])
			seen[from][to] = v
			if v != unseen {
				nSeen++
			}
			if v == bad {
				nBad++
			}
		}
		// Who sees most of the fleet fail is cut off itself, or all are crowded.
		blind[from] = nBad > 0 && 2*nBad > nSeen
	}
	out := map[string]Verdict{}
	for _, zone := range names {
		out[zone] = r.verdict(zone, t.Of(zone).Cut, names, seen, blind, d)
	}
	r.compare(out)
	return out
}

// view is what the processes of a zone make of another. A single one of several, cut off
// by itself, condemns nobody: more than half of them have to see it, over enough steps. That
// it is reached one can tell alone.
func (r Rules) view(from health.From, s health.Sight) view {
	switch {
	case s.Seers == 0:
		return unseen
	case s.Bad < r.Majority*s.Seers || s.Bad == 0:
		return good
	case s.Bad > r.Majority*s.Seers && s.Seers >= min(2, from.Processes) && s.Last >= r.LeastBad:
		return bad
	}
	return unseen
}

func (r Rules) verdict(zone string, cut, names []string, seen map[string]map[string]view, blind map[string]bool, d health.Digest) Verdict {
	v := Verdict{Kind: Unknown}
	var bads, goods []string
	for _, from := range names {
		if s, ok := d[from].Sights[zone]; ok {
			v.Sum.Add(s)
		}
		if blind[from] {
			continue
		}
		switch v := seen[from][zone]; {
		case v == good:
			goods = append(goods, from)
		case v == bad, slices.Contains(cut, from): // who was told to send nothing there has not reached it again
			bads = append(bads, from)
		}
	}
	for _, w := range v.Sum.Work {
		v.Offered += w
	}
	v.Reached = goods
	switch {
	case len(bads) == 0 && len(goods) == 0:
		return v
	case len(bads) == 0:
		v.Kind, v.From = Well, goods
	case r.crowded(v):
		v.Kind, v.From = Crowded, bads
	case len(goods) > 0:
		v.Kind, v.From = Cut, bads
	case len(bads) >= r.Zones:
		v.Kind, v.From = Fails, bads
	}
	return v
}

// crowded tells whether a zone is offered more than it can do and still does much: what
// stays silent there waits in queues.
func (r Rules) crowded(v Verdict) bool {
	return v.Sum.Slots > 0 && v.Offered >= v.Sum.Slots && v.Sum.Good >= r.StillGood*v.Sum.Ended()
}

// compare holds the zones against each other: one that is late alone is slow, and where
// all are late nobody is.
func (r Rules) compare(all map[string]Verdict) {
	var late []float64
	for _, v := range all {
		if v.Kind == Well && v.Sum.Good >= r.Least {
			late = append(late, v.Sum.LatePart())
		}
	}
	if len(late) < 2 {
		return
	}
	slices.Sort(late)
	usual := late[(len(late)-1)/2]
	for name, v := range all {
		if v.Kind != Well || v.Sum.Good < r.Least || len(v.From) < min(r.Zones, len(late)) {
			continue
		}
		if at := v.Sum.LatePart(); at >= usual+r.SlowBy {
			v.Kind, v.Keep = Slow, (1-at)/max(1-usual, 0.01)
			all[name] = v
		}
	}
}
