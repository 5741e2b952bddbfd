package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/replicatedlog"
)

// begins is the clock at the start of a day.
const begins = time.Hour

// Result is what became of a day.
type Result struct {
	Violations []string      `json:"violations"`
	Asked      float64       `json:"asked"` // worth
	Served     float64       `json:"served"`
	Refused    float64       `json:"refused"`
	Trouble    float64       `json:"trouble"` // worth asked for from the first trouble to ten seconds past the last
	TroubleOK  float64       `json:"troubleServed"`
	Felled     int           `json:"felled"`
	Left       int           `json:"left"`     // times that a zone was left
	LeftAt     time.Duration `json:"leftAt"`   // from the first trouble to the first order that leaves
	AllLeft    time.Duration `json:"allLeft"`  // from that order until the last process in contact held it; 0: never
	Returned   time.Duration `json:"returned"` // from the trouble's end until the zone took its whole share
	Epochs     uint64        `json:"epochs"`
	Rising     bool          `json:"rising"` // a trouble has begun amid a rise; see Trouble.Amid
	Messages   int           `json:"messages"`
	Events     int           `json:"events"`
}

type world struct {
	day    Day
	rng    *rand.Rand
	line   timerqueue.Line
	now    time.Duration
	net    *network
	zones  []string
	voters []*process
	nodes  []*process
	state  map[string]*zoneState
	crowd  float64
	logs   map[uint64]string // what was applied at each index, as the first voter had it
	tables map[uint64]string // by epoch
	madeAt map[uint64]time.Duration
	result Result
	first  time.Duration // of the troubles
	last   time.Duration
	ended  map[string]time.Duration // when a zone's trouble ended
}

// Play plays a day.
func Play(d Day) (Result, error) {
	if err := d.check(); err != nil {
		return Result{}, err
	}
	w := &world{day: d, rng: rand.New(rand.NewPCG(d.Seed, 1)), now: begins, state: map[string]*zoneState{}, crowd: 1,
		logs: map[uint64]string{}, tables: map[uint64]string{}, madeAt: map[uint64]time.Duration{}, ended: map[string]time.Duration{}}
	w.net = &network{w: w, cut: map[[2]string]bool{}}
	for i := range d.Zones {
		w.zones = append(w.zones, Zone(i))
	}
	perZone := d.Rate * float64(d.Nodes) * workEach / float64(d.Zones)
	for _, z := range w.zones {
		w.state[z] = &zoneState{w: w, slots: perZone / d.Load, at: int64(begins / (100 * time.Millisecond))}
	}
	ids := make([]uint64, d.Voters)
	for i := range ids {
		ids[i] = uint64(i + 1)
	}
	for i := range d.Voters {
		p := &process{w: w, name: voterName(i), zone: w.zones[i%d.Zones], rate: w.clock()}
		p.voter = &voterProcess{p: p, id: ids[i], disk: disk{stored: replicatedlog.Founding(ids), name: "store" + strconv.Itoa(i)}}
		w.voters = append(w.voters, p)
	}
	for i := range d.Nodes {
		p := &process{w: w, name: nodeName(i), zone: w.zones[i%d.Zones], rate: w.clock()}
		p.node = &nodeProcess{p: p, number: i}
		w.nodes = append(w.nodes, p)
	}
	if !d.Alone {
		for _, p := range w.voters {
			p.down = true
			w.after(time.Duration(w.rng.Int64N(int64(50*time.Millisecond))), p.start)
		}
	}
	for _, p := range w.nodes {
		p.down = true
		w.after(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), p.start)
	}
	for _, t := range d.Troubles {
		w.plan(t)
	}
	end := begins + d.Length
	for at, ok := w.line.Next(); ok && at <= end && len(w.result.Violations) == 0; at, ok = w.line.Next() {
		w.now = at
		asked, served := w.result.Asked, w.result.Served
		w.line.Run(at)
		w.result.Events++
		if w.first > 0 && at >= w.first && at <= w.last+10*time.Second {
			w.result.Trouble += w.result.Asked - asked
			w.result.TroubleOK += w.result.Served - served
		}
	}
	w.result.Messages = w.net.carried
	if p := w.leader(); p != nil && p.voter.v.Log().Settled() && len(w.result.Violations) == 0 {
		if at := p.voter.v.Table().Epoch; at < w.result.Epochs {
			w.violate("%s leads with epoch %d, and epoch %d was agreed on", p.name, at, w.result.Epochs)
		}
	}
	return w.result, nil
}

func (w *world) clock() float64 { return 1 + w.day.Drift*(2*w.rng.Float64()-1) }

func (w *world) after(span time.Duration, f func()) { w.line.Add(w.now+max(span, 0), f) }

func (w *world) violate(format string, a ...any) {
	if len(w.result.Violations) < 20 {
		w.result.Violations = append(w.result.Violations, fmt.Sprintf("%.3f s: ", (w.now-begins).Seconds())+fmt.Sprintf(format, a...))
	}
}

func (w *world) text(t *commands.Table) string {
	text, err := commands.Encode(t)
	if err != nil {
		panic(err) // tables are plain values
	}
	return string(text)
}

