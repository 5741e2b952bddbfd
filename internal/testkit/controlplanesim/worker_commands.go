package controlplanesim

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Roles of workers and their answers to role commands.
const (
	workerPort        = 80
	initialRole       = "prefill"
	reportPath        = "/-/report"
	maxRoleChange     = 2 * time.Second        // a change of role takes at most this long
	takenShare        = 4                      // one in this many commands is taken, the others are answered 503
	ignoredShare      = 2                      // one in this many accepted commands has no effect
	workerUserTimeout = 500 * time.Millisecond // of connections to workers, as of server.DialWorker
)

// GuardCommandBounded makes the kernel of a server discard what it has not delivered to a worker in time.
const GuardCommandBounded = "worker.command-bounded"

// exemptAfter is the setting thawMs: for this time after a thaw or a heal, the commands of the machines concerned are not checked.
const exemptAfter = 300 * time.Millisecond

// roleState is the role of an incarnation of a worker. It is guarded by the incarnation's mutex.
type roleState struct {
	role     string
	busy     bool
	revision uint64 // number of commands taken
}

// workers returns the servers' client of workers; nil if the schedule has no role commands.
func (m *machine) workers(process *simnet.Process) server.WorkerClient {
	if !m.simulation.schedule.RoleCommands {
		return nil
	}
	timeout := workerUserTimeout
	if m.simulation.omissions.commandBounded {
		timeout = 0
	}
	return server.NewWorkerClient(func(ctx context.Context, address string) (net.Conn, error) {
		connection, err := process.DialWorker(ctx, address, timeout)
		if err != nil {
			return nil, err
		}
		return commandConn{connection, m}, nil
	})
}

// commandConn is a server's connection to a worker.
type commandConn struct {
	net.Conn
	machine *machine
}

// Write triggers the events that wait for a role command: they take place while it is in flight.
func (c commandConn) Write(data []byte) (int, error) {
	if bytes.HasPrefix(data, []byte(http.MethodPost)) {
		c.machine.simulation.commandWritten(c.machine)
	}
	return c.Conn.Write(data)
}

// SetLinger sets SO_LINGER unless the schedule omits GuardCommandBounded.
func (c commandConn) SetLinger(seconds int) error {
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok || c.machine.simulation.omissions.commandBounded {
		return nil
	}
	return socket.SetLinger(seconds)
}

// commandWritten records that a machine writes a role command.
func (sim *simulation) commandWritten(sender *machine) {
	sim.mutex.Lock()
	sim.commandSender = sender.slot
	sim.mutex.Unlock()
	sim.trigger(schedule.RoleCommand)
}

// lastCommandSender returns the slot of the machine that last wrote a role command.
func (sim *simulation) lastCommandSender() int {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.commandSender
}

// listen accepts the calls of servers until the incarnation's process ends. An earlier incarnation may still leave the address.
func (i *incarnation) listen(ctx context.Context) {
	listener, err := i.process.Listen(ctx, fmt.Sprintf("%s:%d", i.worker.host, workerPort))
	for err != nil {
		if !simnet.Sleep(ctx, retryInterval) {
			return
		}
		listener, err = i.process.Listen(ctx, fmt.Sprintf("%s:%d", i.worker.host, workerPort))
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		i.worker.simulation.goroutines.Go(func() { i.serve(connection) })
	}
}

// serve answers the requests of one connection.
func (i *incarnation) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		status, answer := i.answer(request, body)
		response := fmt.Sprintf("HTTP/1.1 %d status\r\nContent-Length: %d\r\n\r\n%s", status, len(answer), answer)
		if _, err := io.WriteString(connection, response); err != nil {
			return
		}
	}
}

// answer returns the answer to a report or a role command.
func (i *incarnation) answer(request *http.Request, body []byte) (status int, answer string) {
	if request.Header.Get("X-Target-Instance") != i.id {
		return http.StatusMisdirectedRequest, ""
	}
	if request.URL.Path == reportPath {
		i.mutex.Lock()
		defer i.mutex.Unlock()
		return http.StatusOK, fmt.Sprintf(`{"stage":%q,"utilization":%v,"sequence":%d}`, i.state.role, i.state.busy, i.state.revision)
	}
	return i.takeCommand(body), ""
}

// takeCommand records a role command and returns the status of the answer.
func (i *incarnation) takeCommand(body []byte) (status int) {
	var command struct {
		Role       string  `json:"stage"`
		Holder     string  `json:"holder"`
		Token      uint64  `json:"fenceToken"`
		IfRevision *uint64 `json:"ifRevision"`
	}
	recorder := i.worker.simulation.recorder
	if err := json.Unmarshal(body, &command); err != nil {
		recorder.addFailure("a worker cannot decode a command: " + err.Error())
		return http.StatusBadRequest
	}
	drawn := i.worker.randomDuration(maxRoleChange)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch {
	case i.state.busy || command.IfRevision != nil && *command.IfRevision != i.state.revision:
		status = http.StatusConflict
	case drawn%takenShare != 0:
		status = http.StatusServiceUnavailable
	case command.Role == i.state.role:
		status = http.StatusOK
	default:
		status = http.StatusAccepted
		i.state.revision++
		i.changeRole(command.Role, drawn)
	}
	recorder.addRoleCommand(history.RoleCommand{At: recorder.now(), Worker: i.id, Holder: command.Holder, Token: command.Token, Status: status})
	return status
}

// changeRole changes the role after a time, or has the worker forget about it. The caller holds the mutex.
func (i *incarnation) changeRole(role string, after time.Duration) {
	i.state.busy = true
	i.worker.simulation.goroutines.Go(func() {
		time.Sleep(after)
		i.mutex.Lock()
		defer i.mutex.Unlock()
		i.state.busy = false
		if after%ignoredShare == 0 {
			i.state.role = role
		}
	})
}

// addRoleCommand records a role command that a worker has read.
func (r *recorder) addRoleCommand(command history.RoleCommand) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.RoleCommands = append(r.history.RoleCommands, command)
}

// exempt excludes the role commands of machines that were thawed, or whose links were healed, now.
func (r *recorder) exempt(machines []*machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, m := range machines {
		r.history.Exemptions = append(r.history.Exemptions, history.Exemption{Holder: m.nodeName(), From: now, To: now + exemptAfter})
	}
}
