package feedlink

import (
	"context"
	"net"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Handler takes what a client receives. One goroutine calls it.
type Handler interface {
	// Snapshot replaces all that is held of a shard.
	Snapshot(shard shards.ID, snapshot feed.Snapshot)
	// Change takes a shard on by one entry.
	Change(shard shards.ID, change feed.Change)
	Status(status Status)
	Connected(address string)
	Disconnected(err error)
}

// BatchHandler is a Handler that is told when all that arrived together has been handed over.
type BatchHandler interface {
	Handler
	BatchDone()
}

// ReportHandler is a Handler that takes reports of the server.
type ReportHandler interface {
	Handler
	Report(report Report)
}

// ClientOptions say who reads and from whom.
type ClientOptions struct {
	Hello  Hello // Offsets: what is held already
	Choice ChoiceOptions
	Dial   func(ctx context.Context, address string) (net.Conn, error) // nil: Dial
	Now    func() time.Time                                            // nil: time.Now
}

// Client reads the feed from one server at a time and goes to another when that one fails.
type Client struct{}

// NewClient prepares a client.
func NewClient(options ClientOptions, handler Handler) *Client { return &Client{} }

// NewProxyClient prepares the client of a proxy, which reads from the agent of its own machine.
// The agent's port is the second of the machine's range (settings' portRange[1]).
func NewProxyClient(hello Hello, agentPort int, handler Handler) *Client { return &Client{} }

// Run reads until ctx ends, and returns its error.
func (c *Client) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

// Report has a report sent to the server, once connected. It does not block; the oldest reports are
// dropped where too many wait.
func (c *Client) Report(topic string, body []byte) {}
