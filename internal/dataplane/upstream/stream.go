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

const maxEventBytes = 1 << 20 // bytes of an event that has not ended

// ErrDeadline is returned by Stream.Next when the deadline passes first. The stream can be read on.
var ErrDeadline = errors.New("exchange: no event by the deadline")

// Stream is the body of an event stream. Next is called by one goroutine at a time.
type Stream struct {
	roundTrip *roundTrip
	body      http1.BodyReader
	splitter  eventSplitter
	batch     Batch
	finalErr  error // of all further calls of Next

	mu          sync.Mutex
	ended       bool // the connection is given back or closed
	deadlineSet bool // a deadline was set
}

// Next waits for the next events. After a batch with Last it returns io.EOF, and after a stream cut short a
// *Failure.
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
		case err == io.EOF && s.body.UntilClose && len(s.splitter.unfinished()) == 0 && s.roundTrip.endedCleanly():
			s.body.Done = true
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrDeadline
		default:
			return nil, s.fail(err)
		}
	}
}

// splitInput takes all events from what has come.
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

// deferWhileEvents lets the whole events before an error be handed on first: the error is met again with the same input.
func (s *Stream) deferWhileEvents(err error) error {
	if len(s.splitter.complete) > 0 {
		return nil
	}
	return err
}

// nextBatch returns the events that are whole.
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

// releaseConn ends the use of the connection after a whole body.
func (s *Stream) releaseConn() {
	if s.deadlineSet {
		_ = s.roundTrip.conn.socket.SetReadDeadline(time.Time{})
	}
	s.roundTrip.releaseConn(s.body.UntilClose)
}

// endOnce ends the use of the connection, once.
func (s *Stream) endOnce(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		end()
	}
}

func (s *Stream) fail(err error) error {
	failure := s.roundTrip.fail(err)
	failure.Partial = bytes.Clone(s.splitter.unfinished())
	s.endOnce(func() {})
	s.finalErr = failure
	return failure
}

// SetDeadline bounds the waiting of Next by real time; a zero time stands for no bound. It may be called while Next waits.
func (s *Stream) SetDeadline(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.deadlineSet = true
		_ = s.roundTrip.conn.socket.SetReadDeadline(at)
	}
}

// Close gives the stream up: its connection is closed unless the body has ended. It may be called at any time, from any goroutine.
func (s *Stream) Close() { s.endOnce(s.roundTrip.abort) }
