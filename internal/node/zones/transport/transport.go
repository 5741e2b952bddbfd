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
	reportWithin = 500 * time.Millisecond
	letterWithin = 500 * time.Millisecond
	sayWithin    = 5 * time.Second
	mostBytes    = 4 << 20 // of a message
	queueLength  = 64      // letters to a voter that wait; the oldest gives way
	firstWait    = 20 * time.Millisecond
	mostWait     = 500 * time.Millisecond
	idleFor      = time.Minute
)

// codec writes messages as they go into the agreed log.
type codec struct{}

func (codec) Name() string                          { return "cbor" }
func (codec) Marshal(v any) ([]byte, error)         { return commands.Encode(v) }
func (codec) Unmarshal(text []byte, into any) error { return commands.Decode(text, into) }

// Taken answers a letter.
type Taken struct{}

// Ask asks a voter how things stand.
type Ask struct{}

// Status is how things stand, as one voter sees it.
type Status struct {
	Voter    uint64            `cbor:"1,keyasint" json:"voter"`
	Leader   uint64            `cbor:"2,keyasint" json:"leader"` // 0: none is known
	Term     uint64            `cbor:"3,keyasint" json:"term"`
	Applied  uint64            `cbor:"4,keyasint" json:"applied"`
	Voters   []uint64          `cbor:"5,keyasint" json:"voters"`
	Table    commands.Table    `cbor:"6,keyasint" json:"table"`
	Members  []Member          `cbor:"7,keyasint" json:"members"` // that report to this voter
	Verdicts map[string]string `cbor:"8,keyasint" json:"verdicts,omitempty"`
	Counts   replica.Counts    `cbor:"9,keyasint" json:"counts"`
}

// Member is a process that reports to a voter.
type Member struct {
	Name        string        `cbor:"1,keyasint" json:"name"`
	Zone        string        `cbor:"2,keyasint" json:"zone"`
	Incarnation uint64        `cbor:"3,keyasint" json:"incarnation"`
	Silent      time.Duration `cbor:"4,keyasint" json:"silentNs"`
}

// Handler is a voter, as its links see it. Calls come from many goroutines.
type Handler interface {
	Report(ctx context.Context, r follower.Report) (follower.Answer, error)
	Deliver(ctx context.Context, l replica.Letter) error
	Say(ctx context.Context, w commands.Word) error
	Status(ctx context.Context) (Status, error)
}

// Serve makes the HTTP side of a voter.
func Serve(h Handler) http.Handler {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(mostBytes)}
	handle(mux, "Report", options, h.Report)
	handle(mux, "Deliver", options, func(ctx context.Context, l replica.Letter) (Taken, error) { return Taken{}, h.Deliver(ctx, l) })
	handle(mux, "Say", options, func(ctx context.Context, w commands.Word) (Taken, error) { return Taken{}, h.Say(ctx, w) })
	handle(mux, "Status", options, func(ctx context.Context, _ Ask) (Status, error) { return h.Status(ctx) })
	return mux
}

func handle[In, Out any](mux *http.ServeMux, name string, options []connect.HandlerOption, f func(context.Context, In) (Out, error)) {
	mux.Handle(service+name, connect.NewUnaryHandler(service+name, func(ctx context.Context, in *connect.Request[In]) (*connect.Response[Out], error) {
		out, err := f(ctx, *in.Msg)
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
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: idleFor,
		DialContext: (&net.Dialer{Timeout: reportWithin}).DialContext}}}
}

// Close lets go of idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func call[In, Out any](ctx context.Context, c *Client, address, name string, within time.Duration, in In) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	caller := connect.NewClient[In, Out](c.http, "http://"+address+service+name, connect.WithCodec(codec{}), connect.WithReadMaxBytes(mostBytes))
	out, err := caller.CallUnary(ctx, connect.NewRequest(&in))
	if err != nil {
		var none Out
		return none, fmt.Errorf("voter at %s: %w", address, err)
	}
	return *out.Msg, nil
}

// Report reports to a voter.
func (c *Client) Report(ctx context.Context, address string, r follower.Report) (follower.Answer, error) {
	return call[follower.Report, follower.Answer](ctx, c, address, "Report", reportWithin, r)
}

// Deliver sends a letter to a voter.
func (c *Client) Deliver(ctx context.Context, address string, l replica.Letter) error {
	_, err := call[replica.Letter, Taken](ctx, c, address, "Deliver", letterWithin, l)
	return err
}

// Say has a voter put what a person has said.
func (c *Client) Say(ctx context.Context, address string, w commands.Word) error {
	_, err := call[commands.Word, Taken](ctx, c, address, "Say", sayWithin, w)
	return err
}

// Status asks a voter how things stand.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return call[Ask, Status](ctx, c, address, "Status", reportWithin, Ask{})
}

// Mail carries letters to one voter, in order, as long as it answers.
type Mail struct {
	client  *Client
	address string
	queue   chan replica.Letter
}

// NewMail starts to carry until ctx ends.
func NewMail(ctx context.Context, c *Client, address string) *Mail {
	m := &Mail{client: c, address: address, queue: make(chan replica.Letter, queueLength)}
	go m.carry(ctx)
	return m
}

// Put has a letter carried. Where the queue is full the oldest gives way: what it said of
// the log is said again. It is called by one goroutine alone.
func (m *Mail) Put(l replica.Letter) {
	for {
		select {
		case m.queue <- l:
			return
		default:
		}
		select {
		case <-m.queue:
		default:
		}
	}
}

func (m *Mail) carry(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstWait, mostWait
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-m.queue:
			// What has come meanwhile goes along: on a slow link one call after the other would
			// tell ever older things.
			for more := true; more && len(l.Log) < queueLength; {
				select {
				case next := <-m.queue:
					l = l.And(next)
				default:
					more = false
				}
			}
			if m.client.Deliver(ctx, m.address, l) == nil {
				wait.Reset()
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.NextBackOff()):
		}
	}
}
