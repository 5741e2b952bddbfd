package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// The search visits all interleavings of two children and a parent that leases two slots, within bounds on time,
// crashes and messages. Requests and grants of one child are delayed, duplicated, reordered or lost; those of the
// other are exchanged at once, or the grant is lost: what the one uses too long shows in what the other is granted.
// The search runs the real code.

const (
	leaseFor = 2 * time.Second
	inFlight = 2
	mostAsks = 2 // of a child
	tooMany  = 250_000
)

// message is in transit and may arrive twice.
type message struct {
	ask   *LeaseRequest
	grant *Grant
	left  int
}

type state struct {
	parent   *Parent
	children [2]*Child
	net      []message
	tick     int
	starts   [2]int
	crashes  int
}

func (s *state) clone() *state {
	out := *s
	l := *s.parent
	l.children = map[string]*childAccount{}
	for name, c := range s.parent.children {
		of := *c
		of.Leases = slices.Clone(c.Leases)
		l.children[name] = &of
	}
	out.parent = &l
	for i, c := range s.children {
		of := *c
		out.children[i] = &of
	}
	out.net = slices.Clone(s.net)
	return &out
}

// key identifies a state by all that matters for what follows.
func (s *state) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.tick, s.starts, s.crashes)
	for _, name := range slices.Sorted(maps.Keys(s.parent.children)) {
		c := s.parent.children[name]
		fmt.Fprint(&b, "|", c.Incarnation, c.Number, c.Leases, c.Want, c.wantedAt)
	}
	for _, c := range s.children {
		fmt.Fprint(&b, "|", c.incarnation, c.requestNumber, c.currentGrant, c.requesting, c.requestedAt, c.leased, c.leaseUntil)
	}
	texts := make([]string, 0, len(s.net))
	for _, m := range s.net {
		if m.ask != nil {
			texts = append(texts, fmt.Sprint(*m.ask, m.left))
		} else {
			texts = append(texts, fmt.Sprint(*m.grant, m.left))
		}
	}
	slices.Sort(texts)
	fmt.Fprint(&b, texts)
	return b.String()
}

// model is the configuration of one search.
type model struct {
	rules Settings
	rates [2]float64 // of the children's clocks
	safe  [2]Amount
	quota Amount
	wants []float64
	ticks int
	crash int // crashes allowed
	seen  map[string]bool
	found string
}

func names(i int) string { return string(rune('a' + i)) }

func (m *model) parentNow(s *state) time.Duration { return time.Duration(s.tick) * time.Second }

func (m *model) childNow(s *state, i int) time.Duration {
	return time.Duration(float64(m.parentNow(s)) * m.rates[i])
}

func (m *model) start() *state {
	sites := map[string]ChildConfig{}
	s := &state{}
	for i := range s.children {
		sites[names(i)] = ChildConfig{Guaranteed: m.safe[i], Weight: 1}
		s.children[i], _ = NewChild(0, m.rules, "t", names(i), 1, m.safe[i])
	}
	l, err := NewParent(m.rules, "t", m.quota, sites)
	if err != nil {
		panic(err)
	}
	s.parent = l
	return s
}

// check returns a violation of the invariant: both children together may use no more than the quota.
func (m *model) check(s *state, how []string) {
	sum := Amount{}
	for i, c := range s.children {
		sum = sum.add(c.Available(m.childNow(s, i), 0))
	}
	if sum.Slots > m.quota.Slots+epsilon {
		m.found = fmt.Sprintf("%v slots of %v: %s", sum.Slots, m.quota.Slots, strings.Join(how, ", "))
	}
}

