package feedtransport

import (
	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Roles of a reader, as Hello has them.
const (
	RoleAgent = "agent"
	RoleProxy = "proxy"
)

// Offset is the index up to which a reader has a shard.
type Offset struct {
	Shard shards.ID
	Index uint64 // 0: nothing
}

// Hello is the first message of a reader.
type Hello struct {
	Node        string
	Zone        string
	Region      string
	IP          string
	Role        string // RoleAgent or RoleProxy
	Incarnation uint64 // differs between two starts of a node's process
	Offsets     []Offset
	Compressed  bool // the reader accepts frames of KindCompressed
}

// ShardStatus is a server's status of one shard.
type ShardStatus struct {
	Shard   shards.ID
	Index   uint64 // up to which the server has the shard
	Current bool   // the server has confirmed that it is not behind the shard's owner
}

// ServerEndpoint is the address of one control plane server. Zone and Region are empty where unknown. The encoding uses the
// names of the fields.
type ServerEndpoint struct {
	Address string // any address of the server, "ip:port"; clients use only the IP
	Zone    string
	Region  string
}

// Status is sent by a server at short intervals, and at once when it has changed.
type Status struct {
	Sequence uint64 // counts the statuses of a connection; set by the server's session
	Shards   []ShardStatus
	Servers  []ServerEndpoint // known servers; on the wire empty where they are the same as in the status before
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

// Report is a message on a topic, in either direction. The package does not interpret its body. Delivery is best effort.
type Report struct {
	Topic string
	Body  []byte
}

// Changes are consecutive changes of one shard, by ascending index.
type Changes struct {
	Shard   shards.ID
	Changes []feed.Change
}

// SnapshotPart is the part of a snapshot that one frame carries. The parts of a snapshot are sent one after the other; the
// snapshot takes effect with the last of them.
type SnapshotPart struct {
	Shard shards.ID
	Index uint64
	Items []feed.Item
	First bool
	Last  bool
}
