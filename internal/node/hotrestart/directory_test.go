package hotrestart

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/node/override"
)

func openDirectory(t *testing.T, tmp string) *Directory {
	t.Helper()
	directory, err := Open(tmp, "n1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(directory.Close)
	return directory
}

// disable returns a change that disables a prep worker.
func disable(name string) func(override.Overrides) {
	return func(overrides override.Overrides) { overrides.Set(name, true, time.Hour) }
}

// Overrides returns an error and no overrides if the file cannot be read; the next Change replaces
// the file. One process reads the overrides that another has stored. A process that has ended is
// not counted.
func TestDirectory_Overrides_unreadableFileIsReset(t *testing.T) {
	for damage, content := range map[string]string{"torn": `{"version":1,"words":{"a":{"out":tr`, "empty": "",
		"version": `{"version":7,"words":{"a":{"out":true}}}`, "long": strings.Repeat(" ", maxOverridesBytes+1)} {
		tmp := t.TempDir()
		a, b := openDirectory(t, tmp), openDirectory(t, tmp)
		path := filepath.Join(a.path, overridesName)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if overrides, err := a.Overrides(); err == nil || len(overrides) > 0 {
			t.Errorf("%s file: got overrides %+v, error %v, want none and an error", damage, overrides, err)
		}
		for i, directory := range []*Directory{a, b} {
			if _, err := directory.Change(disable([]string{"x", "y"}[i])); err != nil {
				t.Errorf("%s file: Change by process %d: %v", damage, i, err)
			}
		}
		if overrides, err := a.Overrides(); err != nil || !overrides.Disabled("x") || !overrides.Disabled("y") || len(overrides) != 2 {
			t.Errorf("%s file, after both changes: got overrides %+v, error %v, want x and y disabled", damage, overrides, err)
		}
		_ = os.WriteFile(filepath.Join(a.path, lockPrefix+"1"), nil, 0o600)
		if a.OtherProcesses() != 1 || b.OtherProcesses() != 1 {
			t.Errorf("%s file: got %d and %d other processes, want 1 and 1", damage, a.OtherProcesses(), b.OtherProcesses())
		}
		b.Close()
		if n := a.OtherProcesses(); n != 0 {
			t.Errorf("%s file: got %d other processes after the other has ended, want 0", damage, n)
		}
	}
}

// A large message arrives whole and with its socket, also if the directory's path is too long for
// a socket address.
func TestSuccessor_Send_largeMessageWithSockets(t *testing.T) {
	tmp := filepath.Join(t.TempDir(), strings.Repeat("long", 30))
	a, b := openDirectory(t, tmp), openDirectory(t, tmp)
	received := make(chan Message, 1)
	stop, err := b.Receive(func(m Message) { received <- m })
	if err != nil {
		t.Fatal(err)
	}
	successor := a.Successor()
	if successor == nil || b.Successor() != nil {
		t.Fatalf("Successor: got %v for the previous process, want the next process; or one for the next process, want none", successor)
	}
	defer successor.Close()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	if err := successor.Send(Message{Payload: make([]byte, 150<<10), Sockets: []*os.File{writer}}); err != nil {
		t.Fatal(err)
	}
	message, buf := <-received, make([]byte, 2)
	_, _ = message.Sockets[0].WriteString("hi")
	if n, err := reader.Read(buf); err != nil || string(buf[:n]) != "hi" || len(message.Payload) != 150<<10 {
		t.Errorf("got a message of %d bytes, and %q, error %v through its socket, want %d bytes and %q", len(message.Payload), buf, err, 150<<10, "hi")
	}
	message.Close()
	if err := successor.Send(Message{Payload: make([]byte, maxMessageBytes+1)}); err == nil {
		t.Error("Send of a message that is too long: got no error")
	}
	if stop(); a.Successor() != nil {
		t.Error("Successor after the next process has stopped receiving: got one, want none")
	}
}
