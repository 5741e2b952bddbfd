package roleplanner

import "time"

// Durations that control a transition.
const (
	commandDelay         = 80 * time.Millisecond  // lets proxies learn of an assignment before the first command
	assignmentTimeout    = 2 * time.Second        // after which an assignment that the registry has not recorded counts as failed
	commandRetryInterval = time.Second            // between commands that are not accepted
	confirmationTimeout  = 10 * time.Second       // after which an accepted command is repeated if it had no effect
	pollInterval         = 400 * time.Millisecond // between two polls of a worker
	reportLag            = 250 * time.Millisecond // maximum age of the stage that a worker reports when polled
	failureCooldown      = 30 * time.Second       // without an assignment for a worker that failed to change its stage
	transitionCooldown   = 8 * time.Second        // without an assignment for a worker that has changed its stage
)

// maxAttempts is the number of commands after which an assignment is withdrawn.
const maxAttempts = 6

// transition is the state of one worker's change of stage.
type transition struct {
	stage       string        // stage that the worker is to have
	assignedAt  time.Duration // when the assignment was made or first seen
	commandedAt time.Duration // when the last command was issued
	polledAt    time.Duration // when the worker was last polled; 0 if not since the last command
	attempts    int           // number of commands issued
	accepted    bool          // whether the worker accepted the last command
}

// pruneTransitions drops the transitions that are complete or withdrawn, the state of workers that no longer exist, and the
// cooldowns that have ended.
func (p *Planner) pruneTransitions(now time.Duration, workers []Worker) {
	workersByID := make(map[string]*Worker, len(workers))
	for i := range workers {
		workersByID[workers[i].ID] = &workers[i]
	}
	for id, current := range p.transitions {
		worker := workersByID[id]
		if worker != nil && worker.transitioning() && worker.Assigned == current.stage {
			continue
		}
		if worker != nil && worker.Stage != current.stage && now-current.assignedAt < assignmentTimeout {
			continue // the registry has not recorded the assignment yet
		}
		delete(p.transitions, id)
		if worker != nil && worker.Stage == current.stage {
			p.cooldownUntil[id] = now + transitionCooldown
		}
	}
	for id, until := range p.cooldownUntil {
		if workersByID[id] == nil || now >= until {
			delete(p.cooldownUntil, id)
		}
	}
}

// continueTransitions returns the commands and polls that are due, and withdraws the assignments of workers that have not
// changed their stage after maxAttempts commands.
func (p *Planner) continueTransitions(now time.Duration, workers []Worker) Plan {
	var plan Plan
	for i := range workers {
		worker := &workers[i]
		if worker.Held || !worker.transitioning() {
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

// commandDue reports whether a command must be sent to the worker now.
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

// pollDue reports whether a worker that accepted a command may have its new stage and must be polled now. Waiting for its
// next heartbeat would take longer.
func (t *transition) pollDue(now, switchTime time.Duration) bool {
	return t.accepted && now-t.commandedAt >= switchTime+reportLag && (t.polledAt == 0 || now-t.polledAt >= pollInterval)
}

// CommandFinished records the result of the last command to a worker.
func (p *Planner) CommandFinished(id string, result CommandResult) {
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
