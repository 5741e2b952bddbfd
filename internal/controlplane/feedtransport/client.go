package feedtransport

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Handler receives the feed of a Client. The goroutine of Client.Run calls all methods. The handler may retain the arguments
// of its methods.
type Handler interface {
	// Snapshot replaces all items of a shard.
	Snapshot(shard shards.ID, snapshot feed.Snapshot)
	// Change applies the change of one log entry to a shard.
	Change(shard shards.ID, change feed.Change)
	// Status receives the server's status. The changes up to the indexes in the status have been received before.
	Status(status Status)
	// Connected is called when a connection to a server has been opened.
	Connected(address string)
	// Disconnected is called when that connection has ended, with the reason.
	Disconnected(err error)
}

// BatchHandler is a Handler that is notified after all changes of one frame, and after a complete snapshot.
type BatchHandler interface {
	Handler
	// BatchDone is called after the last Change or Snapshot of a batch.
	BatchDone()
}

// ReportHandler is a Handler that also receives the server's reports.
type ReportHandler interface {
	Handler
	// Report receives one report.
	Report(report Report)
}

// ClientOptions configure a Client: what it sends in its Hello and how it selects and dials servers.
type ClientOptions struct {
	Hello    Hello // Offsets: what the handler already has
	Selector SelectorOptions
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: Dial
	Random   func() float64                                              // uniform in [0, 1); nil: rand.Float64
	Omit     []Guard                                                     // checks that tests disable
}

// Client reads the feed from one server at a time and fails over to others. Only the goroutine of Run may use its fields,
// except for outbox and newSeeds.
type Client struct {
	hello    Hello
	handler  Handler
	dial     func(ctx context.Context, address string) (net.Conn, error)
	selector *ServerSelector
	receiver *receiver
	outbox   *outbox
	newSeeds atomic.Pointer[[]string] // seeds that the selector does not have yet; nil: none
	servers  []ServerEndpoint         // from the last status that listed servers; a status lists them only when they have changed
}

// NewClient returns a client that is not connected yet; Run connects it.
func NewClient(options ClientOptions, handler Handler) *Client {
	dial := options.Dial
	if dial == nil {
		dial = Dial
	}
	random := options.Random
	if random == nil {
		random = rand.Float64
	}
	return &Client{
		hello:    options.Hello,
		handler:  handler,
		dial:     dial,
		selector: NewServerSelector(options.Selector, random),
		receiver: newReceiver(options.Hello.Offsets, options.Omit...),
		outbox:   newOutbox(),
	}
}

// NewProxyClient returns the client of a proxy, which reads from the agent on the same machine at agentPort. It sets the Role
// of hello to RoleProxy.
func NewProxyClient(hello Hello, agentPort int, handler Handler) *Client {
	hello.Role = RoleProxy
	selector := SelectorOptions{
		Node:           hello.Node,
		FixedServer:    LoopbackAddress(agentPort),
		ReceiveTimeout: LoopbackReceiveTimeout,
	}
	return NewClient(ClientOptions{Hello: hello, Selector: selector}, handler)
}

// LoopbackAddress returns the address at which an agent serves its proxy.
func LoopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Run reads the feed until ctx ends, and returns the error of ctx.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if seeds := c.newSeeds.Swap(nil); seeds != nil {
			c.selector.SetSeeds(*seeds)
		}
		address, wait := c.selector.Next(time.Now())
		if !sleep(ctx, wait) {
			break
		}
		err := c.attempt(ctx, address)
		c.selector.AttemptEnded(time.Now(), err)
	}
	return ctx.Err()
}

// SetSeeds replaces the addresses of the servers that the client tries besides those that the last server has listed. They are used from the
// next attempt to connect on. It may be called from any goroutine.
func (c *Client) SetSeeds(seeds []string) { c.newSeeds.Store(&seeds) }

// Report queues a report, which is sent to the server once the client is connected. It does not block; if too many reports are
// queued, the oldest are dropped. It may be called from any goroutine.
func (c *Client) Report(topic string, body []byte) { c.outbox.add(Report{Topic: topic, Body: body}) }

// attempt dials a server and reads its feed. It returns the reason why the attempt failed or the connection ended.
func (c *Client) attempt(ctx context.Context, address string) error {
	if address == "" {
		return ErrNoServer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialTimer := time.AfterFunc(c.selector.AttemptTimeout(), cancel)
	connection, err := c.dial(ctx, address)
	if !dialTimer.Stop() && err == nil {
		_ = connection.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		return err
	}
	c.selector.Connected(time.Now())
	c.handler.Connected(address)
	err = c.serveConnection(ctx, connection)
	c.handler.Disconnected(err)
	return err
}

// serveConnection reads one connection until it fails, the selector leaves the server, or ctx ends, and closes it. A second
// goroutine writes the hello and the reports; it has ended when serveConnection returns.
func (c *Client) serveConnection(ctx context.Context, connection net.Conn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()

	hello := c.hello
	hello.Offsets = c.receiver.reset()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		if err := c.send(ctx, connection, hello); err != nil {
			cancel(err)
		}
	}()
	err := c.receive(connection)
	cancel(err)
	_ = connection.Close()
	<-writerDone
	return context.Cause(ctx)
}

// send writes the hello, and then reports as they are queued, until ctx ends or a write fails.
func (c *Client) send(ctx context.Context, connection net.Conn, hello Hello) error {
	frames, err := AppendHello(nil, hello)
	if err != nil {
		return err
	}
	for {
		if frames, err = appendReports(frames, c.outbox.drain()); err != nil {
			return err
		}
		if err := writeAll(connection, frames, WriteTimeout); err != nil {
			return err
		}
		frames = nil
		select {
		case <-ctx.Done():
			return nil
		case <-c.outbox.ready:
		}
	}
}

// appendReports appends reports to frames, one frame for each.
func appendReports(frames []byte, reports []Report) ([]byte, error) {
	for _, report := range reports {
		var err error
		if frames, err = AppendReport(frames, report); err != nil {
			return nil, err
		}
	}
	return frames, nil
}
