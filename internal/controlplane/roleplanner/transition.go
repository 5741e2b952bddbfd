package roleplanner

import "time"

// transition is what the holder knows of a worker's change of stage.
type transition struct {
	stage       string
	assignedAt  time.Duration // when the assignment was seen first
	commandedAt time.Duration // when the last order was given
	polledAt    time.Duration // when the worker was asked last; 0: not since the order
	attempts    int
	accepted    bool
}

// pruneTransitions drops what is known of workers that are gone, and of changes that are done or withdrawn.
func (p *Planner) pruneTransitions(now time.Duration, workers []Worker) {
	present := make(map[string]*Worker, len(workers))
	for i := range workers {
		present[workers[i].ID] = &workers[i]
	}
	for id, current := range p.transitions {
		worker := present[id]
		if worker != nil && worker.transitioning() && worker.Assigned == current.stage {
			continue
		}
		if worker != nil && worker.Stage != current.stage && now-current.assignedAt < assignmentTimeout {
			continue // its assignment is not recorded yet
		}
		delete(p.transitions, id)
		if worker != nil && worker.Stage == current.stage {
			p.cooldownUntil[id] = now + transitionCooldown
		}
	}
	for id, until := range p.cooldownUntil {
		if present[id] == nil || now >= until {
			delete(p.cooldownUntil, id)
		}
	}
}

// continueTransitions gives the orders that are due, and withdraws assignments that came to nothing.
func (p *Planner) continueTransitions(now time.Duration, workers []Worker) Plan {
	var plan Plan
	for i := range workers {
		worker := &workers[i]
		if !worker.transitioning() {
			continue
		}
		current := p.transitions[worker.ID]
		if current == nil {
			current = &transition{stage: worker.Assigned, assignedAt: now}
			p.transitions[worker.ID] = current
		}
		switch {
		case current.attempts >= maxAttempts && now-current.commandedAt >= commandRetryInterval:
			plan.Assignments = append(plan.Assignments, Assignment{ID: worker.ID})
			p.cooldownUntil[worker.ID] = now + failureCooldown
		case current.commandDue(now):
			current.commandedAt, current.polledAt = now, 0
			current.attempts++
			current.accepted = false
			plan.Commands = append(plan.Commands, Command{ID: worker.ID, Address: worker.Address, Stage: worker.Assigned})
		case current.pollDue(now, p.switchTime):
			current.polledAt = now
			plan.Polls = append(plan.Polls, Command{ID: worker.ID, Address: worker.Address, Stage: worker.Assigned})
		}
	}
	return plan
}

// commandDue tells whether the worker is to be told now.
func (t *transition) commandDue(now time.Duration) bool {
	switch {
	case t.attempts == 0:
		return now-t.assignedAt >= commandDelay
	case t.accepted:
		return now-t.commandedAt >= confirmationTimeout
	default:
		return now-t.commandedAt >= commandRetryInterval
	}
}

// pollDue tells whether a worker that has taken an order may have its new stage, and is to be asked: its heartbeat would tell
// only later.
func (t *transition) pollDue(now, switchTime time.Duration) bool {
	return t.accepted && now-t.commandedAt >= switchTime+reportLag && (t.polledAt == 0 || now-t.polledAt >= pollInterval)
}

// CommandFinished takes in what became of an order.
func (p *Planner) CommandFinished(id string, result Result) {
	current := p.transitions[id]
	if current == nil {
		return
	}
	switch result {
	case Accepted:
		current.accepted = true
	case Rejected:
		current.attempts = maxAttempts
	}
}
