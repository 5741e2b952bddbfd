package localfleet

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	operatorCallTimeout = 3 * time.Second
	operatorRetryPause  = 50 * time.Millisecond
)

const (
	statusOK          = 200
	statusServerError = 500 // lowest status of a server error
)

// Operator is a client of the operator API. As the protocol requires, it retries a call that has no final answer
// unchanged on the next server.
type Operator struct {
	pool    *upstream.Pool
	control []string
	next    atomic.Uint64
}

// NewOperator returns an operator for the given control addresses.
func NewOperator(control []string) *Operator {
	return &Operator{pool: upstream.New(upstream.Options{}), control: control}
}

// Close closes the operator's connections.
func (o *Operator) Close() { o.pool.Close() }

// RejectedError is returned for a call that a server rejected with a final status.
type RejectedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e RejectedError) Error() string { return "rejected: " + strconv.Itoa(e.Status) + " " + e.Body }

// Replace sends a complete configuration, with retries until it is accepted or rejected, or the context ends.
func (o *Operator) Replace(ctx context.Context, base uint64, body []byte) error {
	_, err := o.call(ctx, "POST", "/-/Config.Replace", base, body)
	return err
}

// Update sends a configuration change, with retries until it is accepted or rejected, or the context ends.
func (o *Operator) Update(ctx context.Context, base uint64, body []byte) error {
	_, err := o.call(ctx, "POST", "/-/Config.Update", base, body)
	return err
}

// Read returns the configuration in force.
func (o *Operator) Read(ctx context.Context) ([]byte, error) {
	return o.call(ctx, "GET", "/-/Config.Read", 0, nil)
}

// call tries the servers in turn until one gives a final answer. A status below 500 is final.
func (o *Operator) call(ctx context.Context, method, target string, base uint64, body []byte) ([]byte, error) {
	for {
		address := o.control[o.next.Load()%uint64(len(o.control))]
		response, err := o.Ask(ctx, address, method, target, base, body)
		switch {
		case err == nil && response.Status == statusOK:
			return response.Body, nil
		case err == nil && response.Status < statusServerError:
			return nil, RejectedError{Status: response.Status, Body: string(response.Body)}
		}
		o.next.Add(1)
		if !pause(ctx, operatorRetryPause) {
			return nil, eris.Wrap(ctx.Err(), "no final answer from a server")
		}
	}
}

// Ask makes a single call to one address and returns the response with any status.
func (o *Operator) Ask(ctx context.Context, address, method, target string, base uint64, body []byte) (*upstream.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	response, failure := o.pool.RoundTrip(ctx, &upstream.Request{Address: address, Method: method, Target: target, Body: body,
		Header: http1.Header{{Name: "Host", Value: address}, {Name: "Content-Type", Value: "application/json"},
			{Name: "X-Base-Version", Value: strconv.FormatUint(base, 10)}}})
	if failure != nil {
		return nil, failure
	}
	return response, nil
}

// pause waits for the given time. It returns false if the context ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