func (m *model) search(s *state, how []string) {
	if m.found != "" || len(m.seen) > tooMany {
		return
	}
	k := s.key()
	if m.seen[k] {
		return
	}
	m.seen[k] = true
	if m.check(s, how); m.found != "" {
		return
	}
	try := func(name string, f func(*state) bool) {
		next := s.clone()
		if f(next) {
			m.search(next, append(slices.Clone(how), name))
		}
	}
	if s.tick < m.ticks {
		try("tick", func(n *state) bool { n.tick++; return true })
	}
	for i := range s.children {
		for _, want := range m.wants {
			if s.children[i].requestNumber >= mostAsks {
				continue
			}
			try(fmt.Sprintf("%s asks for %v", names(i), want), func(n *state) bool {
				c := n.children[i]
				c.peak = want
				a, ok := c.NextRequest(m.childNow(n, i))
				a.Want = Amount{Slots: want}.maximum(c.guaranteed)
				if i == 0 || !ok {
					n.net = append(n.net, message{ask: &a, left: 1})
					return ok && len(n.net) <= inFlight
				}
				if g, err := n.parent.Grant(m.parentNow(n), a); err == nil {
					c.ApplyGrant(m.childNow(n, i), g)
				}
				return true
			})
		}
		if i == 0 && s.crashes < m.crash {
			try(names(i)+" restarts", func(n *state) bool {
				n.starts[i]++
				n.crashes++
				n.children[i], _ = NewChild(m.childNow(n, i), m.rules, "t", names(i), uint64(2+n.starts[i]), m.safe[i])
				return true
			})
		}
	}
	if s.crashes < m.crash {
		try("the parent restarts", func(n *state) bool {
			n.crashes++
			retained := n.parent.Export()
			n.parent = m.start().parent
			n.parent.Import(m.parentNow(n), retained)
			return true
		})
	}
	for i := range s.net {
		try(fmt.Sprint("message ", i, " is lost"), func(n *state) bool { n.net = slices.Delete(n.net, i, i+1); return true })
		try(fmt.Sprint("message ", i, " arrives"), func(n *state) bool {
			msg := n.net[i]
			if n.net[i].left--; n.net[i].left == 0 {
				n.net = slices.Delete(n.net, i, i+1)
			}
			if msg.ask != nil {
				g, err := n.parent.Grant(m.parentNow(n), *msg.ask)
				if err != nil {
					return true
				}
				n.net = append(n.net, message{grant: &g, left: 2})
				return len(n.net) <= inFlight
			}
			child := int(msg.grant.Child[0] - 'a')
			n.children[child].ApplyGrant(m.childNow(n, child), *msg.grant)
			return true
		})
	}
}

func (m *model) run() string {
	m.seen, m.found = map[string]bool{}, ""
	m.search(m.start(), nil)
	return m.found
}

func models(without string) []model {
	rules := Settings{Lease: leaseFor, ClockDrift: 0.25, DisabledCheck: without}
	even, two := [2]float64{1, 1}, []float64{2}
	return []model{
		{rules: rules, rates: even, quota: Amount{Slots: 2}, wants: two, ticks: 4},
		{rules: rules, rates: [2]float64{0.75, 1}, quota: Amount{Slots: 2}, wants: two, ticks: 4},
		{rules: rules, rates: even, quota: Amount{Slots: 2}, wants: []float64{0, 2}, ticks: 3},
		{rules: rules, rates: even, quota: Amount{Slots: 2}, wants: two, ticks: 3, crash: 1},
		{rules: rules, rates: even, quota: Amount{Slots: 2}, wants: two, ticks: 3, safe: [2]Amount{{Slots: 1}, {}}},
	}
}

// In no interleaving do the children use more than the quota.
func TestModel_noInterleavingExceedsQuota(t *testing.T) {
	for i, m := range models("") {
		t.Run(fmt.Sprint("model ", i), func(t *testing.T) {
			t.Parallel()
			if found := m.run(); found != "" {
				t.Error(found)
			}
			if t.Logf("%d states", len(m.seen)); len(m.seen) > tooMany {
				t.Error("the search was cut off")
			}
		})
	}
}

// Each check of the protocol is needed: without it some interleaving exceeds the quota.
func TestModel_eachCheckIsNeeded(t *testing.T) {
	for _, check := range []string{"margin", "sent", "number", "confirm", "reserve", "restore"} {
		t.Run(check, func(t *testing.T) {
			t.Parallel()
			found := ""
			for _, m := range models(check) {
				if found = m.run(); found != "" {
					break
				}
			}
			if t.Log(found); found == "" {
				t.Error("no interleaving needs the check")
			}
		})
	}
}
