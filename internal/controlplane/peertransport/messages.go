package peertransport

import (
	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// GroupMessage is a consensus message of the group that replicates a shard.
type GroupMessage struct {
	Shard   shards.ID
	Message consensus.Message
}

// Wire forms of consensus messages. Their fields have the names of the fields in the Avro schemas.
type (
	wireMember struct {
		ID      int64
		Address string
		Voter   bool
	}

	wireEntry struct {
		Term, Index int64
		Kind        int
		Data        []byte
		Members     []wireMember
	}

	wireSnapshot struct {
		Index, Term int64
		Data        []byte
		Members     []wireMember
	}

	wireMessage struct {
		Shard             int64
		Kind              int
		From, To, Term    int64
		LogIndex, LogTerm int64
		Commit            int64
		Reject            bool
		HintIndex         int64
		HintTerm          int64
		Context           int64 // consensus.Message.HeartbeatRound
		Forced            bool  // consensus.Message.LeadershipTransfer
		Entries           []wireEntry
		Snapshot          *wireSnapshot
	}
)

// Estimated encoded sizes of a message, an entry and a member, without the Data of entries and snapshots.
const (
	messageOverheadBytes = 64
	entryOverheadBytes   = 24
	memberOverheadBytes  = 40
)

// estimatedSize estimates the encoded size of a message, in bytes.
func estimatedSize(message consensus.Message) int {
	size := messageOverheadBytes
	for _, entry := range message.Entries {
		size += entryOverheadBytes + len(entry.Data) + memberOverheadBytes*len(entry.Members)
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data) + memberOverheadBytes*len(message.Snapshot.Members)
	}
	return size
}

// messageToWire converts a message to its wire form.
func messageToWire(groupMessage GroupMessage) wireMessage {
	message := groupMessage.Message
	wire := wireMessage{
		Shard: int64(groupMessage.Shard), Kind: int(message.Kind),
		From: int64(message.From), To: int64(message.To), Term: int64(message.Term),
		LogIndex: int64(message.LogIndex), LogTerm: int64(message.LogTerm), Commit: int64(message.Commit),
		Reject: message.Reject, HintIndex: int64(message.HintIndex), HintTerm: int64(message.HintTerm),
		Context: int64(message.HeartbeatRound), Forced: message.LeadershipTransfer,
		Entries: make([]wireEntry, len(message.Entries)),
	}
	for i, entry := range message.Entries {
		wire.Entries[i] = wireEntry{
			Term: int64(entry.Term), Index: int64(entry.Index), Kind: int(entry.Kind),
			Data: entry.Data, Members: membersToWire(entry.Members),
		}
	}
	if snapshot := message.Snapshot; snapshot != nil {
		wire.Snapshot = &wireSnapshot{
			Index: int64(snapshot.Index), Term: int64(snapshot.Term),
			Data: snapshot.Data, Members: membersToWire(snapshot.Members),
		}
	}
	return wire
}

// messageFromWire converts a message from its wire form.
func messageFromWire(wire wireMessage) GroupMessage {
	message := consensus.Message{
		Kind: consensus.MessageKind(wire.Kind),
		From: consensus.MemberID(wire.From), To: consensus.MemberID(wire.To), Term: uint64(wire.Term),
		LogIndex: uint64(wire.LogIndex), LogTerm: uint64(wire.LogTerm), Commit: uint64(wire.Commit),
		Reject: wire.Reject, HintIndex: uint64(wire.HintIndex), HintTerm: uint64(wire.HintTerm),
		HeartbeatRound: uint64(wire.Context), LeadershipTransfer: wire.Forced,
	}
	for _, entry := range wire.Entries {
		message.Entries = append(message.Entries, consensus.Entry{
			Term: uint64(entry.Term), Index: uint64(entry.Index), Kind: consensus.EntryKind(entry.Kind),
			Data: entry.Data, Members: membersFromWire(entry.Members),
		})
	}
	if snapshot := wire.Snapshot; snapshot != nil {
		message.Snapshot = &consensus.Snapshot{
			Index: uint64(snapshot.Index), Term: uint64(snapshot.Term),
			Data: snapshot.Data, Members: membersFromWire(snapshot.Members),
		}
	}
	return GroupMessage{Shard: shards.ID(wire.Shard), Message: message}
}

// membersToWire converts members to their wire form. A retired member is encoded as a non-voter without an address, as in stored
// data.
func membersToWire(members []consensus.Member) []wireMember {
	wire := make([]wireMember, len(members))
	for i, member := range members {
		if member.Retired {
			wire[i] = wireMember{ID: int64(member.ID)}
			continue
		}
		wire[i] = wireMember{ID: int64(member.ID), Address: member.Address, Voter: member.Voter}
	}
	return wire
}

// membersFromWire converts members from their wire form; see membersToWire.
func membersFromWire(wire []wireMember) []consensus.Member {
	if len(wire) == 0 {
		return nil
	}
	members := make([]consensus.Member, len(wire))
	for i, member := range wire {
		members[i] = consensus.Member{
			ID: consensus.MemberID(member.ID), Address: member.Address, Voter: member.Voter,
			Retired: member.Address == "" && !member.Voter,
		}
	}
	return members
}
