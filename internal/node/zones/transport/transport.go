// Package transport carries reports, voter messages, overrides and status requests between processes.
//
// The calls are unary Connect RPCs over HTTP/1.1, encoded as CBOR. Client calls voters, NewHandler
// returns the HTTP handler of a voter, and an Outbox delivers a voter's messages to one other voter in
// order: its queue is bounded, each call has a deadline, and after a failure it waits for a jittered
// exponential backoff. Calls block and must not be made on an event loop.
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
	"ospreybend/internal/node/zones/encoding"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
)

const (
	service = "/ospreybend.fleet.v1.Fleet/" // on the wire
	// After these timeouts a call is useless, because the next report or message is due.
	reportTimeout     = 500 * time.Millisecond
	messageTimeout    = 500 * time.Millisecond
	overrideTimeout   = 5 * time.Second
	maxMessageBytes   = 4 << 20
	maxQueuedMessages = 64 // per voter; the oldest is dropped
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	idleConnTimeout   = time.Minute
)

// codec is the Connect codec. It uses the same encoding as the commands in the replicated log.
type codec struct{}

func (codec) Name() string                          { return "cbor" }
func (codec) Marshal(v any) ([]byte, error)         { return encoding.Marshal(v) }
func (codec) Unmarshal(data []byte, into any) error { return encoding.Unmarshal(data, into) }

// Ack is the empty response to a message or an override.
type Ack struct{}

// StatusRequest requests a voter's Status.
type StatusRequest struct{}

// Status is the state of the group as one voter sees it. The names are part of the operators' interface.
type Status struct {
	Voter        uint64            `cbor:"1,keyasint" json:"voter"`
	Leader       uint64            `cbor:"2,keyasint" json:"leader"` // 0: unknown
	Term         uint64            `cbor:"3,keyasint" json:"term"`
	AppliedIndex uint64            `cbor:"4,keyasint" json:"applied"`
	Voters       []uint64          `cbor:"5,keyasint" json:"voters"`
	Table        commands.Table    `cbor:"6,keyasint" json:"table"`
	Members      []MemberStatus    `cbor:"7,keyasint" json:"members"` // processes that report to this voter
	Assessments  map[string]string `cbor:"8,keyasint" json:"verdicts,omitempty"`
	Counts       replica.Counts    `cbor:"9,keyasint" json:"counts"`
}

// MemberStatus is the status of a process that reports to the voter.
type MemberStatus struct {
	Name           string        `cbor:"1,keyasint" json:"name"`
	Zone           string        `cbor:"2,keyasint" json:"zone"`
	Incarnation    uint64        `cbor:"3,keyasint" json:"incarnation"`
	SinceHeartbeat time.Duration `cbor:"4,keyasint" json:"silentNs"`
}

// Handler handles the calls to a voter. Its methods must be safe for concurrent use.
type Handler interface {
	Report(ctx context.Context, report follower.Report) (follower.Response, error)
	Deliver(ctx context.Context, message replica.Message) error
	ApplyOverride(ctx context.Context, override commands.Override) error
	Status(ctx context.Context) (Status, error)
}

// NewHandler returns the HTTP handler for the calls to a voter.
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

// handle registers one method. Errors other than Connect errors are sent as failed preconditions.
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

// Client calls voters. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that keeps at most four connections to each voter.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: idleConnTimeout,
		DialContext: (&net.Dialer{Timeout: reportTimeout}).DialContext}}}
}

// Close closes idle connections.
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

// Report sends a process's report to a voter.
func (c *Client) Report(ctx context.Context, address string, report follower.Report) (follower.Response, error) {
	return call[follower.Report, follower.Response](ctx, c, address, "Report", reportTimeout, report)
}

// Deliver sends a message to a voter.
func (c *Client) Deliver(ctx context.Context, address string, message replica.Message) error {
	_, err := call[replica.Message, Ack](ctx, c, address, "Deliver", messageTimeout, message)
	return err
}

// ApplyOverride sends an operator's override to a voter. It returns nil once the override is committed.
func (c *Client) ApplyOverride(ctx context.Context, address string, override commands.Override) error {
	_, err := call[commands.Override, Ack](ctx, c, address, "Say", overrideTimeout, override)
	return err
}

// Status returns a voter's status.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return call[StatusRequest, Status](ctx, c, address, "Status", reportTimeout, StatusRequest{})
}

// Outbox delivers messages to one voter in order. Its goroutine ends when the context given to NewOutbox is done.
type Outbox struct {
	client  *Client
	address string
	queue   chan replica.Message
}

// NewOutbox returns an outbox that delivers to the voter at address until ctx is done.
func NewOutbox(ctx context.Context, c *Client, address string) *Outbox {
	o := &Outbox{client: c, address: address, queue: make(chan replica.Message, maxQueuedMessages)}
	go o.run(ctx)
	return o
}

// Enqueue queues a message. If the queue is full, the oldest message is dropped; the consensus core resends its
// content. Enqueue must not be called concurrently.
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

// run delivers queued messages until ctx is done, with a backoff after each failure.
func (o *Outbox) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = initialBackoff, maxBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-o.queue:
			message = o.mergeQueued(message)
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

// mergeQueued merges the queued messages into the given one. On a slow link, one call per message would deliver
// increasingly old messages.
func (o *Outbox) mergeQueued(message replica.Message) replica.Message {
	for len(message.Log) < maxQueuedMessages {
		select {
		case next := <-o.queue:
			message = message.Merge(next)
		default:
			return message
		}
	}
	return message
}
