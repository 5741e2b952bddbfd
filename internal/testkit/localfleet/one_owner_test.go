package localfleet_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/localfleet"
)

// Bounds of the settings' defaults that a worker is promised.
const (
	leaseTime = 3 * time.Second        // leaseMs
	thawTime  = 300 * time.Millisecond // thawMs
)

// Times of the scenarios.
const (
	lateDelivery    = 14 * time.Second // longer than the sender's kernel would go on retransmitting, with pauses doubled up to 6.4 s
	ownerFreeze     = 6 * time.Second
	scenarioTimeout = 80 * time.Second
)

// modelShard is the shard of the workers' service.
var modelShard = shards.ForService("model")

// oneOwnerTest is a fleet with two workers, one of which its owner commands to decode.
type oneOwnerTest struct {
	*fleetTest
	directory string
	workers   []*commandWorker
	started   time.Time

	exemptionsMutex sync.Mutex
	exemptions      []history.Exemption
}

func newOneOwnerTest(t *testing.T, prepare func(w *commandWorker)) *oneOwnerTest {
	t.Helper()
	r := &oneOwnerTest{directory: t.TempDir(), started: time.Now()}
	r.fleetTest = newServersTest(t, r.directory, scenarioTimeout)
	for i := range 2 {
		worker := r.startCommandWorker(i, r.started)
		prepare(worker)
		r.workers = append(r.workers, worker)
	}
	return r
}

// find waits until a condition holds for one of the workers and returns it.
func (r *oneOwnerTest) find(what string, holds func(*commandWorker) bool) (found *commandWorker) {
	r.Helper()
	r.await(what, func() bool {
		for _, worker := range r.workers {
			if holds(worker) {
				found = worker
				return true
			}
		}
		return false
	})
	return found
}

// owner returns the number of the server that has commanded a worker, by its log.
func (r *oneOwnerTest) owner() int {
	r.Helper()
	for i := range serverCount {
		log, err := os.ReadFile(filepath.Join(r.directory, fmt.Sprintf("machine-1-%d", i+1), "controlplane.log"))
		if err == nil && bytes.Contains(log, []byte(`"role command started"`)) {
			return i
		}
	}
	r.Fatal("no server has logged the start of a role command")
	return 0
}

// awaitCommandOfAnother waits until a worker reads a command of a server other than the given one.
func (r *oneOwnerTest) awaitCommandOfAnother(worker *commandWorker, owner int) {
	r.Helper()
	r.await("a command of the next owner", func() bool {
		for _, command := range worker.received() {
			if command.Holder != r.fleet.Server(owner).Node {
				return true
			}
		}
		return false
	})
}

// exempt excludes a server's commands for thawTime from the check.
func (r *oneOwnerTest) exempt(server int) {
	r.exemptionsMutex.Lock()
	defer r.exemptionsMutex.Unlock()
	now := time.Since(r.started)
	r.exemptions = append(r.exemptions, history.Exemption{Holder: r.fleet.Server(server).Node, From: now, To: now + thawTime})
}

// awaitLateCommands waits until whatever was held back has arrived, and checks what the workers have read.
func (r *oneOwnerTest) awaitLateCommands(since time.Time) {
	r.Helper()
	r.await("late commands", func() bool { return time.Since(since) > lateDelivery })
	for _, worker := range r.workers {
		received := worker.received()
		r.Logf("%s read %v", worker.id, received)
		for _, violation := range history.CheckRoleCommands(received, r.exemptions, leaseTime) {
			r.Error(violation)
		}
	}
}

