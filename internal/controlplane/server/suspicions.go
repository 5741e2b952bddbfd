package server

import (
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/controlplane/feedtransport"
)

const (
	// suspicionMaxAge is how long a suspicion counts after its last report. Agents repeat a suspicion while it lasts.
	suspicionMaxAge = 3 * feedtransport.SuspicionRepeatInterval
	// corroboratingAgents is how many agents must suspect a machine before its suspected failure is logged: a single agent may itself
	// be disconnected.
	corroboratingAgents = 2
)

// suspectedMachine is a machine that agents suspect to have failed. Operators read the JSON members of /-/status.
type suspectedMachine struct {
	IP     string `json:"ip"`
	Agents int    `json:"agents"` // number of agents that suspect the machine
}

// suspicions records which agents suspect which machines, for logs, metrics and status only: expiry and membership depend on
// heartbeats alone.
type suspicions struct {
	mutex     sync.Mutex
	reporters map[string]map[string]time.Time // time of the last report, by the machine's IP and the agent's node
	logged    map[string]bool                 // IPs of machines whose suspected failure was logged
}

// record records that an agent suspects a machine, or that it no longer does.
func (s *suspicions) record(now time.Time, agent string, suspicion feedtransport.Suspicion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !suspicion.Suspected {
		delete(s.reporters[suspicion.IP], agent)
		return
	}
	if s.reporters == nil {
		s.reporters = make(map[string]map[string]time.Time)
	}
	if s.reporters[suspicion.IP] == nil {
		s.reporters[suspicion.IP] = make(map[string]time.Time)
	}
	s.reporters[suspicion.IP][agent] = now
}

// current returns the machines that are suspected, sorted by IP. It removes suspicions older than suspicionMaxAge.
func (s *suspicions) current(now time.Time) []suspectedMachine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	suspected := []suspectedMachine{}
	for ip, agents := range s.reporters {
		for agent, reportedAt := range agents {
			if now.Sub(reportedAt) > suspicionMaxAge {
				delete(agents, agent)
			}
		}
		if len(agents) == 0 {
			delete(s.reporters, ip)
			continue
		}
		suspected = append(suspected, suspectedMachine{IP: ip, Agents: len(agents)})
	}
	slices.SortFunc(suspected, func(a, b suspectedMachine) int { return strings.Compare(a.IP, b.IP) })
	return suspected
}

// changes returns the machines that corroboratingAgents or more agents have come to suspect since the last call, and the IPs of
// machines returned earlier that no agent suspects any more.
func (s *suspicions) changes(now time.Time) (failed []suspectedMachine, recovered []string) {
	suspected := s.current(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.logged == nil {
		s.logged = make(map[string]bool)
	}
	for _, machine := range suspected {
		if machine.Agents >= corroboratingAgents && !s.logged[machine.IP] {
			s.logged[machine.IP] = true
			failed = append(failed, machine)
		}
	}
	for ip := range s.logged {
		if !slices.ContainsFunc(suspected, func(machine suspectedMachine) bool { return machine.IP == ip }) {
			delete(s.logged, ip)
			recovered = append(recovered, ip)
		}
	}
	slices.Sort(recovered)
	return failed, recovered
}

// logSuspicions logs the result of changes: machines that several agents have come to suspect, and machines that none suspects any more.
func (s *Server) logSuspicions() {
	failed, recovered := s.suspicions.changes(s.environment.Now())
	for _, machine := range failed {
		s.logger.Warn("machine suspected by agents", zap.String("ip", machine.IP), zap.Int("agents", machine.Agents))
	}
	for _, ip := range recovered {
		s.logger.Info("machine no longer suspected", zap.String("ip", ip))
	}
}
