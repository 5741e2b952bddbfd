package upgrade

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/byhand"
)

func enter(t *testing.T, tmp string) *Room {
	t.Helper()
	r, err := Open(tmp, "n1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// What one process records the next one finds, and nothing is left half written.
func TestRecorded(t *testing.T) {
	tmp := t.TempDir()
	r := enter(t, tmp)
	for i, name := range []string{"a", "b"} {
		if _, err := r.Change(func(w byhand.Words) { w.Say(name, true, time.Duration(i+1)*time.Hour) }); err != nil {
			t.Fatal(err)
		}
	}
	r.Close()
	w, err := enter(t, tmp).Words()
	if err != nil || !w.Out("a") || !w.Out("b") {
		t.Errorf("%+v, %v", w, err)
	}
	if left, _ := filepath.Glob(filepath.Join(tmp, "*", "new-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// A file that is torn, of another version, a folder or far too long gives no words
// and an error; the next change writes it anew.
func TestUnreadable(t *testing.T) {
	for name, spoil := range map[string]func(path string) error{
		"torn":  func(p string) error { return os.WriteFile(p, []byte(`{"version":1,"words":{"a":{"out":tr`), 0o600) },
		"empty": func(p string) error { return os.WriteFile(p, nil, 0o600) },
		"version": func(p string) error {
			return os.WriteFile(p, []byte(`{"version":7,"words":{"a":{"out":true}}}`), 0o600)
		},
		"long": func(p string) error { return os.WriteFile(p, []byte(strings.Repeat(" ", mostWords+1)), 0o600) },
	} {
		r := enter(t, t.TempDir())
		if err := spoil(filepath.Join(r.dir, wordsFile)); err != nil {
			t.Fatal(err)
		}
		if w, err := r.Words(); err == nil || len(w) > 0 {
			t.Errorf("%s: %+v, %v", name, w, err)
		}
		if _, err := r.Change(func(w byhand.Words) { w.Say("b", true, time.Hour) }); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if w, err := r.Words(); err != nil || !w.Out("b") || len(w) != 1 {
			t.Errorf("%s, then: %+v, %v", name, w, err)
		}
	}
	if _, err := Open("", "n1"); err == nil {
		t.Error("no folder is named, and one was found")
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(file, "n1"); err == nil {
		t.Error("entered a file")
	}
}

// Two processes see each other, and not one that has left.
func TestOthers(t *testing.T) {
	tmp := t.TempDir()
	a, b := enter(t, tmp), enter(t, tmp)
	if a.Others() != 1 || b.Others() != 1 {
		t.Errorf("%d and %d others", a.Others(), b.Others())
	}
	b.Close()
	if n := a.Others(); n != 0 {
		t.Errorf("%d others after one has left", n)
	}
}

// Parcels arrive whole, with their sockets, also where the folder's name is long;
// without a process that follows there is none to hand over to.
func TestParcels(t *testing.T) {
	tmp := filepath.Join(t.TempDir(), strings.Repeat("long", 30))
	if err := os.Mkdir(tmp, 0o700); err != nil {
		t.Fatal(err)
	}
	a, b := enter(t, tmp), enter(t, tmp)
	if a.Next() != nil {
		t.Fatal("handed over to nobody")
	}
	got := make(chan Parcel, 1)
	stop, err := b.Receive(func(p Parcel) { got <- p })
	if err != nil {
		t.Fatal(err)
	}
	if b.Next() != nil {
		t.Error("a process follows itself")
	}
	next := a.Next()
	if next == nil {
		t.Fatal("the process that follows is not found")
	}
	defer next.Close()
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	text := strings.Repeat("x", 150<<10)
	if err := next.Send(Parcel{Text: []byte(text), Sockets: []*os.File{out}}); err != nil {
		t.Fatal(err)
	}
	p := <-got
	if string(p.Text) != text || len(p.Sockets) != 1 {
		t.Fatalf("%d bytes and %d sockets", len(p.Text), len(p.Sockets))
	}
	if _, err := p.Sockets[0].WriteString("hi"); err != nil {
		t.Error(err)
	}
	buf := make([]byte, 2)
	if _, err := in.Read(buf); err != nil || string(buf) != "hi" {
		t.Errorf("through the socket came %q, %v", buf, err)
	}
	p.Close()
	if err := next.Send(Parcel{Text: make([]byte, mostParcel+1)}); err == nil {
		t.Error("a parcel that is too long was sent")
	}
	stop()
	if a.Next() != nil {
		t.Error("found a process that takes nothing more")
	}
}

// What a process that is gone has left counts as nobody.
func TestDeadProcess(t *testing.T) {
	r := enter(t, t.TempDir())
	dead := filepath.Join(r.dir, alive+"1")
	if err := os.WriteFile(dead, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if n := r.Others(); n != 0 {
		t.Errorf("%d others", n)
	}
	if _, err := os.Stat(dead); err == nil {
		t.Error("its file is still there")
	}
}
