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

// Plan describes a trial.
type Plan struct {
	Program            string   // the built program
	Env                []string // additional environment of the processes
	Seed               uint64
	NoVoters           bool          // no voters: the same faults, with nodes that do not coordinate
	DisabledCheck      string        // name of a check of the protocol to disable; empty: none
	OperatorEvacuation bool          // evacuation trials only: no faults, an operator evacuates a zone
	DurationBefore     time.Duration // without faults
	FaultDuration      time.Duration
	DurationAfter      time.Duration // without faults
	Rate               float64       // requests a second at each node
	DialTimeout        time.Duration // of the clients; 0: the load generator's default
	Dir                string        // for the processes' files; the caller removes it
}

// Report is the result of a trial.
type Report struct {
	Kind       string             `json:"kind"`
	Seed       uint64             `json:"seed"`
	Processes  int                `json:"processes"`
	Violations []string           `json:"violations"`
	Figures    map[string]float64 `json:"figures"`
	Events     []string           `json:"story"` // what happened, each event with its time
}

var zones = []string{"a", "b", "c"}

const (
	nodesPerZone   = 2
	workersPerZone = 3
	slotsPerWorker = 8
	jobRun         = 150 * time.Millisecond // how long a worker runs a job
	bookings       = "auftrag-buchen"       // the class whose jobs must not run twice
)

var classes = []fakeplatform.Class{
	{Name: "modell-pruefen", Target: 400 * time.Millisecond, Timeout: 3 * time.Second, Value: 5, Effect: "read_like"},
	{Name: "vorschau", Target: time.Second, Timeout: 4 * time.Second, Value: 2, Effect: "read_like"},
	{Name: bookings, Target: 800 * time.Millisecond, Timeout: 4 * time.Second, Value: 8, Effect: "non_idempotent"},
}

// shares are the fractions of the requests by class.
var shares = []float64{0.5, 0.3, 0.2}

// request is one client request and its outcome.
type request struct {
	at     time.Duration // since the load's start
	class  string
	id     string
	node   string
	status int
	took   time.Duration

	sentAt, endedAt time.Time // as the client saw them
}

// trial is a running trial: its processes, the proxies between them, and the requests and events so far.
type trial struct {
	plan        Plan
	rng         *rand.Rand
	nodes       []*Process
	voters      []*Process
	addresses   map[string]string // by process
	admins      map[string]string // addresses of the nodes' admin APIs, by node
	proxies     []*Proxy
	workers     map[string][]*fakeplatform.Worker // by zone
	discoveries []*fakeplatform.Discovery
	client      *transport.Client
	startedAt   time.Time

	mu       sync.Mutex
	requests []request
	sentAt   map[string]time.Time // by request
	events   []string
}

