package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Invalid settings, children and requests are rejected.
func TestNewParent_rejectsInvalid(t *testing.T) {
	rules := Settings{Lease: time.Second, ClockDrift: 0.1}
	site := map[string]ChildConfig{"a": {Guaranteed: Amount{2, 1}, Weight: 1}}
	for name, f := range map[string]func() error{
		"no lease":  func() error { _, err := NewParent(Settings{}, "t", Amount{9, 9}, site); return err },
		"too small": func() error { _, err := NewParent(rules, "t", Amount{1, 9}, site); return err },
		"negative":  func() error { _, err := NewParent(rules, "t", Amount{-1, 9}, nil); return err },
		"no weight": func() error {
			_, err := NewParent(rules, "t", Amount{9, 9}, map[string]ChildConfig{"a": {}})
			return err
		},
		"no name": func() error { _, err := NewChild(0, rules, "t", "", 1, Amount{}); return err },
		"stranger": func() error {
			l, _ := NewParent(rules, "t", Amount{9, 9}, site)
			_, err := l.Grant(0, LeaseRequest{Tenant: "t", Child: "x", Number: 1})
			return err
		},
		"nonsense": func() error {
			l, _ := NewParent(rules, "t", Amount{9, 9}, site)
			_, err := l.Grant(0, LeaseRequest{Tenant: "t", Child: "a", Number: 1, Want: Amount{-1, 0}})
			return err
		},
	} {
		if f() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// world is a tree of three levels on one clock: a root, two middle sites that lease further, and two leaves under each
// that admit jobs.
type world struct {
	rng       *rand.Rand
	rules     Settings
	quota     Amount
	now       time.Duration
	queue     events
	made      int
	loss      float64
	root      *Parent
	middle    []*middle
	leafSites []*leaf
	bad       string
	used      float64
	admits    int
	sent      int
	begun     []spent // slot-seconds by time
	came      []time.Duration
}

type spent struct {
	at   time.Duration
	work float64
}

type middle struct {
	name        string
	child       *Child
	below       *Parent
	rate        float64
	incarnation int
}

type leaf struct {
	name        string
	above       *middle
	child       *Child
	rate        float64 // of its clock
	incarnation int
	cut         bool
}

type event struct {
	at    time.Duration
	order int
	f     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

func (w *world) after(d time.Duration, f func()) {
	w.made++
	heap.Push(&w.queue, event{w.now + d, w.made, f})
}

// carry delivers a message: delayed, lost or twice.
func (w *world) carry(f func()) {
	w.sent++
	for n := w.rng.IntN(10); n >= 0; n -= 9 {
		if w.rng.Float64() >= w.loss {
			w.after(time.Duration(w.rng.Int64N(int64(400*time.Millisecond))), f)
		}
	}
}

func clock(now time.Duration, rate float64) time.Duration {
	return time.Duration(float64(now) * rate)
}

const (
	jobHold = 500 * time.Millisecond
	jobWork = 0.5 // slot-seconds
	mayUse  = 0.05
)

func newWorld(seed uint64, loss float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 5)), rules: Settings{Lease: 4 * time.Second, ClockDrift: 0.02}, quota: Amount{40, 40}, loss: loss}
	safe, leafSafe := Amount{4, 4}, Amount{2, 2}
	var err error
	if w.root, err = NewParent(w.rules, "t", w.quota, map[string]ChildConfig{"m0": {safe, 1}, "m1": {safe, 2}}); err != nil {
		panic(err)
	}
	for i := range 2 {
		m := &middle{name: fmt.Sprint("m", i), rate: 1 + 0.01*(2*w.rng.Float64()-1)}
		w.middle = append(w.middle, m)
		for j := range 2 {
			w.leafSites = append(w.leafSites, &leaf{name: fmt.Sprint("l", j), above: m, rate: 1 + 0.01*(2*w.rng.Float64()-1)})
		}
		w.startMiddle(m, safe, leafSafe)
	}
	for _, l := range w.leafSites {
		w.startLeaf(l, leafSafe)
	}
	return w
}

