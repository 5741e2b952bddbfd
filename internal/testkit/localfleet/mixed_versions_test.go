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
	// earlierProgramVariable names the program of commit 8782861, which can't be built from this tree:
	//
	//	git worktree add --detach ../v8782861 8782861
	//	(cd ../v8782861 && go build -o /tmp/ospreyfleet ./cmd/ospreyfleet)
	//	OSPREYBEND_EARLIER_PROGRAM=/tmp/ospreyfleet go test -v -run mixedVersions ./internal/testkit/localfleet
	earlierProgramVariable = "OSPREYBEND_EARLIER_PROGRAM"

	mixedVersionsLimit = 4 * time.Minute
)

// launcherText runs the program that is named beside the settings file. The earlier program has another name for the
// control plane's role.
const launcherText = `#!/bin/sh
role=$1
read -r program < "$(dirname "$3")/program"
if [ "$program" = "%s" ] && [ "$role" = control-plane ]; then role=keeper; fi
shift
exec "$program" "$role" "$@"
`

// mixedFleet is a running fleet whose processes are of two versions.
type mixedFleet struct {
	*fleetTest
	directory  string
	programs   map[string]string // by machine, as assigned last
	generation int
}

// newMixedFleet prepares a fleet that is started by a launcher.
func newMixedFleet(t *testing.T, earlier string) *mixedFleet {
	t.Helper()
	directory := t.TempDir()
	launcher := filepath.Join(directory, "launcher")
	if err := os.WriteFile(launcher, fmt.Appendf(nil, launcherText, earlier), 0o755); err != nil {
		t.Fatal(err)
	}
	fleet, err := localfleet.New(localfleet.Layout{Binary: launcher, Directory: directory, Servers: serverCount, Edges: edges})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), mixedVersionsLimit)
	operator := localfleet.NewOperator(fleet.Control())
	t.Cleanup(func() {
		cancel()
		operator.Close()
		fleet.KillAll()
	})
	return &mixedFleet{fleetTest: &fleetTest{T: t, ctx: ctx, fleet: fleet, operator: operator}, directory: directory, programs: map[string]string{}}
}

// assign names the program that a machine's processes run from their next start on.
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

// runsAssigned reports whether a server's process runs the program that it was assigned.
func (m *mixedFleet) runsAssigned(server int) bool {
	program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", m.fleet.Server(server).PID()))
	return err == nil && program == m.programs[serverMachine(server)]
}

// complete reports whether each server runs its program, has all three as voters of each shard, and is current.
func (m *mixedFleet) complete() bool {
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

// check changes the configuration, reads it from every server, and sends a request to the new route through every proxy.
func (m *mixedFleet) check(step string) {
	m.Helper()
	m.await(step+": all servers vote and are current", m.complete)
	route := fmt.Sprintf("route-%d", m.generation+1)
	m.update(uint64(m.generation), addRoute(m.generation+1, route))
	m.generation++
	var first []byte
	for i, address := range m.fleet.Control() {
		response, err := m.operator.Ask(m.ctx, address, "GET", "/-/Config.Read", 0, nil)
		if err != nil || response.Status != http.StatusOK {
			m.Fatalf("%s: read from server %d: %v", step, i, err)
		}
		if i == 0 {
			first = response.Body
		}
		if !bytes.Contains(response.Body, []byte(route)) || !bytes.Equal(response.Body, first) {
			m.Errorf("%s: server %d has %s, server 0 %s", step, i, response.Body, first)
		}
	}
	m.await(step+": the proxies answer on the new route", m.answers("/"+route+"/", http.StatusOK))
	m.Logf("%s: generation %d read from %d servers, answered by %d proxies", step, m.generation, serverCount, edges)
}

// change stops a server and starts it with another program on the same disk.
func (m *mixedFleet) change(server int, program string) {
	m.Helper()
	if err := m.fleet.Server(server).Stop(); err != nil {
		m.Fatalf("stop server %d: %v", server, err)
	}
	m.assign(serverMachine(server), program)
	if _, err := m.fleet.StartServer(server, false); err != nil {
		m.Fatal(err)
	}
}

// One server and one edge of the earlier version work beside those of this one, and the servers are changed one after
// the other to this version, back to the earlier one, and to this one again, on the same disks.
func TestFleet_mixedVersionsAndRollingChange(t *testing.T) {
	earlier := os.Getenv(earlierProgramVariable)
	if earlier == "" {
		t.Skipf("%s does not name the program of commit 8782861", earlierProgramVariable)
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
	m.replaceFirst(firstConfiguration("first"))
	m.generation = 1
	m.worker(1, "store", time.Millisecond)
	m.check("one earlier server beside two")
	m.change(0, binary)
	m.check("all servers of this version")
	for server := range serverCount {
		m.change(server, earlier)
		m.check(fmt.Sprintf("servers up to %d back", server))
	}
	for server := range serverCount {
		m.change(server, binary)
		m.check(fmt.Sprintf("servers up to %d of this version again", server))
	}
}
