package simulation

import (
	"math/rand/v2"
	"time"

	"ospreybend/coord/consensus"
)

// profile is what a schedule is like.
type profile struct {
	loss, repeat, late float64       // of messages
	delay              time.Duration // the most that a message usually takes
	sync               time.Duration // the most that a sync usually takes
	batch              float64       // how often a Take waits for more
	work               time.Duration // mean pause between two calls of the client
	faultPause         time.Duration // mean pause between two faults
	cutAtAck           float64       // how often the power goes after an acknowledgement
	cutAtLead          float64       // how often a new leader's power goes soon
	election           time.Duration // election timeout
	cutAfter           int           // entries between two snapshots
	trailing           int
	inflight           int
	appendBytes        int
	removeFirst        bool // a lost member is removed before its successor votes
	weights            [faultKinds]int
}

// fault is something that strikes in a schedule.
type fault func(*world)

// faultKinds is how many faults there are.
const faultKinds = 15

// Places of the faults that strike all machines, and are rare.
const (
	faultKillAll      = 5
	faultLoseAllPower = 6
	faultAmidChange   = 14
)

// courses are the places of the faults that play a whole course of events. In a third of the schedules one of
// them prevails.
var courses = []int{12, 13}

// courseWeight is the weight of a course that prevails.
const courseWeight = 40

// faults are all that may strike.
var faults = [faultKinds]fault{
	(*world).cutOff, (*world).cutOneWay, (*world).freeze, (*world).kill, (*world).losePower,
	(*world).killAll, (*world).loseAllPower, (*world).loseDisk, (*world).stall, (*world).transfer,
	(*world).removeVoter, (*world).narrowLeader, (*world).muteLeaders, (*world).rivalChanges, (*world).strikeAmidChange,
}

func drawProfile(random *rand.Rand) profile {
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	millis := func(values ...float64) time.Duration {
		return time.Duration(pick(values...) * float64(time.Millisecond))
	}
	drawn := profile{
		loss:        pick(0, 0, 0.02, 0.1, 0.3),
		repeat:      pick(0, 0.05, 0.2),
		late:        pick(0, 0.01, 0.1),
		delay:       millis(2, 10, 40),
		sync:        millis(1, 10, 60),
		batch:       pick(0, 0.3, 0.8),
		work:        millis(8, 20, 80),
		faultPause:  millis(100, 300, 800),
		cutAtAck:    pick(0, 0, 0.002, 0.02),
		cutAtLead:   pick(0, 0, 0.1, 0.5),
		election:    millis(100, 200, 400),
		cutAfter:    int(pick(3, 10, 50)),
		trailing:    int(pick(-1, 4, 0)),
		inflight:    int(pick(1, 4, 64)),
		appendBytes: int(pick(1, 100, 4096)),
		removeFirst: random.IntN(2) == 0,
	}
	drawn.election = max(drawn.election, 4*drawn.delay+2*drawn.sync)
	for at := range drawn.weights {
		drawn.weights[at] = int(pick(0, 2, 6))
	}
	if random.IntN(3) == 0 {
		drawn.weights[courses[random.IntN(len(courses))]] = courseWeight
	}
	for _, rare := range []int{faultKillAll, faultLoseAllPower, faultAmidChange} {
		drawn.weights[rare] = int(pick(0, 0, 1))
	}
	return drawn
}

// faultStrikes has one fault strike, by the schedule's weights.
func (w *world) faultStrikes() {
	if w.calm {
		return
	}
	w.after(w.draw(0, 2*w.profile.faultPause), w.faultStrikes)
	total := 0
	for _, weight := range w.profile.weights {
		total += weight
	}
	if total == 0 {
		return
	}
	left := w.random.IntN(total)
	for at, weight := range w.profile.weights {
		if left < weight {
			faults[at](w)
			return
		}
		left -= weight
	}
}

// cutOff cuts a machine off from all others, in one direction or both.
func (w *world) cutOff() {
	w.count.Cuts++
	chosen, until := w.anyHost().index, w.now+w.draw(100*time.Millisecond, 2500*time.Millisecond)
	direction := w.random.IntN(3)
	for other := range w.hosts {
		if direction != 0 {
			w.cuts[chosen][other] = until
		}
		if direction != 1 {
			w.cuts[other][chosen] = until
		}
	}
}

// narrowLeader leaves a leader the way to one other member alone, so that entries and changes of members reach a
// minority, and has it propose.
func (w *world) narrowLeader() {
	w.count.Cuts++
	for _, leader := range w.leaders() {
		left := w.anyHost().index
		until := w.now + w.draw(100*time.Millisecond, 4*w.profile.election)
		for other := range w.hosts {
			if other != left {
				w.cuts[leader.index][other] = until
			}
		}
		if w.chance(0.5) {
			leader.removeAny()
		} else {
			leader.act(leader.propose)
		}
		if w.chance(0.3) {
			w.after(w.draw(0, w.profile.election), func() { w.killHost(leader) })
		}
	}
}

// cutOneWay cuts one direction between two machines.
func (w *world) cutOneWay() {
	w.count.Cuts++
	from, to := w.anyHost().index, w.anyHost().index
	w.cuts[from][to] = w.now + w.draw(100*time.Millisecond, 3*time.Second)
}

