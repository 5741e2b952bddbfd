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
	reportOld    = 10 * time.Second // a load report is shown no longer
	mostMachines = 20_000           // whose last report is kept
)

// machine is the last that a destination said of itself.
type machine struct {
	free float64
	at   time.Duration
}

// LoadReported is the core's word of a destination's load report.
func (m *Manager) LoadReported(to balance.WorkerID, report []float32) {
	if m.freeAt < 0 || m.freeAt >= len(report) || report[m.freeAt] != report[m.freeAt] {
		return
	}
	k := m.machines[to]
	if k == nil {
		if len(m.machines) >= mostMachines {
			clear(m.machines) // most have left; those here report again
		}
		k = &machine{}
		m.machines[to] = k
	}
	k.free, k.at = float64(report[m.freeAt]), m.clock.Now()
}

// Machines lists the destinations, with the slots that the tenant's jobs take up
// there.
func (m *Manager) Machines(t *TenantState) []drmaa.Machine {
	taken := map[string]float64{}
	for _, j := range m.byOp {
		if j.owner != t {
			continue
		}
		for _, s := range j.Steps {
			if s.EndedAt == 0 {
				taken[s.Machine] += j.slots()
			}
		}
	}
	out := []drmaa.Machine{}
	listed := map[balance.WorkerID]bool{}
	m.core.EachWorker(func(id balance.WorkerID, state balance.State, doubt float64) {
		listed[id] = true
		v := drmaa.Machine{Name: m.config.Name(id), Available: state == balance.Ready, Doubt: doubt}
		if v.State = "Ready"; state != balance.Ready {
			v.State = "Draining"
		}
		if k := m.machines[id]; k != nil && m.clock.Now()-k.at < reportOld {
			free := k.free
			v.FreeSlots = &free
		}
		v.Batch = taken[v.Name]
		out = append(out, v)
	})
	maps.DeleteFunc(m.machines, func(id balance.WorkerID, _ *machine) bool { return !listed[id] })
	slices.SortFunc(out, func(a, b drmaa.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Queues lists the classes, with the tenant's jobs of each.
func (m *Manager) Queues(t *TenantState) []drmaa.Queue {
	by := map[string]*drmaa.Queue{}
	for name, class := range m.classes {
		by[name] = &drmaa.Queue{Name: name, Once: class.Once}
	}
	for _, s := range t.sessions {
		for j := range s.jobs {
			q := by[j.Template.RemoteCommand]
			switch {
			case q == nil:
			case j.State.Held():
				q.Held++
			case j.State.Waiting():
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