func (w *world) startMiddle(m *middle, safe, leafSafe Amount) {
	m.incarnation++
	incarnation, now := m.incarnation, clock(w.now, m.rate)
	m.child, _ = NewChild(now, w.rules, "t", m.name, uint64(m.incarnation), safe)
	below, err := NewParent(w.rules, "t", safe, map[string]ChildConfig{"l0": {leafSafe, 1}, "l1": {leafSafe, 1}})
	if err != nil {
		panic(err)
	}
	if m.below != nil {
		below.Import(now, m.below.Export()) // its state is durable
	}
	m.below = below
	var step func()
	step = func() {
		if m.incarnation != incarnation {
			return
		}
		now := clock(w.now, m.rate)
		// The demand below decides what it requests.
		m.child.SetSublet(m.below.TotalExposure(now), m.below.Demand(now))
		m.lend(now, safe)
		if a, ok := m.child.NextRequest(now); ok {
			w.carry(func() {
				if g, err := w.root.Grant(w.now, a); err == nil {
					w.carry(func() {
						if m.incarnation == incarnation {
							m.child.ApplyGrant(clock(w.now, m.rate), g)
							m.lend(clock(w.now, m.rate), safe)
						}
					})
				}
			})
		}
		w.after(100*time.Millisecond, step)
	}
	step()
}

// lend passes the site's lease to the parent below.
func (m *middle) lend(now time.Duration, safe Amount) {
	if slice, until := m.child.Leased(); until > now {
		m.below.SetQuota(slice, until)
	} else {
		m.below.SetQuota(safe, 0)
	}
}

func (w *world) startLeaf(l *leaf, safe Amount) {
	l.incarnation++
	incarnation := l.incarnation
	l.child, _ = NewChild(clock(w.now, l.rate), w.rules, "t", l.name, uint64(l.incarnation), safe)
	var step func()
	step = func() {
		if l.incarnation != incarnation {
			return
		}
		if a, ok := l.child.NextRequest(clock(w.now, l.rate)); ok && !l.cut {
			w.carry(func() {
				if g, err := l.above.below.Grant(clock(w.now, l.above.rate), a); err == nil && !l.cut {
					w.carry(func() {
						if l.incarnation == incarnation && !l.cut {
							l.child.ApplyGrant(clock(w.now, l.rate), g)
						}
					})
				}
			})
		}
		w.after(50*time.Millisecond, step)
	}
	step()
}

// jobs sends jobs to a leaf for a while.
func (w *world) jobs(l *leaf, rate float64, until time.Duration) {
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		w.came = append(w.came, w.now)
		incarnation, child := l.incarnation, l.child
		if _, ok := child.Admit(clock(w.now, l.rate), 1, jobWork, jobHold); ok {
			w.admits++
			if w.used++; w.used > w.quota.Slots+epsilon && w.bad == "" {
				w.bad = fmt.Sprintf("%v: %v slots of %v", w.now, w.used, w.quota.Slots)
			}
			w.begun = append(w.begun, spent{w.now, jobWork})
			// A crash of the site does not end the jobs at the workers.
			w.after(time.Duration(float64(jobHold)*0.9), func() {
				w.used--
				if l.incarnation == incarnation {
					child.Done(clock(w.now, l.rate), 1, jobWork, jobWork)
				}
			})
		}
		w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func (w *world) play(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.bad == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = until
}

// most returns the most slot-seconds started in any window of ten leases, as a fraction of the quota's.
func (w *world) most() (worst float64) {
	span := 10 * w.rules.Lease
	for i, sum, from := 0, 0.0, 0; i < len(w.begun); i++ {
		sum += w.begun[i].work
		for w.begun[from].at <= w.begun[i].at-span {
			sum -= w.begun[from].work
			from++
		}
		worst = max(worst, sum/(w.quota.Rate*span.Seconds()))
	}
	return worst
}

// central returns how many of the jobs one exact count for all sites would admit.
func (w *world) central() (n int) {
	var ends []time.Duration
	tokens, at := 0.0, time.Duration(0)
	for _, now := range w.came {
		tokens = min(tokens+w.quota.Rate*(now-at).Seconds(), w.quota.Rate*burstFraction*w.rules.Lease.Seconds())
		at = now
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
		}
		if float64(len(ends)) < w.quota.Slots && tokens >= jobWork {
			n++
			tokens -= jobWork
			ends = append(ends, now+time.Duration(float64(jobHold)*0.9))
		}
	}
	return n
}

