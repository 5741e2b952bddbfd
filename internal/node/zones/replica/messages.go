package replica

import (
	"fmt"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/replicatedlog"
)

// Message is what one voter sends another.
type Message struct {
	Fleet       string             `cbor:"1,keyasint"`
	From        uint64             `cbor:"2,keyasint"`
	Store       string             `cbor:"3,keyasint"` // of the sender
	Log         [][]byte           `cbor:"4,keyasint,omitempty"`
	LeaderTerm  uint64             `cbor:"7,keyasint,omitempty"` // the sender's term, where it leads and is settled
	CommitIndex uint64             `cbor:"8,keyasint,omitempty"` // and how far the log is agreed on
	Stamp       Timestamp          `cbor:"9,keyasint"`           // when it was written
	Echo        Timestamp          `cbor:"10,keyasint"`          // the addressee's last that the sender has had
	Digest      health.Digest      `cbor:"5,keyasint,omitempty"` // what the processes see that report to the sender
	Commands    []commands.Command `cbor:"6,keyasint,omitempty"` // for the leader to put
}

// Timestamp is a time by a voter's own clock, which begins anew with each of its starts.
type Timestamp struct {
	Incarnation uint64        `cbor:"1,keyasint"`
	At          time.Duration `cbor:"2,keyasint"`
}

// Merge puts a later letter to the same voter into this one.
func (m Message) Merge(later Message) Message {
	later.Log = append(m.Log[:len(m.Log):len(m.Log)], later.Log...)
	later.Commands = append(m.Commands[:len(m.Commands):len(m.Commands)], later.Commands...)
	if later.Digest == nil {
		later.Digest = m.Digest
	}
	return later
}

// Envelope is a letter and to whom it goes.
type Envelope struct {
	To      uint64
	Message Message
}

// leaderCommit is what a leader has said of the log, and when.
type leaderCommit struct {
	term, index uint64
	at          time.Duration
}

// Receive takes in another voter's letter.
func (r *Replica) Receive(now time.Duration, message Message) error {
	if message.Fleet != r.config.Fleet {
		r.counts.Foreign++
		return fmt.Errorf("fleet: this is %q, not %q", r.config.Fleet, message.Fleet)
	}
	if r.machine.StoreRolledBack(message.From, message.Store) {
		r.counts.Rejected++
		return fmt.Errorf("voter %d: %w", message.From, commands.ErrStoreRolledBack)
	}
	for i, data := range message.Log {
		logMessage, err := replicatedlog.DecodeMessage(data)
		if err != nil {
			return fmt.Errorf("log.%d: %w", i, err)
		}
		if uint64(logMessage.From) != message.From || uint64(logMessage.To) != r.config.ID {
			return fmt.Errorf("log.%d: from %d to %d, in a letter of %d to %d", i, logMessage.From, logMessage.To, message.From, r.config.ID)
		}
		if err := r.log.Step(logMessage); err != nil {
			r.err = err
			return err
		}
	}
	r.now = now
	if e := r.lastStamps[message.From]; e.Incarnation != message.Stamp.Incarnation || e.At < message.Stamp.At {
		r.lastStamps[message.From] = message.Stamp
	}
	switch {
	case r.config.DisabledCheck == "echo":
		r.recordLeaderCommit(leaderCommit{message.LeaderTerm, message.CommitIndex, now})
	case message.Echo.Incarnation == r.config.Starts || r.config.DisabledCheck == "start":
		r.recordLeaderCommit(leaderCommit{message.LeaderTerm, message.CommitIndex, message.Echo.At})
	}
	if len(message.Digest) > 0 {
		r.digests[message.From] = timedDigest{message.Digest, now}
	}
	for _, command := range message.Commands {
		if data, err := commands.Encode(command); err == nil {
			_ = r.log.Propose(data) // who put it asks again
		}
	}
	return nil
}

// mayGrantLease tells whether what this voter has applied is what was agreed on a moment ago. One
// that has just been started, or lags, may have a leader and old orders all the same; and
// what a leader says may have been long on its way, or its answer to nothing: the age of
// its word counts from when this voter wrote what the leader had read then.
func (r *Replica) mayGrantLease(now time.Duration) bool {
	if r.log.IsLeader() {
		return r.log.LeaderCaughtUp()
	}
	return r.caughtUpAt > 0 && now-r.caughtUpAt <= time.Duration(r.config.Settings.ElectionTicks)*r.config.Settings.Tick
}

// recordLeaderCommit notes a leader's word on how far the log is agreed on, and looks whether this
// voter is as far.
func (r *Replica) recordLeaderCommit(w leaderCommit) {
	if w.term > 0 && (w.term > r.leaderCommit.term || w.term == r.leaderCommit.term && w.at >= r.leaderCommit.at) {
		r.leaderCommit = w
	}
	if r.leaderCommit.term > 0 && r.leaderCommit.term >= r.log.Term() && r.log.Applied() >= r.leaderCommit.index {
		r.caughtUpAt = max(r.caughtUpAt, r.leaderCommit.at)
	}
}

func (r *Replica) send(to uint64, message Message) {
	if to == r.config.ID {
		return
	}
	message.Fleet, message.From, message.Store = r.config.Fleet, r.config.ID, r.config.Store
	message.Stamp, message.Echo = Timestamp{r.config.Starts, r.now}, r.lastStamps[to]
	// A new leader may not know yet how far the log was agreed on before it led.
	if r.log.LeaderCaughtUp() || r.config.DisabledCheck == "settled" && r.log.IsLeader() {
		message.LeaderTerm, message.CommitIndex = r.log.Term(), r.log.Committed()
	}
	r.outgoing = append(r.outgoing, Envelope{to, message})
}

// TakeOutgoing returns the letters that are to go out, and forgets them. A voter that must not go on says nothing.
func (r *Replica) TakeOutgoing() []Envelope {
	r.advance()
	if r.err != nil {
		return nil
	}
	out := r.outgoing
	r.outgoing = nil
	return out
}
