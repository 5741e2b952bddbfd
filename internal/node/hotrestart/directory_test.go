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
	r, err := Open(tmp, "n1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func takeOut(name string) func(override.Overrides) {
	return func(w override.Overrides) { w.Set(name, true, time.Hour) }
}

// Overrides stored by one process are read by the next. An unreadable file is an error without
// overrides, and the next change replaces it. The files of an ended process do not count.
func TestDirectory_Overrides_unreadableFileIsReset(t *testing.T) {
	for spoilt, text := range map[string]string{"torn": `{"version":1,"words":{"a":{"out":tr`, "empty": "",
		"version": `{"version":7,"words":{"a":{"out":true}}}`, "long": strings.Repeat(" ", maxOverridesBytes+1)} {
		tmp := t.TempDir()
		a, b := openDirectory(t, tmp), openDirectory(t, tmp)
		path := filepath.Join(a.path, overridesName)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if w, err := a.Overrides(); err == nil || len(w) > 0 {
			t.Errorf("%s: %+v, %v", spoilt, w, err)
		}
		for i, r := range []*Directory{a, b} {
			if _, err := r.Change(takeOut([]string{"x", "y"}[i])); err != nil {
				t.Errorf("%s: %v", spoilt, err)
			}
		}
		if w, err := a.Overrides(); err != nil || !w.Out("x") || !w.Out("y") || len(w) != 2 {
			t.Errorf("%s, then: %+v, %v", spoilt, w, err)
		}
		_ = os.WriteFile(filepath.Join(a.path, lockPrefix+"1"), nil, 0o600)
		if a.OtherProcesses() != 1 || b.OtherProcesses() != 1 {
			t.Errorf("%d and %d others", a.OtherProcesses(), b.OtherProcesses())
		}
		b.Close()
		if n := a.OtherProcesses(); n != 0 {
			t.Errorf("%d others after one has left", n)
		}
	}
}

// Messages arrive complete, with their sockets, also if the directory's name is long.
func TestSuccessor_Send_largeMessageWithSockets(t *testing.T) {
	tmp := filepath.Join(t.TempDir(), strings.Repeat("long", 30))
	a, b := openDirectory(t, tmp), openDirectory(t, tmp)
	got := make(chan Message, 1)
	stop, err := b.Receive(func(p Message) { got <- p })
	if err != nil {
		t.Fatal(err)
	}
	next := a.Successor()
	if next == nil || b.Successor() != nil {
		t.Fatal("the next process is not found, or is its own successor")
	}
	defer next.Close()
	in, far, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	if err := next.Send(Message{Text: make([]byte, 150<<10), Sockets: []*os.File{far}}); err != nil {
		t.Fatal(err)
	}
	p, buf := <-got, make([]byte, 2)
	_, _ = p.Sockets[0].WriteString("hi")
	if n, err := in.Read(buf); err != nil || string(buf[:n]) != "hi" || len(p.Text) != 150<<10 {
		t.Errorf("%d bytes, and through the socket came %q, %v", len(p.Text), buf, err)
	}
	p.Close()
	if err := next.Send(Message{Text: make([]byte, maxMessageBytes+1)}); err == nil {
		t.Error("a message that is too long was sent")
	}
	if stop(); a.Successor() != nil {
		t.Error("found a process that has stopped receiving")
	}
}
