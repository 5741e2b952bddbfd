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

const mostOpen = 1 << 20 // bytes of an event that has not ended

// ErrDeadline is returned by Stream.Next when the deadline passes first. The stream can be read on.
var ErrDeadline = errors.New("exchange: no event by the deadline")

// Stream is the body of an event stream. Next is called by one goroutine at a time.
type Stream struct {
	trip   *trip
	body   http1.BodyReader
	split  splitter
	batch  Batch
	result error // of all further calls of Next

	mu      sync.Mutex
	ended   bool // the connection is given back or closed
	bounded bool // a deadline was set
}

// Next waits for the next events. After a batch with Last it returns io.EOF, and after a stream cut short a
// *Failure.
func (s *Stream) Next() (*Batch, error) {
	if s.result != nil {
		return nil, s.result
	}
	s.split.drop()
	for {
		if err := s.takeIn(); err != nil {
			return nil, s.fail(err)
		}
		if len(s.split.whole) > 0 || s.body.Done {
			return s.handOn(), nil
		}
		err := s.trip.conn.more()
		switch {
		case err == nil:
		case err == io.EOF && s.body.UntilClose && len(s.split.rest()) == 0 && s.trip.endedInOrder():
			s.body.Done = true
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrDeadline
		default:
			return nil, s.fail(err)
		}
	}
}

// takeIn takes all events from what has come.
func (s *Stream) takeIn() error {
	c := s.trip.conn
	for {
		data, used, fault := s.body.Next(c.in.Bytes())
		if fault != nil {
			return s.holdBack(fault)
		}
		s.split.add(data)
		c.in.Discard(used)
		if len(s.split.rest()) > mostOpen {
			return s.holdBack(errLong)
		}
		if used == 0 {
			return nil
		}
	}
}

// holdBack lets the whole events before an error be handed on first: the error is met again with the same input.
func (s *Stream) holdBack(err error) error {
	if len(s.split.whole) > 0 {
		return nil
	}
	return err
}

// handOn returns the events that are whole.
func (s *Stream) handOn() *Batch {
	open := s.body.Done && s.split.endOpen()
	raw, events := s.split.take()
	if open {
		events[len(events)-1].Open = true
	}
	s.batch = Batch{Raw: raw, Events: events, Last: s.body.Done, ReadAt: s.trip.conn.pool.now()}
	if s.body.Done {
		s.result = io.EOF
		s.finish(s.giveBack)
	}
	return &s.batch
}

// giveBack ends the use of the connection after a whole body.
func (s *Stream) giveBack() {
	if s.bounded {
		_ = s.trip.conn.socket.SetReadDeadline(time.Time{})
	}
	s.trip.done(s.body.UntilClose)
}

// finish ends the use of the connection, once.
func (s *Stream) finish(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		end()
	}
}

func (s *Stream) fail(err error) error {
	failure := s.trip.fail(err)
	failure.Partial = bytes.Clone(s.split.rest())
	s.finish(func() {})
	s.result = failure
	return failure
}

// SetDeadline bounds the waiting of Next by real time; a zero time stands for no bound. It may be called while Next waits.
func (s *Stream) SetDeadline(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.bounded = true
		_ = s.trip.conn.socket.SetReadDeadline(at)
	}
}

// Close gives the stream up: its connection is closed unless the body has ended. It may be called at any time, from any goroutine.
func (s *Stream) Close() { s.finish(s.trip.giveUp) }
