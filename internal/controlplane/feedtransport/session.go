package feedtransport

import (
	"bufio"
	"context"
	"net"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Source is what a server's sessions read. Its methods may be called by several goroutines.
type Source interface {
	// Shards lists the shards that the source has.
	Shards() []shards.ID
	// Since returns what takes a reader on from index: the changes above it, by ascending index,
	// or a snapshot where those are no longer kept. Both are nil if there is nothing above index.
	// What it returns must not change afterwards.
	Since(shard shards.ID, index uint64) (changes []feed.Change, snapshot *feed.Snapshot)
	// Status returns the source's present status; Sequence is not used.
	Status() Status
	// Subscribe has a token sent to wake, without blocking, whenever a shard has advanced or the
	// currency of one or the keepers have changed, until cancel is called.
	Subscribe(wake chan<- struct{}) (cancel func())
	// OnReport takes a report of the reader. It must not block.
	OnReport(hello Hello, topic string, body []byte)
}

const (
	// StatusInterval is the longest time between two statuses to an agent.
	StatusInterval = 400 * time.Millisecond
	// LoopbackStatusInterval is the same to the proxy of the same machine.
	LoopbackStatusInterval = 2 * time.Second
	// BatchInterval is the shortest time between two looks at the source for the first news after a calm, so that one
	// write carries all that was committed in between. While news go on coming, all sessions look at its multiples since
	// the origin: those that have got as far need the same frames.
	BatchInterval = 40 * time.Millisecond
)

// SessionOptions change a session's intervals; zero values stand for the constants.
type SessionOptions struct {
	StatusInterval time.Duration
	BatchInterval  time.Duration
	WriteTimeout   time.Duration
	Encoder        *Encoder  // shared by the sessions of a server; nil: frames are not compressed
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

// Session is the server's side of one connection.
type Session struct {
	connection   net.Conn
	hello        Hello
	source       Source
	options      SessionOptions
	outbox       *outbox
	writer       *feedWriter
	lastUpdateAt time.Time // when news last made it look at the source
}

// Serve runs a session with the usual intervals until the connection or ctx ends, and closes
// the connection. It returns why it ended: io.EOF if the reader closed the connection.
func Serve(ctx context.Context, connection net.Conn, hello Hello, source Source) error {
	return NewSession(connection, hello, source, SessionOptions{}).Run(ctx)
}

// NewSession prepares a session. The connection's first frame, hello, has been read.
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

// Send has a report sent to the reader. It does not block; the oldest reports are dropped where
// too many wait.
func (s *Session) Send(topic string, body []byte) { s.outbox.add(Report{Topic: topic, Body: body}) }

// Run serves the connection as Serve says.
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

// readReports hands the reader's reports to the source until the connection fails.
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

// awaitUpdate returns at the next look at the source, or false once ctx has ended.
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

// batchDelay says how long news wait for others: not at all after a calm.
func (s *Session) batchDelay(now time.Time) time.Duration {
	if now.Sub(s.lastUpdateAt) >= s.options.BatchInterval {
		return 0
	}
	return s.options.BatchInterval - s.sinceIntervalBoundary(now, s.options.BatchInterval)
}

// sendUpdates sends, in this order, what the shards have, the status if it is due, and reports. The
// status is read first, so that a reader that gets it has each shard as far as it says.
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

// untilNextStatus says how long the next status may wait. Statuses are due at multiples of the interval
// since the origin, so that all sessions send theirs in one wake-up of the process.
func (s *Session) untilNextStatus(now time.Time) time.Duration {
	if s.writer.statusAt.IsZero() {
		return 0
	}
	latest := s.writer.statusAt.Add(s.options.StatusInterval)
	return latest.Add(-s.sinceIntervalBoundary(latest, s.options.StatusInterval)).Sub(now)
}

// sinceIntervalBoundary returns how long before a moment the last multiple of an interval since the origin was.
func (s *Session) sinceIntervalBoundary(moment time.Time, interval time.Duration) time.Duration {
	beyond := moment.Sub(s.options.Origin) % interval
	if beyond < 0 {
		beyond += interval
	}
	return beyond
}

// processStart is the usual origin of the grid of statuses.
var processStart = time.Now()

// pause waits for a time, or returns false once ctx has ended.
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
