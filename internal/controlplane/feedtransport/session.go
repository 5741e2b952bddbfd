package feedtransport

import (
	"bufio"
	"context"
	"net"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Source is the state that a server's sessions send. Its methods may be called from several goroutines.
type Source interface {
	// Shards returns the shards that the source has.
	Shards() []shards.ID
	// Since returns what brings a reader up to date from index: the changes above it, in ascending order of their indexes, or
	// a snapshot if those are no longer retained. Both are nil if there is nothing above index. The source must not modify
	// the results afterwards.
	Since(shard shards.ID, index uint64) (changes []feed.Change, snapshot *feed.Snapshot)
	// Status returns the current status of the source. Its Sequence is ignored.
	Status() Status
	// Subscribe makes the source send a token to wake, without blocking, whenever a shard has advanced or has become current
	// or stale, and whenever the list of servers has changed, until cancel is called.
	Subscribe(wake chan<- struct{}) (cancel func())
	// OnReport receives a report of a session's reader. It must not block.
	OnReport(hello Hello, topic string, body []byte)
}

// Intervals of a session.
const (
	// StatusInterval is the maximum time between two statuses to an agent.
	StatusInterval = 400 * time.Millisecond
	// LoopbackStatusInterval is the StatusInterval for the proxy on the same machine.
	LoopbackStatusInterval = 2 * time.Second
	// BatchInterval is how long updates are collected, so that one write carries all that was committed in that time. The
	// first update after an interval without updates is sent immediately. All sessions send further ones at multiples of the
	// interval since the origin, so that sessions at the same offset need the same frames.
	BatchInterval = 40 * time.Millisecond
)

// SessionOptions are the intervals and the shared state of a session. A zero duration stands for the constant of that name.
type SessionOptions struct {
	StatusInterval time.Duration
	BatchInterval  time.Duration
	WriteTimeout   time.Duration
	Encoder        *Encoder  // shared by the sessions of a server; nil: no compression
	IntervalOrigin time.Time // time from which the multiples of the intervals are counted; zero: start of the process
}

func (o SessionOptions) withDefaults() SessionOptions {
	if o.StatusInterval == 0 {
		o.StatusInterval = StatusInterval
	}
	if o.BatchInterval == 0 {
		o.BatchInterval = BatchInterval
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = WriteTimeout
	}
	if o.IntervalOrigin.IsZero() {
		o.IntervalOrigin = processStart
	}
	return o
}

// Session is the server side of one connection. Run uses two goroutines: the one of its caller writes, and another one reads
// the reports of the reader. Only the writing goroutine uses the fields below outbox.
type Session struct {
	connection   net.Conn
	hello        Hello
	source       Source
	options      SessionOptions
	outbox       *outbox
	writer       *feedWriter
	lastUpdateAt time.Time // when a wake-up last caused an update to be sent
}

// NewSession returns the session of a connection whose first frame, with hello, has been read. The caller must call Run.
func NewSession(connection net.Conn, hello Hello, source Source, options SessionOptions) *Session {
	options = options.withDefaults()
	writer := newFeedWriter(connection, hello.Offsets, options.WriteTimeout)
	if hello.Compressed {
		writer.encoder = options.Encoder
	}
	return &Session{
		connection: connection,
		hello:      hello,
		source:     source,
		options:    options,
		outbox:     newOutbox(),
		writer:     writer,
	}
}

// Send queues a report for the reader. It does not block; if too many reports are queued, the oldest are dropped.
func (s *Session) Send(topic string, body []byte) { s.outbox.add(Report{Topic: topic, Body: body}) }

// Run serves the connection until it fails or ctx ends, and closes it. It returns the reason, which is io.EOF if the reader
// closed the connection.
func (s *Session) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { _ = s.connection.Close() })
	defer stop()

	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		cancel(s.readReports())
	}()
	err := s.write(ctx)
	cancel(err)
	_ = s.connection.Close()
	<-readerDone
	return context.Cause(ctx)
}

// readReports passes the reader's reports to the source until the connection fails.
func (s *Session) readReports() error {
	reader := bufio.NewReaderSize(s.connection, reportBufferBytes)
	for {
		kind, body, err := ReadFrame(reader)
		if err != nil {
			return err
		}
		if kind != KindReport {
			return UnexpectedKindError{Kind: kind}
		}
		report, err := DecodeReport(body)
		if err != nil {
			return err
		}
		s.source.OnReport(s.hello, report.Topic, report.Body)
	}
}

// write sends the state of the source, and its updates, until ctx ends or a write fails.
func (s *Session) write(ctx context.Context) error {
	wake := make(chan struct{}, 1)
	cancel := s.source.Subscribe(wake)
	defer cancel()

	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := s.sendUpdates(); err != nil {
			return err
		}
		timer.Reset(s.untilNextStatus(time.Now()))
		if !s.awaitUpdate(ctx, wake, timer) {
			return ctx.Err()
		}
	}
}

// awaitUpdate waits until an update or a status is due. It returns false if ctx ends first.
func (s *Session) awaitUpdate(ctx context.Context, wake <-chan struct{}, timer *time.Timer) bool {
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-wake:
	case <-s.outbox.ready:
	}
	if !sleep(ctx, s.batchDelay(time.Now())) {
		return false
	}
	s.lastUpdateAt = time.Now()
	return true
}

// batchDelay returns how long to wait for further updates before sending: 0 after an interval without updates.
func (s *Session) batchDelay(now time.Time) time.Duration {
	if now.Sub(s.lastUpdateAt) >= s.options.BatchInterval {
		return 0
	}
	return s.options.BatchInterval - s.sinceIntervalBoundary(now, s.options.BatchInterval)
}

// sendUpdates sends the updates of the shards, the status if it is due, and queued reports, in this order. It reads the status
// first, so that a reader that receives the status has each shard at least up to the index in the status.
func (s *Session) sendUpdates() error {
	status := s.source.Status()
	for _, shard := range s.source.Shards() {
		changes, snapshot := s.source.Since(shard, s.writer.sentOffsets[shard])
		if err := s.writer.writeShard(shard, changes, snapshot); err != nil {
			return err
		}
	}
	if s.writer.statusChanged(status) || s.untilNextStatus(time.Now()) <= 0 {
		if err := s.writer.writeStatus(status); err != nil {
			return err
		}
	}
	for _, report := range s.outbox.drain() {
		if err := s.writer.writeReport(report); err != nil {
			return err
		}
	}
	return s.writer.flush()
}

// untilNextStatus returns the time until the next status is due. Statuses are due at multiples of the interval since the
// origin, so that all sessions send theirs in one wake-up of the process.
func (s *Session) untilNextStatus(now time.Time) time.Duration {
	if s.writer.statusAt.IsZero() {
		return 0
	}
	latest := s.writer.statusAt.Add(s.options.StatusInterval)
	return latest.Add(-s.sinceIntervalBoundary(latest, s.options.StatusInterval)).Sub(now)
}

// sinceIntervalBoundary returns the time that has passed at moment since the last multiple of interval since the origin.
func (s *Session) sinceIntervalBoundary(moment time.Time, interval time.Duration) time.Duration {
	elapsed := moment.Sub(s.options.IntervalOrigin) % interval
	if elapsed < 0 {
		elapsed += interval
	}
	return elapsed
}

// processStart is the default of SessionOptions.IntervalOrigin.
var processStart = time.Now()

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
