package upstream

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const maxEventBytes = 1 << 20 // limit of an unfinished event

// ErrDeadline is returned by Stream.Next if the deadline passes before an event is complete. The stream remains readable.
var ErrDeadline = errors.New("upstream: no event by the deadline")

// Stream is the body of an event stream. Next must not be called concurrently; Close and SetDeadline may be called at any time and
// from any goroutine.
type Stream struct {
	roundTrip *roundTrip
	body      http1.BodyReader
	splitter  eventSplitter
	batch     Batch
	finalErr  error // result of all further calls of Next

	mu          sync.Mutex // guards the fields below
	ended       bool       // whether the connection was released or closed
	deadlineSet bool       // whether a read deadline must be removed from the connection
}

// Next waits for the next complete events. It returns io.EOF after a batch with Last, a *Failure if the stream was truncated or
// malformed, and ErrDeadline if the deadline has passed.
func (s *Stream) Next() (*Batch, error) {
	if s.finalErr != nil {
		return nil, s.finalErr
	}
	s.splitter.discardComplete()
	for {
		if err := s.decodeInput(); err != nil {
			return nil, s.fail(err)
		}
		if len(s.splitter.complete) > 0 || s.body.Done {
			return s.nextBatch(), nil
		}
		err := s.roundTrip.conn.readMore()
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && s.body.UntilClose && len(s.splitter.unfinished()) == 0 && s.roundTrip.closedCleanly():
			s.body.Done = true
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrDeadline
		default:
			return nil, s.fail(err)
		}
	}
}

// decodeInput decodes the received bytes of the body and splits them into events.
func (s *Stream) decodeInput() error {
	c := s.roundTrip.conn
	for {
		data, used, statusErr := s.body.Next(c.input.Bytes())
		if statusErr != nil {
			return s.deferUntilDelivered(statusErr)
		}
		s.splitter.append(data)
		c.input.Discard(used)
		if len(s.splitter.unfinished()) > maxEventBytes {
			return s.deferUntilDelivered(errTooLarge)
		}
		if used == 0 {
			return nil
		}
	}
}

// deferUntilDelivered returns nil instead of the error while there are complete events to be returned first. The error recurs at the
// next call of Next, because the input that caused it is kept.
func (s *Stream) deferUntilDelivered(err error) error {
	if len(s.splitter.complete) > 0 {
		return nil
	}
	return err
}

// nextBatch returns the complete events, and releases the connection at the end of the body.
func (s *Stream) nextBatch() *Batch {
	unterminated := s.body.Done && s.splitter.endUnfinished()
	raw, events := s.splitter.takeEvents()
	if unterminated {
		events[len(events)-1].Unterminated = true
	}
	s.batch = Batch{Raw: raw, Events: events, Last: s.body.Done, ReadAt: s.roundTrip.conn.pool.now()}
	if s.body.Done {
		s.finalErr = io.EOF
		s.endOnce(s.releaseConn)
	}
	return &s.batch
}

// releaseConn releases the connection after a complete body.
func (s *Stream) releaseConn() {
	if s.deadlineSet {
		_ = s.roundTrip.conn.socket.SetReadDeadline(time.Time{})
	}
	s.roundTrip.releaseConn(s.body.UntilClose)
}

// endOnce calls end unless the connection has already been released or closed.
func (s *Stream) endOnce(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		end()
	}
}

// fail closes the connection and returns the Failure, which all further calls of Next return as well.
func (s *Stream) fail(err error) error {
	failure := s.roundTrip.fail(err)
	failure.Partial = bytes.Clone(s.splitter.unfinished())
	s.endOnce(func() {})
	s.finalErr = failure
	return failure
}

// SetDeadline sets the time at which a blocked call of Next returns ErrDeadline; the zero time means no deadline. It may be called
// while Next blocks.
func (s *Stream) SetDeadline(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.deadlineSet = true
		_ = s.roundTrip.conn.socket.SetReadDeadline(at)
	}
}

// Close ends the stream and closes its connection unless the body is complete. It may be called several times.
func (s *Stream) Close() { s.endOnce(s.roundTrip.abort) }
