package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/encoding"
)

// neverSent is the age given to a new command, so that it is sent at once.
const neverSent = time.Second

// pendingCommand is a command proposed through this voter that is not known to be committed.
type pendingCommand struct {
	command  commands.Command
	deadline time.Duration
	sentAt   time.Duration
	onDone   func(error)
}

// ProposeOverride proposes an operator's override. done is called once with the outcome. The last serving
// zone cannot be evacuated.
func (r *Replica) ProposeOverride(now time.Duration, override commands.Override, done func(error)) {
	if err := override.Validate(); err != nil {
		done(err)
		return
	}
	if override.Action == commands.OverrideEvacuate && !r.otherZoneServes(override.Zone) {
		done(fmt.Errorf("zone: %q is the last serving zone and cannot be evacuated", override.Zone))
		return
	}
	r.submit(now, commands.Command{Override: &override}, now+r.config.Settings.CommitTimeout, done)
}

// otherZoneServes reports whether a zone other than the given one serves requests.
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
		if name != zone && table.Zone(name).Phase.Serves() {
			return true
		}
	}
	return false
}

// submit proposes a command through the current leader. The command is resent until it is applied or its
// deadline has passed; its ID prevents it from being applied twice. done is called once.
func (r *Replica) submit(now time.Duration, command commands.Command, deadline time.Duration, done func(error)) {
	r.lastCommandNumber++
	command.ID = strconv.FormatUint(r.config.ID, 10) + "-" + r.config.Store + "-" + strconv.FormatUint(r.config.Starts, 10) + "-" +
		strconv.FormatUint(r.lastCommandNumber, 10)
	r.pending[command.ID] = &pendingCommand{command: command, deadline: deadline, sentAt: now - neverSent, onDone: done}
	r.counts.Commands++
	r.resendPending(now)
}

// resendPending proposes the pending commands, or forwards them to the leader, and fails those past their deadline.
func (r *Replica) resendPending(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		p := r.pending[id]
		switch {
		case now >= p.deadline:
			delete(r.pending, id)
			p.onDone(ErrOutcomeUnknown)
		case now-p.sentAt < 2*r.config.Settings.RoundInterval:
		case r.log.IsLeader():
			if data, err := encoding.Marshal(p.command); err == nil && r.log.Propose(data) == nil {
				p.sentAt = now
			}
		case r.log.Leader() != 0:
			r.send(r.log.Leader(), Message{Commands: []commands.Command{p.command}})
			p.sentAt = now
		}
	}
}

// onApplied reports the outcome of an applied command to its proposer.
func (r *Replica) onApplied(command commands.Command, err error) {
	if errors.Is(err, commands.ErrStale) {
		r.counts.Stale++
	}
	if p := r.pending[command.ID]; p != nil {
		delete(r.pending, command.ID)
		p.onDone(err)
	}
}