func (w *world) freeze() {
	w.count.Freezes++
	chosen := w.anyHost()
	chosen.frozen = max(chosen.frozen, w.now+w.draw(50*time.Millisecond, 3*time.Second))
}

// kill ends a process. Mostly the writes under way are kept.
func (w *world) kill() {
	w.count.Kills++
	w.killHost(w.anyHost())
}

func (w *world) killHost(chosen *host) {
	kept := chosen.disk.pendingRecords()
	if w.chance(0.3) {
		kept = w.random.IntN(kept + 1)
	}
	chosen.stop(kept)
	w.startLater(chosen, w.draw(0, time.Second))
}

// losePower ends a machine. Writes under way are lost, or torn at any place.
func (w *world) losePower() {
	w.count.PowerLosses++
	w.cutPower(w.anyHost())
}

func (w *world) cutPower(chosen *host) {
	kept := 0
	if w.chance(0.5) {
		kept = w.random.IntN(chosen.disk.pendingRecords() + 1)
	}
	chosen.stop(kept)
	w.startLater(chosen, w.draw(0, 2*time.Second))
}

func (w *world) startLater(chosen *host, pause time.Duration) {
	process := chosen.process
	w.after(pause, func() {
		if chosen.process == process && !chosen.up {
			chosen.start()
		}
	})
}

func (w *world) killAll() {
	w.count.AllDown++
	for _, host := range w.hosts {
		w.killHost(host)
	}
}

func (w *world) loseAllPower() {
	w.count.AllDown++
	for _, host := range w.hosts {
		w.cutPower(host)
	}
}

// loseDisk takes a machine's disk, unless as many as the group stands are already without.
func (w *world) loseDisk() {
	chosen := w.anyHost()
	away := w.away()
	if away[chosen.index] || len(away) >= (w.options.Members-1)/2 {
		return
	}
	w.count.Wipes++
	w.noteLoss(&w.lastWipe, w.lastRemoval)
	chosen.stop(0)
	chosen.disk = disk{}
	if !w.options.ReuseIdentity {
		chosen.nextIdentity()
	}
	w.startLater(chosen, w.draw(0, 500*time.Millisecond))
}

// away returns the machines that lost their disk and are not back, as a majority of disks knows it: the voters
// under their addresses are not just the present ID.
func (w *world) away() map[int]bool {
	away := make(map[int]bool)
	for _, host := range w.hosts {
		for _, other := range w.hosts {
			if other.up && len(other.node.Status().Members) > 0 && !host.settledIn(other.node.Status().Members) {
				away[host.index] = true
			}
		}
		if host.up && len(host.node.Status().Members) == 0 {
			away[host.index] = true
		}
	}
	for _, other := range w.hosts {
		if !other.up {
			away[other.index] = true
		}
	}
	return away
}

func (h *host) settledIn(members []consensus.Member) bool {
	_, needed := h.neededChange(members, false)
	return !needed
}

// stall has a disk hang, or refuse writes. Mostly the process notices.
func (w *world) stall() {
	w.count.Stalls++
	chosen := w.anyHost()
	span := w.draw(100*time.Millisecond, 4*time.Second)
	chosen.stalled = max(chosen.stalled, w.now+span)
	if w.chance(0.3) {
		return
	}
	process := chosen.process
	w.after(w.draw(0, 300*time.Millisecond), func() { chosen.setWritable(process, false) })
	w.after(span+w.draw(300*time.Millisecond, 600*time.Millisecond), func() { chosen.setWritable(process, true) })
}

func (h *host) setWritable(process int, writable bool) {
	h.actAs(process, func() { h.node.SetWritable(h.clock(), writable) })
}

// transfer has a leader hand over, to anyone or to the most current voter.
func (w *world) transfer() {
	w.count.Transfers++
	to := consensus.MemberID(0)
	if w.chance(0.5) {
		to = w.anyHost().id
	}
	for _, leader := range w.leaders() {
		leader.act(func() { leader.node.TransferLeadership(leader.clock(), to) })
	}
}

// settling is how long a message of a change may still be on its way.
const settling = 6 * time.Second

// noteLoss notes that a voter is lost, by its disk or by removal. If the other kind of loss struck shortly before,
// the group may be left with fewer voters than it needs: it need not recover then, but must stay safe.
func (w *world) noteLoss(at *time.Duration, other time.Duration) {
	*at = w.now
	if other > 0 && w.now-other < settling {
		w.mayStandStill = true
	}
}

// removeVoter has leaders remove a voter. It is taken in again later, as one that lost its disk is.
func (w *world) removeVoter() {
	for _, leader := range w.leaders() {
		leader.removeAny()
	}
}

// removeAny has a leader remove some voter.
func (h *host) removeAny() {
	w := h.world
	w.noteLoss(&w.lastRemoval, w.lastWipe)
	removed := w.anyHost().id
	h.act(func() {
		if h.node.ChangeMembers(h.clock(), consensus.MembershipChange{Remove: removed}) == nil {
			w.count.MemberChanges++
		}
	})
}
