package localfleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/localfleet"
)

// Times of a soak.
const (
	soakTime        = 45 * time.Second // in which troubles begin
	soakCatchUp     = 4 * time.Second  // between the return of a server and the loss of another
	shortestTrouble = 300 * time.Millisecond
	longestTrouble  = 10 * time.Second
	soakTimeout     = 3 * time.Minute
	soakWorkers     = 4

	heldCommandTimeout = 4 * time.Second
)

// Environment variables of TestFleet_oneOwnerSoak: the first seed and the number of seeds.
const (
	soakFromVariable  = "SOAK_FROM"
	soakCountVariable = "SOAK_COUNT"
)

// TestFleet_oneOwnerSoak draws troubles of servers, workers and links in series that overlap, while servers command workers all the time:
//
//	SOAK_FROM=100 SOAK_COUNT=50 go test -v -timeout 60m -run oneOwnerSoak ./internal/testkit/localfleet
func TestFleet_oneOwnerSoak(t *testing.T) {
	t.Parallel()
	from, count := intFromEnvironment(t, soakFromVariable, 1), intFromEnvironment(t, soakCountVariable, 1)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, uint64(seed))
		})
	}
}

func intFromEnvironment(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return value
}

// soak is one run of drawn troubles.
type soak struct {
	*oneOwnerTest
	random  *rand.Rand // used by the goroutine that draws troubles alone
	pending sync.WaitGroup
	loss    chan struct{} // holds an element while a server is down, frozen or catching up
}

func playSoak(t *testing.T, seed uint64) {
	t.Helper()
	s := &soak{oneOwnerTest: &oneOwnerTest{directory: t.TempDir(), started: time.Now()}, random: rand.New(rand.NewPCG(seed, 0)), loss: make(chan struct{}, 1)}
	s.fleetTest = newServersTest(t, s.directory, soakTimeout)
	for i := range soakWorkers {
		worker := s.startCommandWorker(i, s.started)
		worker.refuse(seed)
		s.workers = append(s.workers, worker)
	}
	s.await("a command", s.anyCommandStarted)
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		s.drawTrouble()
		next := time.Now().Add(s.duration(300*time.Millisecond, 3*time.Second))
		s.await("the next trouble", func() bool { return time.Now().After(next) })
	}
	s.pending.Wait()
	healed := time.Now()
	s.awaitLateCommands(healed)
	commands, holders := s.countCommands()
	t.Logf("%d commands of %d owners", commands, holders)
	if commands == 0 {
		t.Error("no worker has read a command, so nothing was checked")
	}
}

// duration draws a duration from low up to but not including high.
func (s *soak) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// drawTrouble begins a trouble of a server or a worker that ends by itself.
func (s *soak) drawTrouble() {
	length := s.duration(shortestTrouble, longestTrouble)
	if s.random.IntN(2) == 0 {
		s.begin(s.drawWorkerTrouble(), length)
		return
	}
	trouble := s.drawServerTrouble()
	select {
	case s.loss <- struct{}{}:
		waits := s.random.IntN(4) > 0
		s.begin(func(length time.Duration) {
			if waits {
				s.awaitHeldCommand()
			}
			trouble(length)
			s.sleep(soakCatchUp)
			<-s.loss
		}, length)
	default: // another server is down, and a second one would take the majority
	}
}

func (s *soak) begin(trouble func(time.Duration), length time.Duration) {
	s.pending.Go(func() { trouble(length) })
}

// sleep waits, or until the test ends.
func (s *soak) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// drawWorkerTrouble returns a pause of workers or a cut of their links.
func (s *soak) drawWorkerTrouble() func(time.Duration) {
	begin := []func(*commandWorker){(*commandWorker).pause, (*commandWorker).pauseAfterReport, s.cutCommands, s.cutCommands}[s.random.IntN(4)]
	chosen := s.random.Perm(soakWorkers)[:1+s.random.IntN(soakWorkers)]
	return func(length time.Duration) {
		for _, i := range chosen {
			begin(s.workers[i])
		}
		s.sleep(length)
		s.exemptAll()
		for _, i := range chosen {
			s.workers[i].resume()
			s.workers[i].heal()
		}
	}
}

func (s *soak) cutCommands(worker *commandWorker) { worker.cutCommands(s.T) }

// lastOwner returns the server whose command a worker read last.
func (s *soak) lastOwner() int {
	var last history.RoleCommand
	for _, worker := range s.workers {
		for _, command := range worker.received() {
			if command.At > last.At {
				last = command
			}
		}
	}
	for server := range serverCount {
		if s.fleet.Server(server).Node == last.Holder {
			return server
		}
	}
	return 0
}

// awaitHeldCommand waits for some time until a cut link holds a command back, while its new connections are open to the next owner.
func (s *soak) awaitHeldCommand() {
	ctx, cancel := context.WithTimeout(s.ctx, heldCommandTimeout)
	defer cancel()
	_ = localfleet.Await(ctx, pollInterval, func() bool {
		for _, worker := range s.workers {
			if worker.holdsCommand() {
				worker.openNewConnections()
				return true
			}
		}
		return false
	})
}

// drawServerTrouble returns a trouble of a server: it is killed, terminated, frozen or replaced with an empty disk.
func (s *soak) drawServerTrouble() func(time.Duration) {
	server := s.lastOwner()
	if s.random.IntN(4) == 0 {
		server = s.random.IntN(serverCount)
	}
	return []func(time.Duration){
		func(length time.Duration) {
			s.fleet.Server(server).Kill()
			s.restart(server, length)
		},
		func(length time.Duration) {
			_ = s.fleet.Server(server).Stop()
			s.restart(server, length)
		},
		func(length time.Duration) {
			_ = syscall.Kill(s.fleet.Server(server).PID(), syscall.SIGSTOP)
			s.sleep(length)
			s.exempt(server)
			_ = syscall.Kill(s.fleet.Server(server).PID(), syscall.SIGCONT)
		},
		func(length time.Duration) {
			s.fleet.Server(server).Kill()
			if err := s.fleet.WipeServer(server); err != nil {
				s.Error(err)
			}
			s.restart(server, length)
		},
	}[s.random.IntN(4)]
}

func (s *soak) restart(server int, after time.Duration) {
	s.sleep(after)
	if s.ctx.Err() != nil {
		return
	}
	if _, err := s.fleet.StartServer(server, false); err != nil {
		s.Error(err)
	}
}

// exemptAll excludes the commands of all servers for thawTime from the check, since a link was healed.
func (s *soak) exemptAll() {
	for server := range serverCount {
		s.exempt(server)
	}
}

// countCommands returns the number of commands that workers have read, and of the owners that sent them.
func (s *soak) countCommands() (commands, owners int) {
	seen := map[history.RoleCommand]bool{}
	for _, worker := range s.workers {
		for _, command := range worker.received() {
			commands++
			seen[history.RoleCommand{Holder: command.Holder, Token: command.Token}] = true
		}
	}
	return commands, len(seen)
}