// checkLog holds what a voter has applied against what others have, and notes new orders.
func (w *world) checkLog(v *voterProcess) {
	if v.v == nil {
		return
	}
	at, t := v.v.Log().Applied(), v.v.Table()
	if at == v.checked {
		return
	}
	v.checked = at
	text := w.text(t)
	if known, ok := w.logs[at]; ok && known != text {
		w.violate("voter %s has other orders at entry %d than another voter", v.p.name, at)
	}
	w.logs[at] = text
	known, ok := w.tables[t.Epoch]
	if ok && known != text {
		w.violate("voter %s has other orders of epoch %d than another voter", v.p.name, t.Epoch)
	}
	if ok {
		return
	}
	w.tables[t.Epoch], w.madeAt[t.Epoch] = text, w.now
	w.result.Epochs = max(w.result.Epochs, t.Epoch)
	for _, name := range w.zones {
		z := t.Of(name)
		if z.Since != t.Epoch {
			continue
		}
		if z.Phase == commands.Left && z.Reason != "the tries went wrong" {
			w.result.Left++
			if w.result.LeftAt == 0 && w.first > 0 {
				w.result.LeftAt = w.now - w.first
				w.spread(t.Epoch)
			}
		}
		if from, ok := w.ended[name]; ok && z.Phase == commands.In && len(z.Cut) == 0 && w.now > from {
			w.result.Returned = max(w.result.Returned, w.now-from)
		}
	}
}

// spread measures how long an order takes to reach all nodes that are in contact.
func (w *world) spread(epoch uint64) {
	began := w.now
	var look func()
	look = func() {
		for _, p := range w.nodes {
			if !p.down && !p.frozen && p.node.f.Led(p.now()) && p.node.f.Epoch() < epoch {
				w.after(5*time.Millisecond, look)
				return
			}
		}
		w.result.AllLeft = w.now - began
	}
	look()
}

// heldAtMost is how long a process may hold orders that are not the last: its lease, the
// time in which a voter that has lost the leader may still grant one, and a little for
// messages and clocks.
func (w *world) heldAtMost() time.Duration {
	r := w.day.Voter
	return r.Lease + time.Duration(r.Election+2)*r.Tick + 500*time.Millisecond
}

// checkShares holds what a node does against the orders.
func (w *world) checkShares(n *nodeProcess, shares map[string]float64) {
	if w.day.Alone {
		return
	}
	if !n.f.Led(n.p.now()) {
		w.checkNew(n, shares)
		return
	}
	epoch := n.f.Epoch()
	if at, ok := w.madeAt[epoch+1]; ok && w.now-at > w.heldAtMost() {
		w.violate("%s goes by epoch %d, %v after the next was agreed on", n.p.name, epoch, w.now-at)
	}
	t := n.f.Table()
	for _, zone := range w.zones {
		if z := t.Of(zone); z.Phase == commands.Left && shares[zone] > 0 {
			w.violate("%s gives %v to zone %s, which is left", n.p.name, shares[zone], zone)
		} else if z.Phase == commands.Rising && shares[zone] > z.Share+1e-9 && !w.allBelow(t) {
			w.violate("%s gives %v to zone %s, which rises at %v", n.p.name, shares[zone], zone, z.Share)
		}
	}
}

// checkNew holds a process that has not heard any orders yet: within its time for hearing them
// it is not to give a zone that rises its whole share.
func (w *world) checkNew(n *nodeProcess, shares map[string]float64) {
	if p := w.leader(); p != nil && n.f.Epoch() == 0 && n.p.now()-n.began < w.day.Follow.Fresh {
		for _, zone := range w.zones {
			if z := p.voter.v.Table().Of(zone); z.Phase == commands.Rising && z.Share < shares[zone] {
				w.violate("%s, just started, gives %v to zone %s, which rises at %v", n.p.name, shares[zone], zone, z.Share)
			}
		}
	}
}

// allBelow tells whether no zone takes its whole share: then the shares are relative.
func (w *world) allBelow(t *commands.Table) bool {
	return !slices.ContainsFunc(w.zones, func(zone string) bool { z := t.Of(zone); return z.Phase == commands.In && len(z.Cut) == 0 })
}

func each(ps []*process, f func(*process)) {
	for _, p := range ps {
		f(p)
	}
}

// part tells whether a process takes part in this day.
func (w *world) part(p *process) bool { return p != nil && (p.voter == nil || !w.day.Alone) }

func (w *world) stop(p *process) {
	if w.part(p) && !p.down {
		p.crash()
	}
}

func (w *world) up(p *process) {
	if w.part(p) && p.down {
		p.start()
	}
}

func (w *world) find(name string) *process {
	for _, p := range append(slices.Clone(w.voters), w.nodes...) {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (w *world) in(zone string) (out []*process) {
	for _, p := range append(slices.Clone(w.voters), w.nodes...) {
		if p.zone == zone && w.part(p) {
			out = append(out, p)
		}
	}
	return out
}

// leader is the voter that leads, of the latest term.
func (w *world) leader() (out *process) {
	term := uint64(0)
	for _, p := range w.voters {
		if w.part(p) && !p.down && p.voter.v.Log().Leads() && p.voter.v.Log().Term() > term {
			out, term = p, p.voter.v.Log().Term()
		}
	}
	return out
}
