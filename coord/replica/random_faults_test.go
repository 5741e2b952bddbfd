package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/seglog/seglogtest"
)

const (
	drawSeed       = 20260102
	drawnRuns      = 300
	troublesOfRun  = 150
	roomOfFullDisk = 200 // bytes, at most
	kindsOfTrouble = 12
	troubleOdds    = 3 // a member that is drawn is in trouble one time in so many, else well again
)

// attempt is one proposal or read of a drawn run.
type attempt struct {
	command string // "": a read
	at      *peer
	seen    int // acknowledged commands at the time of a read
	done    chan outcome
}

// drawnRun makes proposals and reads while things fail.
type drawnRun struct {
	*cluster
	random       *rand.Rand
	open         []attempt
	acknowledged []string
	refused      map[string]bool
	failure      error
}

// TestDrawnTroubles checks that what was acknowledged lasts, what was refused is not there, and
// reads see all that was acknowledged before them.
func TestDrawnTroubles(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(drawSeed)
	parameters.MinSuccessfulTests = drawnRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("acknowledged commands last", prop.ForAll(
		func(seed uint64) string {
			if err := playTroubles(t, seed); err != nil {
				return err.Error()
			}
			return ""
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func playTroubles(t *testing.T, seed uint64, omit ...Guard) error {
	run := &drawnRun{cluster: newCluster(t, 3), random: seglogtest.NewRandom(seed), refused: map[string]bool{}}
	run.leaveOut(omit)
	for number := range troublesOfRun {
		run.trouble(number)
		for range run.random.IntN(12) {
			run.step()
			run.collect()
		}
	}
	run.heal()
	if run.failure != nil {
		return run.failure
	}
	return run.checkCommands()
}

// trouble does one thing at a drawn member.
func (r *drawnRun) trouble(number int) {
	p := r.peers[r.random.IntN(len(r.peers))]
	switch r.random.IntN(kindsOfTrouble) {
	case 0:
		p.cut = r.random.IntN(troubleOdds) == 0
	case 1:
		p.stalled = r.random.IntN(troubleOdds) == 0
	case 2:
		r.restart(p, r.random.IntN(2) == 0, r.random.Uint64())
	case 3:
		p.disk.Room = int64(r.random.IntN(roomOfFullDisk))
	case 4:
		p.disk.Room = seglogtest.Unlimited
	case 5:
		p.group.inbox.post(transferEvent{done: newDone()})
	case 6:
		r.read(p)
	default:
		r.proposeAt(p, fmt.Sprint("command ", number))
	}
}

func (r *drawnRun) proposeAt(p *peer, command string) {
	r.open = append(r.open, attempt{command: command, at: p, done: p.propose(command)})
}

func (r *drawnRun) read(p *peer) {
	done := newDone()
	p.group.inbox.post(readEvent{done})
	r.open = append(r.open, attempt{at: p, seen: len(r.acknowledged), done: done})
}

// collect takes the answers that are there.
func (r *drawnRun) collect() {
	var left []attempt
	for _, one := range r.open {
		select {
		case answered := <-one.done:
			r.note(one, answered)
		default:
			left = append(left, one)
		}
	}
	r.open = left
}

func (r *drawnRun) note(one attempt, answered outcome) {
	switch {
	case one.command == "" && answered.err == nil:
		r.checkRead(one)
	case one.command == "":
	case answered.err == nil:
		r.acknowledged = append(r.acknowledged, one.command)
	case !errors.Is(answered.err, ErrUnknownOutcome):
		r.refused[one.command] = true
	}
}

func (r *drawnRun) checkRead(one attempt) {
	for _, command := range r.acknowledged[:one.seen] {
		if !slices.Contains(one.at.machine.Commands, command) {
			r.failure = fmt.Errorf("a read at member %d does not see %q", one.at.member.ID, command)
		}
	}
}

// heal ends all troubles and waits until all members are current.
func (r *drawnRun) heal() {
	r.t.Helper()
	for _, p := range r.peers {
		p.cut, p.stalled = false, false
		p.disk.Room = seglogtest.Unlimited
	}
	r.until("no open attempt", func() bool {

		r.collect()
		return len(r.open) == 0
	})
	last := r.commitLast()
	r.until("all members current", func() bool { return r.allHave(last) })
}

// commitLast tries until the leader has taken a command: a transfer may still be under way.
func (r *drawnRun) commitLast() string {
	r.t.Helper()
	limit := r.clock.now + testDuration
	for try := 0; r.clock.now < limit; try++ {
		command := fmt.Sprint("last ", try)
		if r.await(r.awaitLeader().propose(command)).err == nil {
			return command
		}
		r.step()
	}
	r.t.Fatal("no leader takes a command")
	return ""
}

func (r *drawnRun) allHave(command string) bool {
	for _, p := range r.peers {
		if !slices.Contains(p.machine.Commands, command) {
			return false
		}
	}
	return true
}

func (r *drawnRun) checkCommands() error {
	commands := r.peers[0].machine.Commands
	for _, p := range r.peers {
		if !slices.Equal(p.machine.Commands, commands) {
			return fmt.Errorf("members differ: %q and %q", commands, p.machine.Commands)
		}
	}
	counts := map[string]int{}
	for _, command := range commands {
		counts[command]++
		if counts[command] > 1 || r.refused[command] {
			return fmt.Errorf("%q is there %d times, refused: %v", command, counts[command], r.refused[command])
		}
	}
	for _, command := range r.acknowledged {
		if counts[command] != 1 {
			return fmt.Errorf("%q was acknowledged and is not there", command)
		}
	}
	return nil
}
