package feedtransport

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Handler takes what a client receives. One goroutine calls it, that of Run; what it is given is
// its own to keep.
type Handler interface {
	// Snapshot replaces all that is held of a shard.
	Snapshot(shard shards.ID, snapshot feed.Snapshot)
	// Change takes a shard on by one entry.
	Change(shard shards.ID, change feed.Change)
	Status(status Status)
	Connected(address string)
	Disconnected(err error)
}

// BatchHandler is a Handler that is told when all of one frame's changes, or a whole snapshot,
// have been handed over.
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
	Hello    Hello // Offsets: what is held already
	Selector SelectorOptions
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: Dial
	Random   func() float64                                              // uniform in [0, 1); nil: rand.Float64
	Omit     []Guard                                                     // guards left out, by tests alone
}

// Client reads the feed from one server at a time and goes to another when that one fails.
type Client struct {
	hello    Hello
	handler  Handler
	dial     func(ctx context.Context, address string) (net.Conn, error)
	selector *ServerSelector
	receiver *receiver
	outbox   *outbox
	servers  []ServerEndpoint // that a server has named last; it names them again when they change
}

// NewClient prepares a client.
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

// NewProxyClient prepares the client of a proxy, which reads from the agent of its own machine.
// The agent's port is the second of the machine's range (settings' portRange[1]). Role is set.
func NewProxyClient(hello Hello, agentPort int, handler Handler) *Client {
	hello.Role = RoleProxy
	selector := SelectorOptions{
		Node:           hello.Node,
		FixedServer:    LoopbackAddress(agentPort),
		ReceiveTimeout: LoopbackReceiveTimeout,
	}
	return NewClient(ClientOptions{Hello: hello, Selector: selector}, handler)
}

// LoopbackAddress is where an agent serves its proxy.
func LoopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Run reads until ctx ends, and returns its error.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		address, wait := c.selector.Next(time.Now())
		if !pause(ctx, wait) {
			break
		}
		err := c.attempt(ctx, address)
		c.selector.AttemptEnded(time.Now(), err)
	}
	return ctx.Err()
}

// Report has a report sent to the server, once connected. It does not block; the oldest reports are
// dropped where too many wait.
func (c *Client) Report(topic string, body []byte) { c.outbox.add(Report{Topic: topic, Body: body}) }

// attempt dials a server and follows its feed. It returns why that ended.
func (c *Client) attempt(ctx context.Context, address string) error {
	if address == "" {
		return ErrNoServer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(c.selector.DialTimeout(), cancel)
	connection, err := c.dial(ctx, address)
	if !limit.Stop() && err == nil {
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

// serveConnection reads one connection until it fails, is to be left, or ctx ends, and closes it.
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

// send writes the hello and then reports as they come, until ctx ends or a write fails.
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

func appendReports(frames []byte, reports []Report) ([]byte, error) {
	for _, report := range reports {
		var err error
		if frames, err = AppendReport(frames, report); err != nil {
			return nil, err
		}
	}
	return frames, nil
}