// Over three levels, with a third of the messages lost, sites partitioned for half a minute, restarts and clock drift:
// never more slots at once than the quota, and at most a twentieth over its slot-seconds in any window of ten leases.
func TestTree_staysWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.34).Draw(t, "loss"))
		for _, l := range w.leafSites {
			w.jobs(l, rapid.Float64Range(0.5, 80).Draw(t, "rate"), 90*time.Second)
		}
		for range rapid.IntRange(0, 5).Draw(t, "troubles") {
			at := time.Duration(rapid.IntRange(5, 60).Draw(t, "at")) * time.Second
			i := rapid.IntRange(0, 3).Draw(t, "who")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.after(at, func() { w.leafSites[i].cut = true })
				w.after(at+30*time.Second, func() { w.leafSites[i].cut = false })
			case 1:
				w.after(at, func() { w.startLeaf(w.leafSites[i], Amount{2, 2}) })
			case 2:
				w.after(at, func() { w.startMiddle(w.middle[i/2], Amount{4, 4}, Amount{2, 2}) })
			default: // the root restarts with its stored state
				w.after(at, func() {
					retained := w.root.Export()
					w.root, _ = NewParent(w.rules, "t", w.quota, map[string]ChildConfig{"m0": {Amount{4, 4}, 1}, "m1": {Amount{4, 4}, 2}})
					w.root.Import(w.now, retained)
				})
			}
		}
		w.play(100 * time.Second)
		if w.bad != "" {
			t.Fatal(w.bad)
		}
		if most := w.most(); most > 1+mayUse {
			t.Fatalf("%.3f of the quota's slot-seconds in ten leases", most)
		}
	})
}

// Without loss the sites together admit nearly what an exact central count would, from the first second on, at half of
// the quota by one site alone. At four fifths the guaranteed amounts reserved for the others show: 0.87.
func TestTree_leasesFollowUse(t *testing.T) {
	for _, c := range []struct{ rate, least float64 }{{40, 0.95}, {60, 0.85}} {
		admitted, could := 0.0, 0.0
		for seed := range uint64(10) {
			w := newWorld(seed, 0)
			w.jobs(w.leafSites[0], c.rate, 120*time.Second) // one busy, the others nearly idle
			w.jobs(w.leafSites[3], 4, 120*time.Second)
			w.play(120 * time.Second)
			admitted += float64(w.admits)
			could += float64(w.central())
		}
		if admitted < c.least*could {
			t.Errorf("%v a second: %.0f of %.0f admitted", c.rate, admitted, could)
		}
		t.Logf("%v a second: %.3f of what a central count would admit", c.rate, admitted/could)
	}
}

// A quota lowered below what is leased is reached within one lease.
func TestParent_SetQuota_loweredWithinOneLease(t *testing.T) {
	w := newWorld(1, 0)
	for _, l := range w.leafSites {
		w.jobs(l, 60, 60*time.Second)
	}
	w.play(20 * time.Second)
	w.root.SetQuota(Amount{12, 12}, 0)
	w.play(20*time.Second + time.Duration(float64(w.rules.Lease)*(1+w.rules.ClockDrift)) + jobHold)
	if out := w.root.TotalExposure(w.now); out.Slots > 12+epsilon || w.used > 12 {
		t.Errorf("%v leased and %v used of 12", out, w.used)
	}
}

// A child that was paused past its lease uses its guaranteed amount alone.
func TestChild_frozenPastItsLease(t *testing.T) {
	w := newWorld(2, 0)
	w.jobs(w.leafSites[0], 60, 10*time.Second)
	w.play(10 * time.Second)
	l := w.leafSites[0]
	if has := l.child.Available(clock(w.now, l.rate), jobHold); has.Slots <= 2 {
		t.Fatalf("available before: %v", has)
	}
	if has := l.child.Available(clock(w.now+w.rules.Lease, l.rate), 0); has.Slots != 2 {
		t.Errorf("available past the lease: %v", has)
	}
}

// An admission costs no message and no allocation.
func BenchmarkAdmit(b *testing.B) {
	c, _ := NewChild(0, Settings{Lease: time.Hour, ClockDrift: 0.1}, "t", "a", 1, Amount{1e9, 1e9})
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		if _, ok := c.Admit(now, 1, 0.001, time.Second); ok {
			c.Done(now, 1, 0.001, 0.001)
		}
	}
}
