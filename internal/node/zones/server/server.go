// Package server runs one voter: it connects a replica.Replica to its store, its clock and the network.
//
// One goroutine, the event loop in Run, owns the replica. A second goroutine writes to the store, one
// write at a time; calls from the network reach the event loop through a channel. The command in
// cmd/ospreybend opens a Server and runs it.
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
	readHeaderTimeout = time.Second
	shutdownTimeout   = 500 * time.Millisecond
)

// Config configures a voter.
type Config struct {
	Fleet         string
	ID            uint64
	Listen        string
	StorePath     string            // path of the store's file
	Voters        map[uint64]string // addresses by ID, including this voter's
	InitialVoters []uint64          // IDs of the voters of a new group; empty: the voter joins an existing group
	Classes       []failover.Class
	Settings      replica.Settings
	DisabledCheck string // a check to skip, for trials which show that the check is needed
}

// durableStore is the part of store.Store that the server uses.
type durableStore interface {
	Write(replicatedlog.Persist) error
	Close() error
	Starts() uint64
}

// Server is a running voter.
type Server struct {
	config     Config
	startedAt  time.Time // the replica's clock counts from here
	client     *transport.Client
	outboxes   map[uint64]*transport.Outbox // by voter
	httpServer *http.Server
	listener   net.Listener
	cancel     context.CancelFunc
	done       <-chan struct{} // closed when Run ends

	// Owned by the event loop.
	replica   *replica.Replica
	store     durableStore
	writing   replicatedlog.Persist // the write in progress, if isWriting
	isWriting bool

	calls   chan func(now time.Duration) // functions to run on the event loop
	written chan error                   // result of each finished write
}

// Open opens the store, restores the replica and starts to listen. Run must be called next.
func Open(config Config) (*Server, error) {
	file, stored, err := store.Open(config.StorePath, store.Owner{Fleet: config.Fleet, Voter: config.ID, Voters: config.InitialVoters})
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, store: file, client: transport.NewClient(), outboxes: map[uint64]*transport.Outbox{}, startedAt: time.Now(),
		calls: make(chan func(time.Duration)), written: make(chan error, 1)}
	s.replica, err = replica.New(0, replica.Config{
		Fleet:         config.Fleet,
		ID:            config.ID,
		Store:         file.ID(),
		Starts:        file.Starts(),
		Settings:      config.Settings,
		Classes:       config.Classes,
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), config.ID)),
		WallClock:     func() int64 { return time.Now().UnixMicro() },
		DisabledCheck: config.DisabledCheck,
	}, stored)
	if err == nil {
		s.listener, err = net.Listen("tcp", config.Listen)
	}
	if err != nil {
		return nil, errors.Join(&store.Error{Path: config.StorePath, Err: err}, file.Close())
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx is done, which is not an error, or until the replica must stop. It closes the store.
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
	slog.Info("voter started", "id", s.config.ID, "fleet", s.config.Fleet, "listen", s.Address(),
		"store", s.config.StorePath, "starts", s.store.Starts())
	err := s.loop(ctx, served)
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.cancel()
	_ = s.httpServer.Shutdown(shutdown)
	if s.isWriting {
		// The store must not be closed during a write. Nothing in this write was acknowledged to other voters.
		if writeErr := <-s.written; writeErr != nil {
			slog.Warn("write failed during shutdown", "store", s.config.StorePath, "error", writeErr)
		}
	}
	s.client.Close()
	return errors.Join(err, s.store.Close())
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// loop is the event loop. It owns the replica.
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
				// It is unknown what the store holds until the next start reads it.
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

// flush starts the next write unless one is in progress, and hands the outgoing messages to the outboxes.
func (s *Server) flush() {
	if !s.isWriting {
		if persist, ok := s.replica.NextPersist(); ok {
			s.isWriting, s.writing = true, persist
			go func() { s.written <- s.store.Write(persist) }()
		}
	}
	for _, envelope := range s.replica.TakeOutgoing() {
		if outbox := s.outboxes[envelope.To]; outbox != nil {
			outbox.Enqueue(envelope.Message)
		}
	}
}

var errShuttingDown = errors.New("this voter is shutting down") // shown to operators

// post runs call on the event loop. It returns when the loop has accepted it.
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

// callResult is the result of a call.
type callResult[T any] struct {
	value T
	err   error
}

// call runs method on the event loop and waits until method calls respond, which it may do after it has returned.
// Only the first response counts.
func call[T any](ctx context.Context, server *Server, method func(now time.Duration, respond func(T, error))) (T, error) {
	results := make(chan callResult[T], 1)
	respond := func(value T, err error) {
		select {
		case results <- callResult[T]{value, err}:
		default: // there was a response already
		}
	}
	var none T
	if err := server.post(ctx, func(now time.Duration) { method(now, respond) }); err != nil {
		return none, err
	}
	select {
	case result := <-results:
		return result.value, result.err
	case <-ctx.Done():
		return none, ctx.Err()
	case <-server.done:
		return none, errShuttingDown
	}
}

// Report implements transport.Handler.
func (s *Server) Report(ctx context.Context, report follower.Report) (follower.Response, error) {
	return call(ctx, s, func(now time.Duration, respond func(follower.Response, error)) {
		respond(s.replica.HandleReport(now, report))
	})
}

// Deliver implements transport.Handler.
func (s *Server) Deliver(ctx context.Context, message replica.Message) error {
	_, err := call(ctx, s, func(now time.Duration, respond func(struct{}, error)) {
		respond(struct{}{}, s.replica.Receive(now, message))
	})
	return err
}

// ApplyOverride implements transport.Handler. It returns when the override is committed or its outcome is unknown.
func (s *Server) ApplyOverride(ctx context.Context, override commands.Override) error {
	_, err := call(ctx, s, func(now time.Duration, respond func(struct{}, error)) {
		s.replica.ProposeOverride(now, override, func(err error) { respond(struct{}{}, err) })
	})
	return err
}

// Status implements transport.Handler.
func (s *Server) Status(ctx context.Context) (transport.Status, error) {
	return call(ctx, s, func(now time.Duration, respond func(transport.Status, error)) {
		respond(s.status(now), nil)
	})
}

func (s *Server) status(now time.Duration) transport.Status {
	log := s.replica.Log()
	status := transport.Status{
		Voter:        s.config.ID,
		Leader:       log.Leader(),
		Term:         log.Term(),
		AppliedIndex: log.AppliedIndex(),
		Voters:       log.Voters(),
		Table:        s.replica.Table().Clone(),
		Counts:       s.replica.Counts(),
		Assessments:  map[string]string{},
	}
	for _, member := range s.replica.Members() {
		status.Members = append(status.Members, transport.MemberStatus{Name: member.Name, Zone: member.Zone, Incarnation: member.Incarnation,
			SinceHeartbeat: now - member.LastHeartbeat})
	}
	for name, assessment := range s.replica.Assessments() {
		status.Assessments[name] = assessment.String()
	}
	return status
}
