package endtoend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ospreybend/internal/node/zones/transport"
	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// Plan is a trial.
type Plan struct {
	Program     string   // the built program
	Env         []string // of its processes, besides their own
	Seed        uint64
	Alone       bool   // the same faults, with each process for itself
	Without     string // a check of the protocol left out
	QuietBefore time.Duration
	Faulty      time.Duration
	After       time.Duration
	Rate        float64 // requests a second at each node
	Dir         string  // for files; the caller's to remove
}

// Report is what a trial has found.
type Report struct {
	Kind       string             `json:"kind"`
	Seed       uint64             `json:"seed"`
	Processes  int                `json:"processes"`
	Violations []string           `json:"violations"`
	Figures    map[string]float64 `json:"figures"`
	Story      []string           `json:"story"` // what was done when
}

var zones = []string{"a", "b", "c"}

const (
	nodesPerZone   = 2
	workersPerZone = 3
	slotsPerWorker = 8
	jobRun         = 150 * time.Millisecond
	bookings       = "auftrag-buchen"
)

var classes = []fakeplatform.Grade{
	{Name: "modell-pruefen", Target: 400 * time.Millisecond, GiveUp: 3 * time.Second, Points: 5, Repeat: "read_like"},
	{Name: "vorschau", Target: time.Second, GiveUp: 4 * time.Second, Points: 2, Repeat: "read_like"},
	{Name: bookings, Target: 800 * time.Millisecond, GiveUp: 4 * time.Second, Points: 8, Repeat: "non_idempotent"},
}

// shares are the classes' parts of the requests.
var shares = []float64{0.5, 0.3, 0.2}

// request is what became of one.
type request struct {
	at     time.Duration // since the load's start
	class  string
	id     string
	node   string
	status int
	took   time.Duration
}

// stage is the processes of a trial and what is between them.
type stage struct {
	plan    Plan
	rng     *rand.Rand
	nodes   []*Process
	voters  []*Process
	at      map[string]string // addresses by process
	proxies []*Proxy
	workers map[string][]*fakeplatform.Worker // by zone
	lists   []*fakeplatform.Discovery
	calls   *transport.Client
	began   time.Time

	mu    sync.Mutex
	asked []request
	story []string
}

func newStage(plan Plan) (*stage, error) {
	s := &stage{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 11)), at: map[string]string{}, workers: map[string][]*fakeplatform.Worker{},
		calls: transport.NewClient()}
	for _, z := range zones {
		for i := range workersPerZone {
			w := fakeplatform.NewWorker("w-"+z+strconv.Itoa(i+1), slotsPerWorker, fakeplatform.For(jobRun))
			if err := w.Start(); err != nil {
				return s, err
			}
			s.workers[z] = append(s.workers[z], w)
		}
	}
	if !plan.Alone {
		for i, z := range zones {
			at, err := fakeplatform.FreeAddress()
			if err != nil {
				return s, err
			}
			v := &Process{Name: "v" + strconv.Itoa(i+1), Zone: z, dir: plan.Dir, program: plan.Program, args: []string{"voter"}}
			s.at[v.Name] = at
			s.voters = append(s.voters, v)
		}
	}
	for i := range nodesPerZone * len(zones) {
		at, err := fakeplatform.FreeAddress()
		if err != nil {
			return s, err
		}
		n := &Process{Name: "n" + strconv.Itoa(i+1), Zone: zones[i%len(zones)], dir: plan.Dir, program: plan.Program, args: []string{"serve"}}
		s.at[n.Name] = at
		s.nodes = append(s.nodes, n)
	}
	for i, v := range s.voters {
		if err := s.prepare(v, uint64(i+1)); err != nil {
			return s, err
		}
	}
	for _, n := range s.nodes {
		if err := s.prepare(n, 0); err != nil {
			return s, err
		}
	}
	return s, nil
}

// between puts a proxy between two processes, or a process and a prep worker.
func (s *stage) between(from, to, target string) (string, error) {
	p, err := NewProxy(from, to, target)
	if err != nil {
		return "", err
	}
	s.proxies = append(s.proxies, p)
	return p.Address(), nil
}

