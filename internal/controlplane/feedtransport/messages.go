package feedtransport

import (
	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Roles of a reader of the feed.
const (
	RoleAgent = "agent"
	RoleProxy = "proxy"
)

// Offset says how far a reader has a shard.
type Offset struct {
	Shard shards.ID
	Index uint64 // 0: nothing of it
}

// Hello is the first message of a reader.
type Hello struct {
	Node        string
	Zone        string
	Region      string
	IP          string
	Role        string // RoleAgent or RoleProxy
	Incarnation uint64 // differs between two starts of the same node's process
	Offsets     []Offset
	Compressed  bool // the reader takes frames of KindCompressed
}

// ShardStatus is what a server says of one shard.
type ShardStatus struct {
	Shard   shards.ID
	Index   uint64 // how far the server has it
	Current bool   // the server knows that it is not behind the shard's owner
}

// ServerEndpoint is one keeper that the server knows of. Zone and Region are empty where unknown.
type ServerEndpoint struct {
	Address string // any address of its own IP, "ip:port"; clients take the IP alone
	Zone    string
	Region  string
}

// Status is what a server says at short intervals.
type Status struct {
	Sequence uint64 // of the statuses of one connection; set by the server's session
	Shards   []ShardStatus
	Servers  []ServerEndpoint // on the wire empty where they are as in the status before
}

// Current tells whether all shards of the status are current. A status without shards is not.
func (s Status) Current() bool {
	for _, shard := range s.Shards {
		if !shard.Current {
			return false
		}
	}
	return len(s.Shards) > 0
}

// Report is a message on a topic that the feed itself knows nothing of, in either direction.
// Delivery is best effort.
type Report struct {
	Topic string
	Body  []byte
}

// Changes are changes of one shard, by ascending index.
type Changes struct {
	Shard   shards.ID
	Changes []feed.Change
}

// SnapshotPart is one frame's share of a snapshot. The parts of a snapshot come one after the
// other; the whole takes hold with the last of them.
type SnapshotPart struct {
	Shard shards.ID
	Index uint64
	Items []feed.Item
	First bool
	Last  bool
}
