package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
)

const (
	maxReportAge = 10 * time.Second // older load reports are not shown
	maxMachines  = 20_000           // maximum destinations whose last report is kept
)

// loadReport is the latest load report of a destination.
type loadReport struct {
	freeSlots float64
	at        time.Duration
}

// LoadReported implements routing.LoadObserver: it records a destination's free slots.
func (m *Manager) LoadReported(to balance.WorkerID, report []float32) {
	if m.freeSlotsField < 0 || m.freeSlotsField >= len(report) || report[m.freeSlotsField] != report[m.freeSlotsField] {
		return // no value, or NaN
	}
	last := m.loadReports[to]
	if last == nil {
		if len(m.loadReports) >= maxMachines {
			clear(m.loadReports) // most of these destinations no longer exist; the others will report again
		}
		last = &loadReport{}
		m.loadReports[to] = last
	}
	last.freeSlots, last.at = float64(report[m.freeSlotsField]), m.clock.Now()
}

// Machines returns the destinations, sorted by name, with the slots that the tenant's jobs use.
func (m *Manager) Machines(t *TenantState) []drmaa.Machine {
	slotsInUse := map[string]float64{}
	for _, job := range m.byOperation {
		if job.owner != t {
			continue
		}
		for _, s := range job.Steps {
			if s.EndedAt == 0 {
				slotsInUse[s.Machine] += job.slots()
			}
		}
	}
	out := []drmaa.Machine{}
	listed := map[balance.WorkerID]bool{}
	m.core.EachWorker(func(id balance.WorkerID, state balance.State, failureProbability float64) {
		listed[id] = true
		v := drmaa.Machine{Name: m.config.WorkerName(id), Available: state == balance.Ready, FailureProbability: failureProbability}
		if v.State = "Ready"; state != balance.Ready {
			v.State = "Draining"
		}
		if last := m.loadReports[id]; last != nil && m.clock.Now()-last.at < maxReportAge {
			free := last.freeSlots
			v.FreeSlots = &free
		}
		v.BatchSlots = slotsInUse[v.Name]
		out = append(out, v)
	})
	maps.DeleteFunc(m.loadReports, func(id balance.WorkerID, _ *loadReport) bool { return !listed[id] })
	slices.SortFunc(out, func(a, b drmaa.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Queues returns the classes, sorted by name, with the numbers of the tenant's unfinished jobs.
func (m *Manager) Queues(t *TenantState) []drmaa.Queue {
	queues := map[string]*drmaa.Queue{}
	for name, class := range m.classes {
		queues[name] = &drmaa.Queue{Name: name, NonIdempotent: class.NonIdempotent}
	}
	for _, s := range t.sessions {
		for job := range s.jobs {
			q := queues[job.Template.RemoteCommand]
			switch {
			case q == nil:
			case job.State.Held():
				q.Held++
			case job.State.Waiting():
				q.Waiting++
			default:
				q.Running++
			}
		}
	}
	out := []drmaa.Queue{}
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		out = append(out, *queues[name])
	}
	return out
}
