package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// The faults of this file lead schedules towards courses of events that are known to do harm to a group without
// certain rules, and that faults drawn one by one hardly ever make up.

// muteLeaders loses, for a while, all messages that carry entries of their sender's own term, while entries of
// former terms, votes and heartbeats pass. Leaders are cut off in turn, so that entries of several terms stand in
// one place of different logs and a former leader leads again: the course of events in which counting the copies
// of a former term's entry does harm.
func (w *world) muteLeaders() {
	w.count.Mutes++
	until := w.now + w.draw(2*w.profile.election, 16*w.profile.election)
	for from := range w.hosts {
		w.mute(from, until, func(*host) bool { return true })
	}
	w.changeLeaders(until)
}

// changeLeaders cuts off whoever leads, again and again until a time.
func (w *world) changeLeaders(until time.Duration) {
	if w.calm || w.now >= until {
		return
	}
	for _, leader := range w.leaders() {
		w.cutApart(func(other *host) bool { return other == leader }, w.now+w.draw(w.profile.election, 4*w.profile.election))
	}
	w.after(w.draw(w.profile.election/2, 2*w.profile.election), func() { w.changeLeaders(until) })
}

// mute loses a machine's messages with entries of its own term to some others until a time.
func (w *world) mute(from int, until time.Duration, to func(*host) bool) {
	for _, other := range w.hosts {
		if to(other) {
			w.mutes[from][other.index] = until
		}
	}
}

// muted reports whether a message is one that muting loses.
func (w *world) muted(message consensus.Message, from, to int) bool {
	if w.now >= w.mutes[from][to] {
		return false
	}
	for _, entry := range message.Entries {
		if entry.Term == message.Term {
			return true
		}
	}
	return false
}

// cutApart cuts some machines off from the rest, in both directions, until a time.
func (w *world) cutApart(some func(*host) bool, until time.Duration) {
	for _, one := range w.hosts {
		for _, other := range w.hosts {
			if some(one) != some(other) {
				w.cuts[one.index][other.index] = until
			}
		}
	}
}

// heal ends all cuts and mutes.
func (w *world) heal() {
	for from := range w.hosts {
		clear(w.cuts[from])
		clear(w.mutes[from])
	}
}

// rivalry is a course of events with two leaders, one after the other, that each have a change of members which
// only a part of the group gets; then the first one's part meets those that got neither. A group with an even
// number of voters is harmed by it unless a change waits for an entry of the own term, and unless a truncated
// change is undone.
type rivalry struct {
	world *world
	first *host
	parts []rivalryPart // by machine
	late  bool          // the first leader's change is truncated before the second one makes its own
	rival *host         // the second leader, nil: not elected yet
	over  bool
}

// rivalryPart tells whose change a machine may get.
type rivalryPart int

const (
	partNeither rivalryPart = iota
	partFirst
	partSecond
)

// rivalChanges starts a rivalry, unless one is under way. Meanwhile the operator makes no changes.
func (w *world) rivalChanges() {
	leaders := w.leaders()
	if len(leaders) == 0 || (w.rivals != nil && !w.rivals.over) {
		return
	}
	w.count.Rivalries++
	r := &rivalry{world: w, first: leaders[0], late: w.chance(0.5)}
	w.rivals = r
	w.after(w.draw(6*w.profile.election, 16*w.profile.election), r.end)
	if countVoters(r.first.node.Status().Members)%2 == 0 {
		r.divide()
		return
	}
	r.first.removeAny()
	w.after(w.draw(0, w.profile.election), r.divide)
}

func countVoters(members []consensus.Member) int {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// divide draws the parts and has the first leader change the members in its own part alone.
func (r *rivalry) divide() {
	if r.over || !r.first.up {
		return
	}
	w := r.world
	r.parts = make([]rivalryPart, len(w.hosts))
	for at := range r.parts {
		switch {
		case at == r.first.index || w.chance(0.15):
			r.parts[at] = partFirst
		case w.chance(0.6):
			r.parts[at] = partSecond
		}
	}
	until := w.now + 16*w.profile.election
	w.cutApart(r.in(partFirst), until)
	if !r.late {
		r.muteNeither(until)
	}
	r.first.removeAny()
}

func (r *rivalry) in(part rivalryPart) func(*host) bool {
	return func(one *host) bool { return r.parts[one.index] == part }
}

func (r *rivalry) muteNeither(until time.Duration) {
	for from := range r.world.hosts {
		r.world.mute(from, until, func(to *host) bool { return !r.in(partSecond)(to) })
	}
}

// leads takes note of a new leader: the second one, if it is not of the first one's part.
func (r *rivalry) leads(leader *host) {
	if r.over || r.rival != nil || r.parts == nil || r.in(partFirst)(leader) {
		return
	}
	r.rival = leader
	r.parts[leader.index] = partSecond
	w := r.world
	if !r.late {
		r.change()
	} else {
		w.heal()
		w.after(w.draw(0, w.profile.election), func() {
			if !r.over {
				r.muteNeither(w.now + 16*w.profile.election)
				r.change()
			}
		})
	}
	w.after(w.draw(w.profile.election, 3*w.profile.election), r.meet)
}

// change has the second leader try to change the members until the parts meet.
func (r *rivalry) change() {
	if r.over || r.rival == nil || !r.rival.up || r.rival.node.Status().Role != consensus.RoleLeader {
		return
	}
	r.rival.removeAny()
	r.world.after(r.world.draw(0, r.world.profile.election/2), r.change)
}

// meet cuts the second part off and lets the others meet.
func (r *rivalry) meet() {
	if r.over {
		return
	}
	w := r.world
	w.heal()
	w.cutApart(r.in(partSecond), w.now+w.draw(2*w.profile.election, 6*w.profile.election))
	r.over = true
}

func (r *rivalry) end() { r.over = true }

// strikeAmidChange ends all machines while a change of members is on its way: by a kill, or by a loss of power
// that takes from each what it had not synced.
func (w *world) strikeAmidChange() {
	for _, leader := range w.leaders() {
		w.count.AmidChange++
		leader.removeAny()
	}
	all := w.loseAllPower
	if w.chance(0.5) {
		all = w.killAll
	}
	w.after(w.draw(0, 2*(w.profile.delay+w.profile.sync)), func() {
		if !w.calm {
			all()
		}
	})
}
