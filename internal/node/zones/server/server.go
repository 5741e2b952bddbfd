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
	headWithin = time.Second // for a call's header to come
	leaveIn    = 500 * time.Millisecond
)

// Config is what a seat is told.
type Config struct {
	Fleet   string
	ID      uint64
	Listen  string
	Store   string            // the file
	Voters  map[uint64]string // addresses by number, its own included
	Founds  []uint64          // the voters that a new fleet begins with; empty: it joins one
	Classes []failover.Class
	Rules   replica.Rules
	Without string // a check left out, for trials
}

// durableStore is where a voter writes through.
type durableStore interface {
	Write(replicatedlog.Persist) error
	Close() error
	Starts() uint64
}

// Seat is a voter at work.
type Seat struct {
	config Config
	store  durableStore
	voter  *replica.Voter
	client *transport.Client
	mail   map[uint64]*transport.Mail
	began  time.Time
	calls  chan func(now time.Duration)
	wrote  chan error
	writes replicatedlog.Persist
	busy   bool
	end    context.CancelFunc
	done   <-chan struct{}
	server *http.Server
	listen net.Listener
}

// Open opens the store and listens. Run does the rest.
func Open(c Config) (*Seat, error) {
	file, stored, err := store.Open(c.Store, store.Owner{Fleet: c.Fleet, Voter: c.ID, Voters: c.Founds})
	if err != nil {
		return nil, err
	}
	s := &Seat{config: c, store: file, client: transport.NewClient(), mail: map[uint64]*transport.Mail{}, began: time.Now(),
		calls: make(chan func(time.Duration)), wrote: make(chan error, 1)}
	s.voter, err = replica.New(0, replica.Config{Fleet: c.Fleet, ID: c.ID, Store: file.ID(), Runs: file.Starts(), Rules: c.Rules,
		Classes: c.Classes, Rand: rand.New(rand.NewPCG(rand.Uint64(), c.ID)), Wall: func() int64 { return time.Now().UnixMicro() },
		Without: c.Without}, stored)
	if err == nil {
		s.listen, err = net.Listen("tcp", c.Listen)
	}
	if err != nil {
		return nil, errors.Join(&store.Fault{Path: c.Store, Err: err}, file.Close())
	}
	return s, nil
}

// Address is where it listens.
func (s *Seat) Address() string { return s.listen.Addr().String() }

// Run votes until ctx ends, or until the voter must not go on.
func (s *Seat) Run(ctx context.Context) error {
	ctx, s.end = context.WithCancel(ctx)
	defer s.end()
	s.done = ctx.Done()
	for id, address := range s.config.Voters {
		if id != s.config.ID {
			s.mail[id] = transport.NewMail(ctx, s.client, address)
		}
	}
	s.server = &http.Server{Handler: transport.Serve(s), ReadHeaderTimeout: headWithin}
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listen) }()
	slog.Info("voter", "id", s.config.ID, "fleet", s.config.Fleet, "listen", s.Address(), "store", s.config.Store, "starts", s.store.Starts())
	err := s.loop(ctx, served)
	leave, cancel := context.WithTimeout(context.Background(), leaveIn)
	defer cancel()
	s.end()
	_ = s.server.Shutdown(leave)
	if s.busy {
		<-s.wrote // the file is closed only when nothing is written
	}
	s.client.Close()
	return errors.Join(err, s.store.Close())
}

func (s *Seat) now() time.Duration { return time.Since(s.began) }

func (s *Seat) loop(ctx context.Context, served <-chan error) error {
	tick := time.NewTicker(s.config.Rules.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-served:
			return err
		case f := <-s.calls:
			f(s.now())
		case <-tick.C:
			s.voter.Tick(s.now())
		case err := <-s.wrote:
			s.busy = false
			if err != nil {
				// What the file holds is not known: it is read anew at the next start.
				return err
			}
			s.voter.Done(s.writes)
		}
		if err := s.voter.Broken(); err != nil {
			return &store.Fault{Path: s.config.Store, Err: err}
		}
		s.flush()
	}
}

// flush has the next work written, and sends what may go out.
func (s *Seat) flush() {
	if !s.busy {
		if p, ok := s.voter.Next(); ok {
			s.busy, s.writes = true, p
			go func() { s.wrote <- s.store.Write(p) }()
		}
	}
	for _, p := range s.voter.Post() {
		if m := s.mail[p.To]; m != nil {
			m.Put(p.Letter)
		}
	}
}

var errLeaving = errors.New("this voter leaves")

// on has f called on the loop.
func (s *Seat) on(ctx context.Context, f func(now time.Duration)) error {
	select {
	case s.calls <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return errLeaving
	}
}

type result[T any] struct {
	v   T
	err error
}

// ask has f answer on the loop, then or later.
func ask[T any](ctx context.Context, s *Seat, f func(now time.Duration, answer func(T, error))) (T, error) {
	back := make(chan result[T], 1)
	answer := func(v T, err error) {
		select {
		case back <- result[T]{v, err}:
		default: // answered already
		}
	}
	var none T
	if err := s.on(ctx, func(now time.Duration) { f(now, answer) }); err != nil {
		return none, err
	}
	select {
	case r := <-back:
		return r.v, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	case <-s.done:
		return none, errLeaving
	}
}

// Report takes in a process's report.
func (s *Seat) Report(ctx context.Context, r follower.Report) (follower.Answer, error) {
	return ask(ctx, s, func(now time.Duration, answer func(follower.Answer, error)) { answer(s.voter.Report(now, r)) })
}

// Deliver takes in a letter.
func (s *Seat) Deliver(ctx context.Context, l replica.Letter) error {
	_, err := ask(ctx, s, func(now time.Duration, answer func(struct{}, error)) { answer(struct{}{}, s.voter.Take(now, l)) })
	return err
}

// Say puts what a person has said, and returns once it is agreed on.
func (s *Seat) Say(ctx context.Context, w commands.Word) error {
	_, err := ask(ctx, s, func(now time.Duration, answer func(struct{}, error)) {
		s.voter.Say(now, w, func(err error) { answer(struct{}{}, err) })
	})
	return err
}

// Status tells how things stand.
func (s *Seat) Status(ctx context.Context) (transport.Status, error) {
	return ask(ctx, s, func(now time.Duration, answer func(transport.Status, error)) {
		v, log := s.voter, s.voter.Log()
		out := transport.Status{Voter: s.config.ID, Leader: log.Leader(), Term: log.Term(), Applied: log.Applied(), Voters: log.Voters(),
			Table: v.Table().Clone(), Counts: v.Counts(), Verdicts: map[string]string{}}
		for _, m := range v.Members() {
			out.Members = append(out.Members, transport.Member{Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation, Silent: now - m.HeardAt})
		}
		for name, verdict := range v.Verdicts() {
			out.Verdicts[name] = verdict.String()
		}
		answer(out, nil)
	})
}
