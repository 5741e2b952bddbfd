package feedtransport

import (
	"bufio"
	"context"
	"net"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Source is the state that a server's sessions send. Its methods may be called by several goroutines.
type Source interface {
	// Shards returns the shards that the source has.
	Shards() []shards.ID
	// Since returns what brings a reader up to date from index: the changes above it, by ascending index, or a snapshot
	// where those are no longer retained. Both are nil if there is nothing above index. The results must not be modified
	// afterwards.
	Since(shard shards.ID, index uint64) (changes []feed.Change, snapshot *feed.Snapshot)
	// Status returns the source's present status; Sequence is not used.
	Status() Status
	// Subscribe sends a token to wake, without blocking, whenever a shard has advanced, or whether one is current or the
	// list of servers has changed, until cancel is called.
	Subscribe(wake chan<- struct{}) (cancel func())
	// OnReport receives a report of the reader. It must not block.
	OnReport(hello Hello, topic string, body []byte)
}

// Intervals of a session.
const (
	// StatusInterval is the maximal time between two statuses to an agent.
	StatusInterval = 400 * time.Millisecond
	// LoopbackStatusInterval is the StatusInterval to the proxy of the same machine.
	LoopbackStatusInterval = 2 * time.Second
	// BatchInterval is the time for which updates are collected, so that one write carries all that was committed in it.
	// The first update after an interval without any is sent at once. Further ones are sent at the multiples of the interval
	// since the origin, by all sessions: those at the same offset need the same frames.
	BatchInterval = 40 * time.Millisecond
)

// SessionOptions are the intervals and the shared state of a session; zero durations stand for the constants.
type SessionOptions struct {
	StatusInterval time.Duration
	BatchInterval  time.Duration
	WriteTimeout   time.Duration
	Encoder        *Encoder  // shared by the sessions of a server; nil: no compression
	Origin         time.Time // of the intervals' multiples; zero: the start of the process
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
	if o.Origin.IsZero() {
		o.Origin = processStart
	}
	return o
}

// Session is the server's side of one connection. Run has two goroutines: its caller writes, and another reads the reports of
// the reader. The writer alone uses the fields below outbox.
type Session struct {
	connection   net.Conn
	hello        Hello
	source       Source
	options      SessionOptions
	outbox       *outbox
	writer       *feedWriter
	lastUpdateAt time.Time // when a wake-up last made it read the source
}

// NewSession returns the session of a connection whose first frame, hello, has been read. Run runs it.
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

// Send queues a report for the reader. It does not block; the oldest reports are dropped where too many are queued.
func (s *Session) Send(topic string, body []byte) { s.outbox.add(Report{Topic: topic, Body: body}) }

// Run serves the connection until it or ctx ends, and closes it. It returns the reason, which is io.EOF if the reader closed
// the connection.
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

// write sends what the source has until ctx ends or a write fails.
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

// awaitUpdate waits until the source is to be read again. It returns false once ctx has ended.
func (s *Session) awaitUpdate(ctx context.Context, wake <-chan struct{}, timer *time.Timer) bool {
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-wake:
	case <-s.outbox.ready:
	}
	if !pause(ctx, s.batchDelay(time.Now())) {
		return false
	}
	s.lastUpdateAt = time.Now()
	return true
}

// batchDelay returns how long an update waits for others: 0 after an interval without updates.
func (s *Session) batchDelay(now time.Time) time.Duration {
	if now.Sub(s.lastUpdateAt) >= s.options.BatchInterval {
		return 0
	}
	return s.options.BatchInterval - s.sinceIntervalBoundary(now, s.options.BatchInterval)
}

// sendUpdates sends, in this order, what the shards have, the status if it is due, and reports. The status is read first, so
// that a reader that receives it has each shard at least up to the status's index.
func (s *Session) sendUpdates() error {
	status := s.source.Status()
	for _, shard := range s.source.Shards() {
		changes, snapshot := s.source.Since(shard, s.writer.sent[shard])
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

// sinceIntervalBoundary returns the time between the last multiple of an interval since the origin and a moment.
func (s *Session) sinceIntervalBoundary(moment time.Time, interval time.Duration) time.Duration {
	beyond := moment.Sub(s.options.Origin) % interval
	if beyond < 0 {
		beyond += interval
	}
	return beyond
}

// processStart is the default origin of the intervals' multiples.
var processStart = time.Now()

// pause waits for a duration. It returns false if ctx ends before.
func pause(ctx context.Context, wait time.Duration) bool {
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
