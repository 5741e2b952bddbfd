package feedtransport

import (
	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Roles of a reader, for Hello.Role.
const (
	RoleAgent = "agent"
	RoleProxy = "proxy"
)

// Offset is the index up to which a reader has a shard.
type Offset struct {
	Shard shards.ID
	Index uint64 // 0: the reader has nothing of the shard
}

// Hello is the first message of a reader.
type Hello struct {
	Node        string
	Zone        string
	Region      string
	IP          string
	Role        string // RoleAgent or RoleProxy
	Incarnation uint64 // differs for each start of a node's process
	Offsets     []Offset
	Compressed  bool // the reader accepts frames of KindCompressed
}

// ShardStatus is a server's status of one shard.
type ShardStatus struct {
	Shard   shards.ID
	Index   uint64 // index up to which the server has the shard
	Current bool   // the server has confirmed that it is not behind the shard's owner
}

// ServerEndpoint is the address and location of one control plane server. Zone and Region are empty if unknown. The names of
// the fields are part of the encoding.
type ServerEndpoint struct {
	Address string // any address of the server, "ip:port"; clients use only the IP
	Zone    string
	Region  string
}

// Status is sent by a server at short intervals, and immediately after a change.
type Status struct {
	Sequence uint64 // number of the status on its connection, starting at 1; set by the server's session
	Shards   []ShardStatus
	Servers  []ServerEndpoint // known servers; on the wire, empty if they have not changed since the previous status
}

// Current reports whether all shards of the status are current. A status without shards is not.
func (s Status) Current() bool {
	for _, shard := range s.Shards {
		if !shard.Current {
			return false
		}
	}
	return len(s.Shards) > 0
}

// Report is a message on a topic, sent in either direction with best-effort delivery. The package does not interpret its body.
type Report struct {
	Topic string
	Body  []byte
}

// Changes are consecutive changes of one shard, in ascending order of their indexes.
type Changes struct {
	Shard   shards.ID
	Changes []feed.Change
}

// SnapshotPart is the part of a snapshot that one frame carries. The parts of a snapshot are sent in sequence, and the snapshot
// takes effect with the last of them.
type SnapshotPart struct {
	Shard shards.ID
	Index uint64
	Items []feed.Item
	First bool
	Last  bool
}
