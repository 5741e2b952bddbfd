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
	maxReportAge = 10 * time.Second // an older load report is not shown
	maxMachines  = 20_000           // destinations whose last report is kept
)

// loadReport is the last load report of a destination.
type loadReport struct {
	freeSlots float64
	at        time.Duration
}

// LoadReported implements routing.LoadObserver: it records a destination's free slots.
func (m *Manager) LoadReported(to balance.WorkerID, report []float32) {
	if m.freeSlotsField < 0 || m.freeSlotsField >= len(report) || report[m.freeSlotsField] != report[m.freeSlotsField] {
		return
	}
	k := m.loadReports[to]
	if k == nil {
		if len(m.loadReports) >= maxMachines {
			clear(m.loadReports) // most have left the list; the others report again
		}
		k = &loadReport{}
		m.loadReports[to] = k
	}
	k.freeSlots, k.at = float64(report[m.freeSlotsField]), m.clock.Now()
}

// Machines returns the destinations, with the slots that the tenant's jobs use there.
func (m *Manager) Machines(t *TenantState) []drmaa.Machine {
	taken := map[string]float64{}
	for _, job := range m.byOperation {
		if job.owner != t {
			continue
		}
		for _, s := range job.Steps {
			if s.EndedAt == 0 {
				taken[s.Machine] += job.slots()
			}
		}
	}
	out := []drmaa.Machine{}
	listed := map[balance.WorkerID]bool{}
	m.core.EachWorker(func(id balance.WorkerID, state balance.State, doubt float64) {
		listed[id] = true
		v := drmaa.Machine{Name: m.config.WorkerName(id), Available: state == balance.Ready, FailureProbability: doubt}
		if v.State = "Ready"; state != balance.Ready {
			v.State = "Draining"
		}
		if k := m.loadReports[id]; k != nil && m.clock.Now()-k.at < maxReportAge {
			free := k.freeSlots
			v.FreeSlots = &free
		}
		v.BatchSlots = taken[v.Name]
		out = append(out, v)
	})
	maps.DeleteFunc(m.loadReports, func(id balance.WorkerID, _ *loadReport) bool { return !listed[id] })
	slices.SortFunc(out, func(a, b drmaa.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Queues returns the classes, with the numbers of the tenant's jobs.
func (m *Manager) Queues(t *TenantState) []drmaa.Queue {
	by := map[string]*drmaa.Queue{}
	for name, class := range m.classes {
		by[name] = &drmaa.Queue{Name: name, NonIdempotent: class.NonIdempotent}
	}
	for _, s := range t.sessions {
		for job := range s.jobs {
			q := by[job.Template.RemoteCommand]
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
	for _, name := range slices.Sorted(maps.Keys(by)) {
		out = append(out, *by[name])
	}
	return out
}
