package localfleet_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/internal/testkit/localfleet"
)

const (
	// earlierProgramVariable is the environment variable with the path of the program of commit 8782861, which cannot
	// be built from this tree:
	//
	//	git worktree add --detach ../v8782861 8782861
	//	(cd ../v8782861 && go build -o /tmp/ospreyfleet ./cmd/ospreyfleet)
	//	OSPREYBEND_EARLIER_PROGRAM=/tmp/ospreyfleet go test -v -run mixedVersions ./internal/testkit/localfleet
	earlierProgramVariable = "OSPREYBEND_EARLIER_PROGRAM"

	mixedVersionsTimeout = 4 * time.Minute
)

// launcherText is a script that runs the program named in the file "program" next to the settings file. The earlier
// program has a different subcommand for the control plane.
const launcherText = `#!/bin/sh
role=$1
read -r program < "$(dirname "$3")/program"
if [ "$program" = "%s" ] && [ "$role" = control-plane ]; then role=keeper; fi
shift
exec "$program" "$role" "$@"
`

// mixedFleet is a fleet whose processes run one of two versions of the program.
type mixedFleet struct {
	*fleetTest
	directory  string
	programs   map[string]string // latest assigned program by machine
	generation int
}

// newMixedFleet prepares a fleet whose processes are started by the launcher script.
func newMixedFleet(t *testing.T, earlier string) *mixedFleet {
	t.Helper()
	directory := t.TempDir()
	launcher := filepath.Join(directory, "launcher")
	if err := os.WriteFile(launcher, fmt.Appendf(nil, launcherText, earlier), 0o755); err != nil {
		t.Fatal(err)
	}
	fleet, err := localfleet.New(localfleet.Layout{Binary: launcher, Directory: directory, Servers: serverCount, Edges: edgeCount})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), mixedVersionsTimeout)
	operator := localfleet.NewOperator(fleet.ControlAddresses())
	t.Cleanup(func() {
		cancel()
		operator.Close()
		fleet.KillAll()
	})
	return &mixedFleet{fleetTest: &fleetTest{T: t, ctx: ctx, fleet: fleet, operator: operator}, directory: directory, programs: map[string]string{}}
}

// assign sets the program that a machine's processes run from their next start.
func (m *mixedFleet) assign(machine, program string) {
	m.Helper()
	m.programs[machine] = program
	folder := filepath.Join(m.directory, machine)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		m.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "program"), []byte(program+"\n"), 0o644); err != nil {
		m.Fatal(err)
	}
}

func serverMachine(i int) string { return fmt.Sprintf("machine-1-%d", i+1) }

func edgeMachine(i int) string { return fmt.Sprintf("machine-2-%d", i+1) }

// runsAssigned reports whether a server's process runs its assigned program.
func (m *mixedFleet) runsAssigned(server int) bool {
	program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", m.fleet.Server(server).PID()))
	return err == nil && program == m.programs[serverMachine(server)]
}

// allServersCurrent reports whether every server runs its assigned program, is current, and lists all three servers as
// voters in each shard.
func (m *mixedFleet) allServersCurrent() bool {
	for server := range serverCount {
		if !m.runsAssigned(server) {
			return false
		}
		status, ok := m.status(server)
		if !ok {
			return false
		}
		for _, shard := range status.Shards {
			if !shard.Current || len(shard.Members) != serverCount {
				return false
			}
			for _, member := range shard.Members {
				if !member.Voter {
					return false
				}
			}
		}
	}
	return true
}

// checkStep adds a route, reads the configuration from every server, and sends a request to the new route through every
// proxy.
func (m *mixedFleet) checkStep(step string) {
	m.Helper()
	m.await(step+": all servers to be current voters", m.allServersCurrent)
	route := fmt.Sprintf("route-%d", m.generation+1)
	m.update(uint64(m.generation), addRoute(m.generation+1, route))
	m.generation++
	var first []byte
	for i, address := range m.fleet.ControlAddresses() {
		response, err := m.operator.Ask(m.ctx, address, "GET", "/-/Config.Read", 0, nil)
		if err != nil || response.Status != http.StatusOK {
			m.Fatalf("%s: Config.Read from server %d: %v", step, i, err)
		}
		if i == 0 {
			first = response.Body
		}
		if !bytes.Contains(response.Body, []byte(route)) || !bytes.Equal(response.Body, first) {
			m.Errorf("%s: Config.Read from server %d: got %s, want the new route and the same as server 0: %s", step, i, response.Body, first)
		}
	}
	m.await(step+": all proxies to serve the new route", m.allProxiesAnswer("/"+route+"/", http.StatusOK))
	m.Logf("%s: generation %d read from %d servers and served by %d proxies", step, m.generation, serverCount, edgeCount)
}

// switchProgram stops a server and starts it with another program on the same data directory.
func (m *mixedFleet) switchProgram(server int, program string) {
	m.Helper()
	if err := m.fleet.Server(server).Stop(); err != nil {
		m.Fatalf("stop server %d before its change of program: %v", server, err)
	}
	m.assign(serverMachine(server), program)
	if _, err := m.fleet.StartServer(server, false); err != nil {
		m.Fatal(err)
	}
}

// One server and one edge of the earlier version run in a fleet of the current version. The servers are then upgraded,
// downgraded and upgraded again one at a time on the same data directories; the fleet must accept changes at each step.
func TestFleet_mixedVersionsAndRollingChange(t *testing.T) {
	earlier := os.Getenv(earlierProgramVariable)
	if earlier == "" {
		t.Skipf("%s is not set to the path of the program of commit 8782861", earlierProgramVariable)
	}
	m := newMixedFleet(t, earlier)
	m.assign(serverMachine(0), earlier)
	m.assign(edgeMachine(0), earlier)
	for server := 1; server < serverCount; server++ {
		m.assign(serverMachine(server), binary)
	}
	m.assign(edgeMachine(1), binary)
	if err := m.fleet.StartAll(); err != nil {
		t.Fatal(err)
	}
	m.sendFirstConfiguration(firstConfiguration("first"))
	m.generation = 1
	m.worker(1, "store", time.Millisecond)
	m.checkStep("one server of the earlier version, two of the current")
	m.switchProgram(0, binary)
	m.checkStep("all servers of the current version")
	for server := range serverCount {
		m.switchProgram(server, earlier)
		m.checkStep(fmt.Sprintf("servers 0 to %d downgraded", server))
	}
	for server := range serverCount {
		m.switchProgram(server, binary)
		m.checkStep(fmt.Sprintf("servers 0 to %d upgraded again", server))
	}
}
