// Package server runs one voter as a process: its loop, its store, its links. One goroutine
// owns the voter; the store is written beside it, one write at a time, and calls come in
// over a channel.
package server

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/failover"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
	"ospreybend/internal/node/zones/replicatedlog"
	"ospreybend/internal/node/zones/store"
	"ospreybend/internal/node/zones/transport"
)

const (
	readHeaderTimeout = time.Second // for a call's header to come
	shutdownTimeout   = 500 * time.Millisecond
)

// Config is what a seat is told.
type Config struct {
	Fleet         string
	ID            uint64
	Listen        string
	StorePath     string            // the file
	Voters        map[uint64]string // addresses by number, its own included
	InitialVoters []uint64          // the voters that a new fleet begins with; empty: it joins one
	Classes       []failover.Class
	Settings      replica.Settings
	DisabledCheck string // a check left out, for trials
}

// durableStore is where a voter writes through.
type durableStore interface {
	Write(replicatedlog.Persist) error
	Close() error
	Starts() uint64
}

// Server is a voter at work.
type Server struct {
	config     Config
	store      durableStore
	replica    *replica.Replica
	client     *transport.Client
	outboxes   map[uint64]*transport.Outbox
	startedAt  time.Time
	calls      chan func(now time.Duration)
	written    chan error
	writing    replicatedlog.Persist
	isWriting  bool
	cancel     context.CancelFunc
	done       <-chan struct{}
	httpServer *http.Server
	listener   net.Listener
}

// Open opens the store and listens. Run does the rest.
func Open(config Config) (*Server, error) {
	file, stored, err := store.Open(config.StorePath, store.Owner{Fleet: config.Fleet, Voter: config.ID, Voters: config.InitialVoters})
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, store: file, client: transport.NewClient(), outboxes: map[uint64]*transport.Outbox{}, startedAt: time.Now(),
		calls: make(chan func(time.Duration)), written: make(chan error, 1)}
	s.replica, err = replica.New(0, replica.Config{Fleet: config.Fleet, ID: config.ID, Store: file.ID(), Starts: file.Starts(), Settings: config.Settings,
		Classes: config.Classes, Rand: rand.New(rand.NewPCG(rand.Uint64(), config.ID)), WallClock: func() int64 { return time.Now().UnixMicro() },
		DisabledCheck: config.DisabledCheck}, stored)
	if err == nil {
		s.listener, err = net.Listen("tcp", config.Listen)
	}
	if err != nil {
		return nil, errors.Join(&store.Error{Path: config.StorePath, Err: err}, file.Close())
	}
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run votes until ctx ends, or until the voter must not go on.
func (s *Server) Run(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	s.done = ctx.Done()
	for id, address := range s.config.Voters {
		if id != s.config.ID {
			s.outboxes[id] = transport.NewOutbox(ctx, s.client, address)
		}
	}
	s.httpServer = &http.Server{Handler: transport.NewHandler(s), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- s.httpServer.Serve(s.listener) }()
	slog.Info("voter", "id", s.config.ID, "fleet", s.config.Fleet, "listen", s.Address(), "store", s.config.StorePath, "starts", s.store.Starts())
	err := s.loop(ctx, served)
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.cancel()
	_ = s.httpServer.Shutdown(shutdown)
	if s.isWriting {
		<-s.written // the file is closed only when nothing is written
	}
	s.client.Close()
	return errors.Join(err, s.store.Close())
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

func (s *Server) loop(ctx context.Context, served <-chan error) error {
	tick := time.NewTicker(s.config.Settings.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-served:
			return err
		case call := <-s.calls:
			call(s.now())
		case <-tick.C:
			s.replica.Tick(s.now())
		case err := <-s.written:
			s.isWriting = false
			if err != nil {
				// What the file holds is not known: it is read anew at the next start.
				return err
			}
			s.replica.Persisted(s.writing)
		}
		if err := s.replica.Err(); err != nil {
			return &store.Error{Path: s.config.StorePath, Err: err}
		}
		s.flush()
	}
}

// flush has the next work written, and sends what may go out.
func (s *Server) flush() {
	if !s.isWriting {
		if persist, ok := s.replica.NextPersist(); ok {
			s.isWriting, s.writing = true, persist
			go func() { s.written <- s.store.Write(persist) }()
		}
	}
	for _, persist := range s.replica.TakeOutgoing() {
		if outbox := s.outboxes[persist.To]; outbox != nil {
			outbox.Enqueue(persist.Message)
		}
	}
}

var errShuttingDown = errors.New("this voter leaves")

// post has f called on the loop.
func (s *Server) post(ctx context.Context, call func(now time.Duration)) error {
	select {
	case s.calls <- call:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return errShuttingDown
	}
}

type callResult[T any] struct {
	value T
	err   error
}

// call has f answer on the loop, then or later.
func call[T any](ctx context.Context, server *Server, method func(now time.Duration, answer func(T, error))) (T, error) {
	replies := make(chan callResult[T], 1)
	answer := func(value T, err error) {
		select {
		case replies <- callResult[T]{value, err}:
		default: // answered already
		}
	}
	var none T
	if err := server.post(ctx, func(now time.Duration) { method(now, answer) }); err != nil {
		return none, err
	}
	select {
	case reply := <-replies:
		return reply.value, reply.err
	case <-ctx.Done():
		return none, ctx.Err()
	case <-server.done:
		return none, errShuttingDown
	}
}

// Report takes in a process's report.
func (s *Server) Report(ctx context.Context, report follower.Report) (follower.Response, error) {
	return call(ctx, s, func(now time.Duration, answer func(follower.Response, error)) {
		answer(s.replica.HandleReport(now, report))
	})
}

// Deliver takes in a letter.
func (s *Server) Deliver(ctx context.Context, message replica.Message) error {
	_, err := call(ctx, s, func(now time.Duration, answer func(struct{}, error)) {
		answer(struct{}{}, s.replica.Receive(now, message))
	})
	return err
}

// ApplyOverride puts what a person has said, and returns once it is agreed on.
func (s *Server) ApplyOverride(ctx context.Context, override commands.Override) error {
	_, err := call(ctx, s, func(now time.Duration, answer func(struct{}, error)) {
		s.replica.ProposeOverride(now, override, func(err error) { answer(struct{}{}, err) })
	})
	return err
}

// Status tells how things stand.
func (s *Server) Status(ctx context.Context) (transport.Status, error) {
	return call(ctx, s, func(now time.Duration, answer func(transport.Status, error)) {
		replica, log := s.replica, s.replica.Log()
		status := transport.Status{Voter: s.config.ID, Leader: log.Leader(), Term: log.Term(), Applied: log.Applied(), Voters: log.Voters(),
			Table: replica.Table().Clone(), Counts: replica.Counts(), Verdicts: map[string]string{}}
		for _, member := range replica.Members() {
			status.Members = append(status.Members, transport.MemberStatus{Name: member.Name, Zone: member.Zone, Incarnation: member.Incarnation, SinceHeartbeat: now - member.LastHeartbeat})
		}
		for name, verdict := range replica.Verdicts() {
			status.Verdicts[name] = verdict.String()
		}
		answer(status, nil)
	})
}
