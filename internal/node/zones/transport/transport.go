// Package transport carries what the fleet's processes say to each other: calls by Connect
// over HTTP/1.1, in CBOR. A voter has a queue of bounded length for each other voter; each
// call has a deadline, and after a failure the next waits, longer each time and at random.
// Nothing here is waited for on an event loop.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
)

const (
	service = "/ospreybend.fleet.v1.Fleet/"
	// A call that takes longer says nothing more: the next report is due.
	reportTimeout     = 500 * time.Millisecond
	messageTimeout    = 500 * time.Millisecond
	overrideTimeout   = 5 * time.Second
	maxMessageBytes   = 4 << 20 // of a message
	maxQueuedMessages = 64      // letters to a voter that wait; the oldest gives way
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	idleConnTimeout   = time.Minute
)

// codec writes messages as they go into the agreed log.
type codec struct{}

func (codec) Name() string                          { return "cbor" }
func (codec) Marshal(v any) ([]byte, error)         { return commands.Encode(v) }
func (codec) Unmarshal(data []byte, into any) error { return commands.Decode(data, into) }

// Ack answers a letter.
type Ack struct{}

// StatusRequest asks a voter how things stand.
type StatusRequest struct{}

// Status is how things stand, as one voter sees it.
type Status struct {
	Voter    uint64            `cbor:"1,keyasint" json:"voter"`
	Leader   uint64            `cbor:"2,keyasint" json:"leader"` // 0: none is known
	Term     uint64            `cbor:"3,keyasint" json:"term"`
	Applied  uint64            `cbor:"4,keyasint" json:"applied"`
	Voters   []uint64          `cbor:"5,keyasint" json:"voters"`
	Table    commands.Table    `cbor:"6,keyasint" json:"table"`
	Members  []MemberStatus    `cbor:"7,keyasint" json:"members"` // that report to this voter
	Verdicts map[string]string `cbor:"8,keyasint" json:"verdicts,omitempty"`
	Counts   replica.Counts    `cbor:"9,keyasint" json:"counts"`
}

// MemberStatus is a process that reports to a voter.
type MemberStatus struct {
	Name           string        `cbor:"1,keyasint" json:"name"`
	Zone           string        `cbor:"2,keyasint" json:"zone"`
	Incarnation    uint64        `cbor:"3,keyasint" json:"incarnation"`
	SinceHeartbeat time.Duration `cbor:"4,keyasint" json:"silentNs"`
}

// Handler is a voter, as its links see it. Calls come from many goroutines.
type Handler interface {
	Report(ctx context.Context, r follower.Report) (follower.Response, error)
	Deliver(ctx context.Context, l replica.Message) error
	ApplyOverride(ctx context.Context, w commands.Override) error
	Status(ctx context.Context) (Status, error)
}

// NewHandler makes the HTTP side of a voter.
func NewHandler(handler Handler) http.Handler {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes)}
	handle(mux, "Report", options, handler.Report)
	handle(mux, "Deliver", options, func(ctx context.Context, message replica.Message) (Ack, error) {
		return Ack{}, handler.Deliver(ctx, message)
	})
	handle(mux, "Say", options, func(ctx context.Context, override commands.Override) (Ack, error) {
		return Ack{}, handler.ApplyOverride(ctx, override)
	})
	handle(mux, "Status", options, func(ctx context.Context, _ StatusRequest) (Status, error) { return handler.Status(ctx) })
	return mux
}

func handle[In, Out any](mux *http.ServeMux, name string, options []connect.HandlerOption, method func(context.Context, In) (Out, error)) {
	mux.Handle(service+name, connect.NewUnaryHandler(service+name, func(ctx context.Context, in *connect.Request[In]) (*connect.Response[Out], error) {
		out, err := method(ctx, *in.Msg)
		if err != nil {
			var known *connect.Error
			if !errors.As(err, &known) {
				err = connect.NewError(connect.CodeFailedPrecondition, err)
			}
			return nil, err
		}
		return connect.NewResponse(&out), nil
	}, options...))
}

// Client calls voters. It may be used by many goroutines.
type Client struct{ http *http.Client }

// NewClient makes one that keeps few connections to each voter.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: idleConnTimeout,
		DialContext: (&net.Dialer{Timeout: reportTimeout}).DialContext}}}
}

// Close lets go of idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func call[In, Out any](ctx context.Context, c *Client, address, name string, timeout time.Duration, in In) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	caller := connect.NewClient[In, Out](c.http, "http://"+address+service+name, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	out, err := caller.CallUnary(ctx, connect.NewRequest(&in))
	if err != nil {
		var none Out
		return none, fmt.Errorf("voter at %s: %w", address, err)
	}
	return *out.Msg, nil
}

// Report reports to a voter.
func (c *Client) Report(ctx context.Context, address string, report follower.Report) (follower.Response, error) {
	return call[follower.Report, follower.Response](ctx, c, address, "Report", reportTimeout, report)
}

// Deliver sends a letter to a voter.
func (c *Client) Deliver(ctx context.Context, address string, message replica.Message) error {
	_, err := call[replica.Message, Ack](ctx, c, address, "Deliver", messageTimeout, message)
	return err
}

// ApplyOverride has a voter put what a person has said.
func (c *Client) ApplyOverride(ctx context.Context, address string, override commands.Override) error {
	_, err := call[commands.Override, Ack](ctx, c, address, "Say", overrideTimeout, override)
	return err
}

// Status asks a voter how things stand.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return call[StatusRequest, Status](ctx, c, address, "Status", reportTimeout, StatusRequest{})
}

// Outbox carries letters to one voter, in order, as long as it answers.
type Outbox struct {
	client  *Client
	address string
	queue   chan replica.Message
}

// NewOutbox starts to carry until ctx ends.
func NewOutbox(ctx context.Context, c *Client, address string) *Outbox {
	o := &Outbox{client: c, address: address, queue: make(chan replica.Message, maxQueuedMessages)}
	go o.run(ctx)
	return o
}

// Enqueue has a letter carried. Where the queue is full the oldest gives way: what it said of
// the log is said again. It is called by one goroutine alone.
func (o *Outbox) Enqueue(message replica.Message) {
	for {
		select {
		case o.queue <- message:
			return
		default:
		}
		select {
		case <-o.queue:
		default:
		}
	}
}

func (o *Outbox) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = initialBackoff, maxBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-o.queue:
			// What has come meanwhile goes along: on a slow link one call after the other would
			// tell ever older things.
			for more := true; more && len(message.Log) < maxQueuedMessages; {
				select {
				case next := <-o.queue:
					message = message.Merge(next)
				default:
					more = false
				}
			}
			if o.client.Deliver(ctx, o.address, message) == nil {
				retry.Reset()
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retry.NextBackOff()):
		}
	}
}
