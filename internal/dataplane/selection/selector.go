package selection

import (
	"math/rand/v2"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/stats"
)

// Options configures a Selector.
type Options struct {
	Zone            string        // this node's zone
	Seed            uint64        // of the random decisions in tie-breaking, admission control and ejection
	RecomputeWindow time.Duration // recomputing a shared segment within this time of another use has a cost; 0: defaultRecomputeWindow
}

const defaultRecomputeWindow = 8 * time.Second

// Selector chooses workers for the requests of one node. It is not safe for concurrent use.
type Selector struct {
	options  Options
	random   *rand.Rand
	nodes    int // number of nodes that send requests to the same workers, including this one
	services map[string]*service
	peers    map[uint64]peerState // by node
}

// service is this node's state of one service and its workers.
type service struct {
	selector *Selector
	engine   *configuration.Engine // nil: plain HTTP workers

	workers map[string]*worker // by ID
	byHash  map[uint64]*worker
	byClass [classCount][]*worker // without those that are changing their role, ordered by ID as in the view
	zones   map[string]int        // number of each zone

	estimates        [classCount]classEstimates
	popularity       segmentPopularity
	transferOutcomes transferOutcomes
	transferTimes    stats.Window // KV cache transfers of all pairs: observed against configured seconds
	admission        admission

	demand            roleplanner.Demand // cumulative
	streamsRecordedAt time.Duration

	scratch scratchSpace
}

// New returns a Selector without a view. It rejects all requests until SetView is called.
func New(options Options) *Selector {
	selector := &Selector{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		nodes:    1,
		services: map[string]*service{},
	}
	selector.SetRecomputeWindow(options.RecomputeWindow)
	return selector
}

// SetRecomputeWindow changes Options.RecomputeWindow.
func (s *Selector) SetRecomputeWindow(window time.Duration) {
	if window == 0 {
		window = defaultRecomputeWindow
	}
	s.options.RecomputeWindow = window
}

// SetView applies a new view of the fleet. Workers that are in both views keep their state. A worker whose
// role changed starts with the samples of its new class, if it had that role before.
func (s *Selector) SetView(_ time.Duration, view *fleetview.View) {
	s.nodes = max(1, view.EdgeNodeCount)
	for name := range s.services {
		if len(view.Workers[name]) == 0 && view.Services[name] == nil {
			delete(s.services, name)
		}
	}
	for name, workers := range view.Workers {
		s.serviceOf(name).update(view.Services[name], workers)
	}
	for name, configured := range view.Services {
		if len(view.Workers[name]) == 0 {
			s.serviceOf(name).update(configured, nil)
		}
	}
}

// serviceOf returns the state of a service, creating it if necessary.
func (s *Selector) serviceOf(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{selector: s, workers: map[string]*worker{}, zones: map[string]int{}}
		s.services[name] = svc
	}
	return svc
}

// update replaces the service's workers by those listed in a view. Configured is nil if the service is not
// in the configuration.
func (s *service) update(configured *configuration.Service, listed []*fleetview.Worker) {
	s.engine = nil
	if configured != nil {
		s.engine = configured.Engine
	}
	previous := s.workers
	s.workers = make(map[string]*worker, len(listed))
	s.byHash = make(map[uint64]*worker, len(listed))
	s.byClass = [classCount][]*worker{}
	for _, entry := range listed {
		w := previous[entry.ID]
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

// zoneOf returns the number of a zone, assigning the next one to a new zone.
func (s *service) zoneOf(name string) int {
	number, known := s.zones[name]
	if !known {
		number = len(s.zones)
		s.zones[name] = number
	}
	return number
}

// kvCapacity returns the capacity of a worker's KV cache in tokens.
func (s *service) kvCapacity() float64 {
	if s.engine == nil || s.engine.KVCapacityTokens <= 0 {
		return defaultKVCapacity
	}
	return float64(s.engine.KVCapacityTokens)
}

// slotsOf returns the number of requests that a worker serves concurrently: the number it last reported,
// else the one it registered, else the configured one.
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
