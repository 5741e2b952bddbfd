package replica

import (
	"fmt"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/encoding"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/replicatedlog"
)

// Message is a message from one voter to another. The numbers in the tags are its CBOR keys.
type Message struct {
	Fleet       string             `cbor:"1,keyasint"`
	From        uint64             `cbor:"2,keyasint"`
	Store       string             `cbor:"3,keyasint"` // ID of the sender's store
	Log         [][]byte           `cbor:"4,keyasint,omitempty"`
	LeaderTerm  uint64             `cbor:"7,keyasint,omitempty"` // the sender's term, if it leads and has applied the first entry of that term
	CommitIndex uint64             `cbor:"8,keyasint,omitempty"` // the leader's commit index
	Stamp       Timestamp          `cbor:"9,keyasint"`           // when the message was created
	Echo        Timestamp          `cbor:"10,keyasint"`          // the stamp of the last message that the sender received from the addressee
	Digest      health.Digest      `cbor:"5,keyasint,omitempty"` // observations of the processes that report to the sender
	Commands    []commands.Command `cbor:"6,keyasint,omitempty"` // for the leader to propose
}

// Timestamp is a time on a voter's own clock, which restarts with each incarnation.
type Timestamp struct {
	Incarnation uint64        `cbor:"1,keyasint"`
	At          time.Duration `cbor:"2,keyasint"`
}

// Merge combines this message with a later one to the same voter.
func (m Message) Merge(later Message) Message {
	later.Log = append(m.Log[:len(m.Log):len(m.Log)], later.Log...)
	later.Commands = append(m.Commands[:len(m.Commands):len(m.Commands)], later.Commands...)
	if later.Digest == nil {
		later.Digest = m.Digest
	}
	return later
}

// Envelope is a message and its addressee.
type Envelope struct {
	To      uint64
	Message Message
}

// leaderCommit is a leader's commit index. The leader read it at readAt on this voter's clock, or later.
type leaderCommit struct {
	term, index uint64
	readAt      time.Duration
}

// Receive handles another voter's message. If the log returns an error, the replica must stop; see Err.
func (r *Replica) Receive(now time.Duration, message Message) error {
	if message.Fleet != r.config.Fleet {
		r.counts.Foreign++
		return r.foreignFleetError(message.Fleet)
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
			return fmt.Errorf("log.%d: log message from voter %d to voter %d, carried by a message from voter %d to voter %d", i, logMessage.From, logMessage.To, message.From, r.config.ID)
		}
		if err := r.log.Step(logMessage); err != nil {
			r.err = err
			return err
		}
	}
	r.now = now
	if last := r.lastStamps[message.From]; last.Incarnation != message.Stamp.Incarnation || last.At < message.Stamp.At {
		r.lastStamps[message.From] = message.Stamp
	}
	switch {
	case r.config.DisabledCheck == checkEchoAge:
		r.recordLeaderCommit(leaderCommit{message.LeaderTerm, message.CommitIndex, now})
	case message.Echo.Incarnation == r.config.Starts || r.config.DisabledCheck == checkEchoIncarnation:
		r.recordLeaderCommit(leaderCommit{message.LeaderTerm, message.CommitIndex, message.Echo.At})
	}
	if len(message.Digest) > 0 {
		r.digests[message.From] = timedDigest{message.Digest, now}
	}
	for _, command := range message.Commands {
		if data, err := encoding.Marshal(command); err == nil {
			_ = r.log.Propose(data) // the proposer resends the command until it is committed
		}
	}
	return nil
}

func (r *Replica) foreignFleetError(fleet string) error {
	return fmt.Errorf("fleet: this voter belongs to fleet %q, not %q", r.config.Fleet, fleet)
}

// mayGrantLease reports whether the table applied here was the committed one no longer ago than an election
// timeout. A voter that lags or has just started may know the leader and still have an outdated table, and a
// leader's message may be delayed for long. The age of a commit index therefore counts from the time at
// which this voter sent the message that the leader echoed.
func (r *Replica) mayGrantLease(now time.Duration) bool {
	if r.log.IsLeader() {
		return r.log.LeaderCaughtUp()
	}
	return r.caughtUpAt > 0 && now-r.caughtUpAt <= time.Duration(r.config.Settings.ElectionTicks)*r.config.Settings.Tick
}

// recordLeaderCommit records a leader's commit index if it is newer than the last one, and updates caughtUpAt if
// this voter has applied the entries up to it.
func (r *Replica) recordLeaderCommit(observed leaderCommit) {
	if observed.term > 0 && (observed.term > r.leaderCommit.term || observed.term == r.leaderCommit.term && observed.readAt >= r.leaderCommit.readAt) {
		r.leaderCommit = observed
	}
	if r.leaderCommit.term > 0 && r.leaderCommit.term >= r.log.Term() && r.log.AppliedIndex() >= r.leaderCommit.index {
		r.caughtUpAt = max(r.caughtUpAt, r.leaderCommit.readAt)
	}
}

// send fills in the sender and the timestamps of a message and queues it for another voter.
func (r *Replica) send(to uint64, message Message) {
	if to == r.config.ID {
		return
	}
	message.Fleet, message.From, message.Store = r.config.Fleet, r.config.ID, r.config.Store
	message.Stamp, message.Echo = Timestamp{r.config.Starts, r.now}, r.lastStamps[to]
	// A new leader does not know the commit index of its predecessors before it has applied its own first entry.
	if r.log.LeaderCaughtUp() || r.config.DisabledCheck == checkLeaderCaughtUp && r.log.IsLeader() {
		message.LeaderTerm, message.CommitIndex = r.log.Term(), r.log.CommitIndex()
	}
	r.outgoing = append(r.outgoing, Envelope{to, message})
}

// TakeOutgoing returns the queued messages and clears the queue. A replica that must stop sends nothing.
func (r *Replica) TakeOutgoing() []Envelope {
	r.advance()
	if r.err != nil {
		return nil
	}
	out := r.outgoing
	r.outgoing = nil
	return out
}
