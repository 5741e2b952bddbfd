package selection

import (
	"math/rand/v2"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/stats"
)

// Options fixes what a Selector does not learn.
type Options struct {
	Zone       string        // the node's own
	Seed       uint64        // of the draws among ties and at the edge of admission
	RereadSpan time.Duration // span in which reading the same part again is priced; 0: usualAgain
}

const defaultRereadSpan = 8 * time.Second

// Selector chooses workers for the requests of one node. It is not safe for concurrent use.
type Selector struct {
	options  Options
	random   *rand.Rand
	nodes    int // edge nodes that send to the same workers
	services map[string]*service
	peers    map[uint64]peerState // by node: what it told of its calls
}

// service is what is known of the workers of one service.
type service struct {
	selector         *Selector
	engine           *configuration.Engine // nil: plain HTTP workers
	workers          map[string]*worker
	byHash           map[uint64]*worker
	byClass          [classCount][]*worker // in the order of their IDs
	zones            map[string]int
	pools            [classCount]pool
	popularity       segmentPopularity
	transferOutcomes transferOutcomes
	transferTimes    stats.Window // hand-overs of all pairs: what they took against what they should, in seconds
	admission        admission
	demand           roleplanner.Demand // since the start
	streamsCountedAt time.Duration      // when running streams were counted last
	scratch          scratchSpace
}

// New returns a Selector without a view: it refuses all until SetView.
func New(options Options) *Selector {
	if options.RereadSpan == 0 {
		options.RereadSpan = defaultRereadSpan
	}
	return &Selector{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		nodes:    1,
		services: map[string]*service{},
	}
}

// SetView takes in a new view. Workers that stay keep their state; one whose stage changed puts the
// windows of its old stage away.
func (s *Selector) SetView(now time.Duration, view *fleetview.View) {
	s.nodes = max(1, view.EdgeNodeCount)
	for name := range s.services {
		if len(view.Workers[name]) == 0 && view.Services[name] == nil {
			delete(s.services, name)
		}
	}
	for name, workers := range view.Workers {
		s.serviceOf(name).update(now, view.Services[name], workers)
	}
	for name, description := range view.Services {
		if len(view.Workers[name]) == 0 {
			s.serviceOf(name).update(now, description, nil)
		}
	}
}

// serviceOf returns a service's state, made anew where there is none.
func (s *Selector) serviceOf(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{selector: s, workers: map[string]*worker{}, zones: map[string]int{}}
		s.services[name] = svc
	}
	return svc
}

// update brings the service's workers in line with a view.
func (s *service) update(now time.Duration, description *configuration.Service, listed []*fleetview.Worker) {
	s.engine = nil
	if description != nil {
		s.engine = description.Engine
	}
	known := s.workers
	s.workers = make(map[string]*worker, len(listed))
	s.byHash = make(map[uint64]*worker, len(listed))
	s.byClass = [classCount][]*worker{}
	for _, entry := range listed {
		w := known[entry.ID]
		if w == nil {
			w = newWorker(entry)
		}
		w.entry, w.sameZone = entry, entry.Zone == s.selector.options.Zone
		w.zone = s.zoneOf(entry.Zone)
		w.class = classOf(entry.Stage)
		w.cache.capacity = s.kvCapacity()
		s.workers[entry.ID] = w
		s.byHash[w.hash] = w
		if !entry.Transitioning() {
			s.byClass[w.class] = append(s.byClass[w.class], w)
		}
	}
}

// zoneOf numbers a zone.
func (s *service) zoneOf(name string) int {
	number, known := s.zones[name]
	if !known {
		number = len(s.zones)
		s.zones[name] = number
	}
	return number
}

// kvCapacity is a worker's memory in tokens.
func (s *service) kvCapacity() float64 {
	if s.engine == nil || s.engine.KVCapacityTokens <= 0 {
		return defaultKVCapacity
	}
	return float64(s.engine.KVCapacityTokens)
}

// slotsOf is the number of requests that a worker works on at once.
func (s *service) slotsOf(w *worker) float64 {
	if w.report.slots > 0 {
		return w.report.slots
	}
	if w.entry.Slots > 0 {
		return float64(w.entry.Slots)
	}
	if s.engine != nil && s.engine.Slots > 0 {
		return float64(s.engine.Slots)
	}
	return defaultSlots
}
