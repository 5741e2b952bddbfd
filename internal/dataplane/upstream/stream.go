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

const maxEventBytes = 1 << 20 // of an event that has not ended

// ErrDeadline is returned by Stream.Next if the deadline passes first. The stream can be read further.
var ErrDeadline = errors.New("upstream: no event by the deadline")

// Stream is the body of an event stream. Next is called by one goroutine at a time; Close and SetDeadline by any.
type Stream struct {
	roundTrip *roundTrip
	body      http1.BodyReader
	splitter  eventSplitter
	batch     Batch
	finalErr  error // returned by all further calls of Next

	mu          sync.Mutex // guards all below
	ended       bool       // the connection was released or closed
	deadlineSet bool       // the connection has a read deadline to be removed
}

// Next waits for the next events. It returns io.EOF after a batch with Last, a *Failure if the stream was truncated, and ErrDeadline
// if the deadline has passed.
func (s *Stream) Next() (*Batch, error) {
	if s.finalErr != nil {
		return nil, s.finalErr
	}
	s.splitter.discardComplete()
	for {
		if err := s.splitInput(); err != nil {
			return nil, s.fail(err)
		}
		if len(s.splitter.complete) > 0 || s.body.Done {
			return s.nextBatch(), nil
		}
		err := s.roundTrip.conn.readMore()
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && s.body.UntilClose && len(s.splitter.unfinished()) == 0 && s.roundTrip.endedCleanly():
			s.body.Done = true
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrDeadline
		default:
			return nil, s.fail(err)
		}
	}
}

// splitInput decodes the bytes received and splits them into events.
func (s *Stream) splitInput() error {
	c := s.roundTrip.conn
	for {
		data, used, statusErr := s.body.Next(c.input.Bytes())
		if statusErr != nil {
			return s.deferWhileEvents(statusErr)
		}
		s.splitter.append(data)
		c.input.Discard(used)
		if len(s.splitter.unfinished()) > maxEventBytes {
			return s.deferWhileEvents(errTooLong)
		}
		if used == 0 {
			return nil
		}
	}
}

// deferWhileEvents returns nil while there are complete events to return before the error. The next call meets the error again, as
// the input stays.
func (s *Stream) deferWhileEvents(err error) error {
	if len(s.splitter.complete) > 0 {
		return nil
	}
	return err
}

// nextBatch returns the complete events.
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

// releaseConn ends the use of the connection after a complete body.
func (s *Stream) releaseConn() {
	if s.deadlineSet {
		_ = s.roundTrip.conn.socket.SetReadDeadline(time.Time{})
	}
	s.roundTrip.releaseConn(s.body.UntilClose)
}

// endOnce calls end if the use of the connection has not ended.
func (s *Stream) endOnce(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		end()
	}
}

// fail closes the connection and makes the failure the result of all further calls of Next.
func (s *Stream) fail(err error) error {
	failure := s.roundTrip.fail(err)
	failure.Partial = bytes.Clone(s.splitter.unfinished())
	s.endOnce(func() {})
	s.finalErr = failure
	return failure
}

// SetDeadline sets the time at which a waiting Next returns ErrDeadline; the zero time stands for none. It may be called while Next
// waits.
func (s *Stream) SetDeadline(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.deadlineSet = true
		_ = s.roundTrip.conn.socket.SetReadDeadline(at)
	}
}

// Close ends the stream. Its connection is closed unless the body is complete. It may be called at any time, from any goroutine.
func (s *Stream) Close() { s.endOnce(s.roundTrip.abort) }