// TestFleet_lateRoleCommand: a command that was written in its sender's term and held back on the way must not reach the worker
// after the next owner's, whatever becomes of the sender meanwhile.
func TestFleet_lateRoleCommand(t *testing.T) {
	t.Parallel()
	freeze := func(r *oneOwnerTest, owner int) {
		_ = syscall.Kill(r.fleet.Server(owner).PID(), syscall.SIGSTOP)
		time.AfterFunc(ownerFreeze, func() {
			r.exempt(owner)
			_ = syscall.Kill(r.fleet.Server(owner).PID(), syscall.SIGCONT)
		})
	}
	for name, trouble := range map[string]func(r *oneOwnerTest, owner int){
		"killed":     func(r *oneOwnerTest, owner int) { r.fleet.Server(owner).Kill() },
		"frozen":     freeze,
		"terminated": func(r *oneOwnerTest, owner int) { r.fleet.Server(owner).Terminate() },
		"replaced": func(r *oneOwnerTest, owner int) {
			r.fleet.Server(owner).Kill()
			if err := r.fleet.WipeServer(owner); err != nil {
				r.Error(err)
			}
			if _, err := r.fleet.StartServer(owner, false); err != nil {
				r.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newOneOwnerTest(t, func(w *commandWorker) { w.cutCommands(t) })
			worker := r.find("a command that is held back", (*commandWorker).holdsCommand)
			held, owner := time.Now(), r.owner()
			for _, one := range r.workers {
				one.openNewConnections()
			}
			trouble(r, owner)
			r.awaitCommandOfAnother(worker, owner)
			r.exempt(owner)
			worker.heal()
			r.awaitLateCommands(held)
		})
	}
}

// TestFleet_commandToPausedWorker: a command that lies in the sockets of a paused worker must not be read within the lease of the
// next owner's.
func TestFleet_commandToPausedWorker(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]func(r *oneOwnerTest){
		"paused before the command": (*oneOwnerTest).pauseOnAssignment,
		"paused after its report": func(r *oneOwnerTest) {
			r.await("an assignment", r.anyRoleAssigned)
			for _, worker := range r.workers {
				worker.pauseAfterReport()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newOneOwnerTest(t, func(*commandWorker) {})
			pause(r)
			r.await("a command", r.anyCommandStarted)
			owner := r.owner()
			r.fleet.Server(owner).Kill()
			r.await("the next owner's quiet time", func() bool { return r.planningServers() > 1 })
			killed := time.Now()
			r.await("the next owner's first attempt", func() bool { return time.Since(killed) > ownerFreeze })
			for _, worker := range r.workers {
				worker.resume()
			}
			r.find("a command of the next owner", func(w *commandWorker) bool {
				received := w.received()
				return len(received) > 0 && received[len(received)-1].Holder != r.fleet.Server(owner).Node
			})
			r.awaitLateCommands(killed)
		})
	}
}

// pauseOnAssignment pauses the workers once one is assigned a role, which is some planning steps before it is commanded.
func (r *oneOwnerTest) pauseOnAssignment() {
	r.await("an assignment", r.anyRoleAssigned)
	for _, worker := range r.workers {
		worker.pause()
	}
}

// anyRoleAssigned reports whether a server has logged an assignment.
func (r *oneOwnerTest) anyRoleAssigned() bool { return r.countLogs(`"role assigned"`) > 0 }

// anyCommandStarted reports whether a server has logged the start of a role command.
func (r *oneOwnerTest) anyCommandStarted() bool { return r.countLogs(`"role command started"`) > 0 }

// planningServers returns the number of servers that have planned roles, or more if one did so in several terms.
func (r *oneOwnerTest) planningServers() int { return r.countLogs(`"role planning started"`) }

// countLogs returns how often a message stands in the logs of the servers, for the shard of the workers' service or no shard at all.
func (r *oneOwnerTest) countLogs(message string) (count int) {
	shard := fmt.Sprintf(`"shard":%d,`, modelShard)
	for i := range serverCount {
		log, _ := os.ReadFile(filepath.Join(r.directory, fmt.Sprintf("machine-1-%d", i+1), "controlplane.log"))
		for line := range bytes.Lines(log) {
			if bytes.Contains(line, []byte(message)) && (bytes.Contains(line, []byte(shard)) || !bytes.Contains(line, []byte(`"shard":`))) {
				count++
			}
		}
	}
	return count
}

// newServersTest starts a fleet without edges and kills its processes at the end of the test.
func newServersTest(t *testing.T, directory string, timeout time.Duration) *fleetTest {
	t.Helper()
	return startFleet(t, localfleet.Layout{Binary: binary, Directory: directory, Servers: serverCount}, timeout)
}