func newTrial(plan Plan) (*trial, error) {
	s := &trial{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 11)), addresses: map[string]string{},
		admins: map[string]string{}, sentAt: map[string]time.Time{}, workers: map[string][]*fakeplatform.Worker{},
		client: transport.NewClient()}
	for _, z := range zones {
		for i := range workersPerZone {
			w := fakeplatform.NewWorker("w-"+z+strconv.Itoa(i+1), slotsPerWorker, fakeplatform.FixedRunTime(jobRun))
			if err := w.Start(); err != nil {
				return s, err
			}
			s.workers[z] = append(s.workers[z], w)
		}
	}
	if !plan.NoVoters {
		for i, z := range zones {
			address, err := fakeplatform.FreeAddress()
			if err != nil {
				return s, err
			}
			v := &Process{Name: "v" + strconv.Itoa(i+1), Zone: z, dir: plan.Dir, program: plan.Program, args: []string{"voter"}}
			s.addresses[v.Name] = address
			s.voters = append(s.voters, v)
		}
	}
	for i := range nodesPerZone * len(zones) {
		address, err := fakeplatform.FreeAddress()
		if err != nil {
			return s, err
		}
		n := &Process{Name: "n" + strconv.Itoa(i+1), Zone: zones[i%len(zones)], dir: plan.Dir, program: plan.Program, args: []string{"serve"}}
		s.addresses[n.Name] = address
		if s.admins[n.Name], err = fakeplatform.FreeAddress(); err != nil {
			return s, err
		}
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

// newProxy creates a proxy from a process to another process or a worker, and returns its address.
func (s *trial) newProxy(from, to, target string) (string, error) {
	p, err := NewProxy(from, to, target)
	if err != nil {
		return "", err
	}
	s.proxies = append(s.proxies, p)
	return p.Address(), nil
}

// prepare writes the configuration files of a process. Their addresses of other processes are those of proxies that only
// this process uses. voter is the ID of a voter; 0: the process is a node.
func (s *trial) prepare(process *Process, voter uint64) error {
	var fleet strings.Builder
	fmt.Fprintf(&fleet, "enabled = %v\nfleet = \"trial\"\nzone = %q\n", !s.plan.NoVoters, process.Zone)
	for i, v := range s.voters {
		address := s.addresses[v.Name]
		if v != process {
			var err error
			if address, err = s.newProxy(process.Name, v.Name, address); err != nil {
				return err
			}
		}
		fmt.Fprintf(&fleet, "[[voters]]\nid = %d\nzone = %q\naddress = %q\n", i+1, v.Zone, address)
	}
	if voter > 0 {
		fmt.Fprintf(&fleet, "[voter]\nid = %d\nstore = %q\n", voter, filepath.Join(s.plan.Dir, process.Name+".db"))
	}
	if s.plan.NoVoters {
		fleet.Reset()
		fleet.WriteString("enabled = false\n")
	}
	listen, discovery := s.addresses[process.Name], "127.0.0.1:9"
	if voter == 0 {
		address, err := s.startDiscovery(process)
		if err != nil {
			return err
		}
		discovery = address
	}
	node, err := s.config(process, listen, discovery)
	if err != nil {
		return err
	}
	path := func(kind string) string { return filepath.Join(s.plan.Dir, process.Name+"."+kind) }
	process.env = append(append([]string{}, s.plan.Env...), "BALANCER_CONFIG="+path("json"), "OSPREYBEND_FLEET="+path("toml"),
		"OSPREYBEND_WITHOUT="+s.plan.DisabledCheck, "TMPDIR="+s.plan.Dir, "BALANCER_ADMIN="+s.admins[process.Name])
	return errors.Join(os.WriteFile(path("json"), node, 0o600), os.WriteFile(path("toml"), []byte(fleet.String()), 0o600))
}

// startDiscovery starts a discovery service for one node, which lists each worker at a proxy of that node. It returns the
// address of the service.
func (s *trial) startDiscovery(process *Process) (string, error) {
	d, err := fakeplatform.NewDiscovery()
	if err != nil {
		return "", err
	}
	s.discoveries = append(s.discoveries, d)
	var all []fakeplatform.Endpoint
	for _, z := range zones {
		for _, w := range s.workers[z] {
			address, err := s.newProxy(process.Name, w.Name, w.Address())
			if err != nil {
				return "", err
			}
			all = append(all, fakeplatform.Endpoint{Name: w.Name, Address: address, Zone: z, Kind: "demo", State: "Ready", Weight: 1})
		}
	}
	d.Set(all)
	return d.Address(), nil
}

// config returns the configuration file of a process.
func (s *trial) config(p *Process, listen, discovery string) ([]byte, error) {
	return fakeplatform.Node{Name: p.Name, Listen: listen, Discovery: discovery, Seed: strconv.FormatUint(s.rng.Uint64(), 16), MemoryMB: 256,
		Nodes: nodesPerZone * len(zones), Zone: slices.Index(zones, p.Zone), Zones: zones, Kind: "demo", Classes: classes}.Config()
}

// start starts all processes, the voters first, and waits until each is ready.
func (s *trial) start() error {
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

// stop stops all processes, proxies, fake workers and discovery services.
func (s *trial) stop() {
	for _, p := range append(append([]*Process{}, s.nodes...), s.voters...) {
		_ = p.Kill()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	for _, z := range zones {
		for _, w := range s.workers[z] {
			w.Crash()
		}
	}
	for _, d := range s.discoveries {
		d.Stop()
	}
	s.client.Close()
}

// elapsed returns the time since the start of the trial.
func (s *trial) elapsed() time.Duration { return time.Since(s.startedAt) }

// note adds an event with the present time to the report.
func (s *trial) note(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%.2f s: ", s.elapsed().Seconds())+fmt.Sprintf(format, a...))
}

// load sends open-loop load to every node until the span is over or stop is closed, and returns once all requests have
// ended.
func (s *trial) load(ctx context.Context, span time.Duration, stop <-chan struct{}) {
	var all sync.WaitGroup
	for i, n := range s.nodes {
		c := loadgen.Config{URL: "http://" + s.addresses[n.Name], Rate: s.plan.Rate, Duration: span, Seed: s.plan.Seed*100 + uint64(i), Prefix: n.Name + "x",
			Stop: stop, DialTimeout: s.plan.DialTimeout, OnSend: s.recordSend}
		for j, k := range classes {
			c.Classes = append(c.Classes, loadgen.Class{Name: k.Name, Share: shares[j], Target: k.Target, Deadline: k.Timeout})
		}
		c.OnResponse = func(at time.Duration, k *loadgen.Class, id string, status int, took time.Duration) {
			ended := time.Now()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.requests = append(s.requests, request{at: at, class: k.Name, id: id, node: n.Name, status: status, took: took,
				sentAt: s.sentAt[id], endedAt: ended})
		}
		all.Go(func() { loadgen.Run(ctx, c) })
	}
	all.Wait()
}

// recordSend records when a request is sent.
func (s *trial) recordSend(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt[id] = time.Now()
}

// ended returns the requests that have ended.
func (s *trial) ended() []request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// setLinks sets the links of all proxies whose ends match: out from their From to their To, and back.
func (s *trial) setLinks(out, back Link, match func(from, to string) bool) {
	for _, p := range s.proxies {
		if match(p.From, p.To) {
			p.SetLinks(out, back)
		}
	}
}

// value returns the total value of the requests sent from one time to another, and that of those which were served
// within their latency target. Requests to the spared processes, which a fault froze or killed, do not count.
func (s *trial) value(from, to time.Duration, spared map[string]bool) (asked, served float64) {
	byName := map[string]fakeplatform.Class{}
	for _, c := range classes {
		byName[c.Name] = c
	}
	for _, r := range s.requests {
		if r.at < from || r.at >= to || spared[r.node] {
			continue
		}
		c := byName[r.class]
		asked += c.Value
		if r.status == 200 && r.took <= c.Target {
			served += c.Value
		}
	}
	return asked, served
}
