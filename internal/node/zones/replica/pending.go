package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// pendingCommand is an order put through this voter that is not agreed on yet.
type pendingCommand struct {
	command  commands.Command
	deadline time.Duration
	sentAt   time.Duration
	done     func(error)
}

// ProposeOverride puts what a person has said. done is told once what became of it.
func (r *Replica) ProposeOverride(now time.Duration, override commands.Override, done func(error)) {
	if err := override.Validate(); err != nil {
		done(err)
		return
	}
	if override.Action == commands.OverrideEvacuate && !r.otherZoneServes(override.Zone) {
		done(fmt.Errorf("zone: %q is the last that takes work", override.Zone))
		return
	}
	r.submit(now, commands.Command{Override: &override}, now+r.config.Settings.CommitTimeout, done)
}

// otherZoneServes tells whether a zone other than this one takes work.
func (r *Replica) otherZoneServes(zone string) bool {
	zones := map[string]bool{}
	for name, report := range r.localDigest() {
		zones[name] = true
		for to := range report.Observations {
			zones[to] = true
		}
	}
	table := r.machine.Table()
	for name := range table.Zones {
		zones[name] = true
	}
	for name := range zones {
		if phase := table.Zone(name).Phase; name != zone && (phase == commands.PhaseActive || phase == commands.PhaseReduced || phase == commands.PhaseSlowStart) {
			return true
		}
	}
	return false
}

// submit has an order agreed on, by the leader wherever it is. It is sent again until it is
// applied or its time is over; the order's ID keeps it from counting twice.
func (r *Replica) submit(now time.Duration, command commands.Command, deadline time.Duration, done func(error)) {
	r.lastCommandNumber++
	command.ID = strconv.FormatUint(r.config.ID, 10) + "-" + r.config.Store + "-" + strconv.FormatUint(r.config.Starts, 10) + "-" +
		strconv.FormatUint(r.lastCommandNumber, 10)
	r.pending[command.ID] = &pendingCommand{command: command, deadline: deadline, sentAt: now - time.Second, done: done}
	r.counts.Commands++
	r.resendPending(now)
}

// resendPending sends on what waits to be agreed on.
func (r *Replica) resendPending(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		p := r.pending[id]
		switch {
		case now >= p.deadline:
			delete(r.pending, id)
			p.done(ErrOutcomeUnknown)
		case now-p.sentAt < 2*r.config.Settings.RoundInterval:
		case r.log.IsLeader():
			if data, err := commands.Encode(p.command); err == nil && r.log.Propose(data) == nil {
				p.sentAt = now
			}
		case r.log.Leader() != 0:
			r.send(r.log.Leader(), Message{Commands: []commands.Command{p.command}})
			p.sentAt = now
		}
	}
}

// onApplied hears of each order as it is applied.
func (r *Replica) onApplied(command commands.Command, err error) {
	if errors.Is(err, commands.ErrStale) {
		r.counts.Stale++
	}
	if p := r.pending[command.ID]; p != nil {
		delete(r.pending, command.ID)
		p.done(err)
	}
}