// prepare writes a process's files. What it is told of others are proxies of its own.
func (s *stage) prepare(plan *Process, voter uint64) error {
	var f strings.Builder
	fmt.Fprintf(&f, "enabled = %v\nfleet = \"trial\"\nzone = %q\n", !s.plan.Alone, plan.Zone)
	for i, v := range s.voters {
		at := s.at[v.Name]
		if v != plan {
			var err error
			if at, err = s.between(plan.Name, v.Name, at); err != nil {
				return err
			}
		}
		fmt.Fprintf(&f, "[[voters]]\nid = %d\nzone = %q\naddress = %q\n", i+1, v.Zone, at)
	}
	if voter > 0 {
		fmt.Fprintf(&f, "[voter]\nid = %d\nstore = %q\n", voter, filepath.Join(s.plan.Dir, plan.Name+".db"))
	}
	if s.plan.Alone {
		f.Reset()
		f.WriteString("enabled = false\n")
	}
	listen, discovery := s.at[plan.Name], "127.0.0.1:9"
	if voter == 0 {
		list, err := s.list(plan)
		if err != nil {
			return err
		}
		discovery = list
	}
	node, err := s.config(plan, listen, discovery)
	if err != nil {
		return err
	}
	path := func(kind string) string { return filepath.Join(s.plan.Dir, plan.Name+"."+kind) }
	plan.env = append(append([]string{}, s.plan.Env...), "BALANCER_CONFIG="+path("json"), "OSPREYBEND_FLEET="+path("toml"),
		"OSPREYBEND_WITHOUT="+s.plan.Without, "TMPDIR="+s.plan.Dir)
	return errors.Join(os.WriteFile(path("json"), node, 0o600), os.WriteFile(path("toml"), []byte(f.String()), 0o600))
}

// list makes a node's own pool config: each prep worker at a proxy of the node's.
func (s *stage) list(p *Process) (string, error) {
	d, err := fakeplatform.NewDiscovery()
	if err != nil {
		return "", err
	}
	s.lists = append(s.lists, d)
	var all []fakeplatform.Endpoint
	for _, z := range zones {
		for _, w := range s.workers[z] {
			at, err := s.between(p.Name, w.Name, w.Address())
			if err != nil {
				return "", err
			}
			all = append(all, fakeplatform.Endpoint{Name: w.Name, Address: at, Zone: z, Kind: "demo", State: "Ready", Weight: 1})
		}
	}
	d.Set(all)
	return d.Address(), nil
}

func (s *stage) config(p *Process, listen, discovery string) ([]byte, error) {
	return fakeplatform.Node{Name: p.Name, Listen: listen, Discovery: discovery, Seed: strconv.FormatUint(s.rng.Uint64(), 16), MemoryMB: 256,
		Nodes: nodesPerZone * len(zones), Zone: slices.Index(zones, p.Zone), Zones: zones, Kind: "demo", Grades: classes}.Config()
}

// start starts all processes, the voters first; each says when it is ready.
func (s *stage) start() error {
	for _, group := range [][]*Process{s.voters, s.nodes} {
		errs := make([]error, len(group))
		var all sync.WaitGroup
		for i, p := range group {
			all.Go(func() { errs[i] = p.Start() })
		}
		all.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all of it.
func (s *stage) stop() {
	for _, p := range append(append([]*Process{}, s.nodes...), s.voters...) {
		_ = p.Kill()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	for _, z := range zones {
		for _, w := range s.workers[z] {
			w.Vanish()
		}
	}
	for _, d := range s.lists {
		d.Stop()
	}
	s.calls.Close()
}

func (s *stage) since() time.Duration { return time.Since(s.began) }

// note writes what is done into the story.
func (s *stage) note(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.story = append(s.story, fmt.Sprintf("%.2f s: ", s.since().Seconds())+fmt.Sprintf(format, a...))
}

// load has clients send to every node, whatever becomes of them, and returns when all
// that they are to send has ended.
func (s *stage) load(ctx context.Context, span time.Duration) {
	var all sync.WaitGroup
	for i, n := range s.nodes {
		c := loadgen.Config{URL: "http://" + s.at[n.Name], Rate: s.plan.Rate, For: span, Seed: s.plan.Seed*100 + uint64(i), Prefix: n.Name + "x"}
		for j, k := range classes {
			c.Classes = append(c.Classes, loadgen.Class{Name: k.Name, Share: shares[j], Target: k.Target, Within: k.GiveUp})
		}
		c.Each = func(at time.Duration, k *loadgen.Class, id string, status int, took time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.asked = append(s.asked, request{at, k.Name, id, n.Name, status, took})
		}
		all.Go(func() { loadgen.Run(ctx, c) })
	}
	all.Wait()
}

// links sets all links between what matches, one way or both.
func (s *stage) links(l Link, back Link, match func(from, to string) bool) {
	for _, p := range s.proxies {
		if match(p.From, p.To) {
			p.Set(l, back)
		}
	}
}

// worth is what was asked for in a time and what of it was served within its aim, but for
// the clients of processes that were the trouble themselves.
func (s *stage) worth(from, to time.Duration, spared map[string]bool) (asked, served float64) {
	by := map[string]fakeplatform.Grade{}
	for _, c := range classes {
		by[c.Name] = c
	}
	for _, r := range s.asked {
		if r.at < from || r.at >= to || spared[r.node] {
			continue
		}
		c := by[r.class]
		asked += c.Points
		if r.status == 200 && r.took <= c.Target {
			served += c.Points
		}
	}
	return asked, served
}
