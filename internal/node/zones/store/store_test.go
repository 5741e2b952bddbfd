package store

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"ospreybend/coord/consensus"
	"ospreybend/internal/node/zones/replicatedlog"
)

var owner = Owner{Fleet: "f", Voter: 2, Voters: []uint64{1, 2, 3}}

func entry(index uint64, text string) consensus.Entry {
	return consensus.Entry{Index: index, Term: 1, Data: []byte(text)}
}

func hardState(commit uint64) *consensus.HardState {
	return &consensus.HardState{Term: 1, Vote: 1, Commit: commit}
}

func openStore(t *testing.T, path string) (*Store, replicatedlog.StoredState) {
	t.Helper()
	s, stored, err := Open(path, owner)
	if err != nil {
		t.Fatal(err)
	}
	return s, stored
}

func writeTo(t *testing.T, s *Store, p replicatedlog.Persist) {
	t.Helper()
	if err := s.Write(p); err != nil {
		t.Fatal(err)
	}
}

func entryData(k replicatedlog.StoredState) string {
	var b strings.Builder
	for _, e := range k.Entries {
		b.Write(e.Data)
	}
	return b.String()
}

// What was written is read at the next start; later entries replace those from their index on, and a snapshot replaces
// the entries that it covers.
func TestStore_Write_survivesReopen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	s, stored := openStore(t, path)
	if len(stored.Snapshot.Members) != 3 || s.Starts() != 1 {
		t.Fatalf("a new store holds %v after start %d", stored, s.Starts())
	}
	id := s.ID()
	writeTo(t, s, replicatedlog.Persist{HardState: hardState(1), Entries: []consensus.Entry{entry(2, "a"), entry(3, "b"), entry(4, "c")}})
	writeTo(t, s, replicatedlog.Persist{Entries: []consensus.Entry{entry(3, "d")}})
	s.Close()
	s, stored = openStore(t, path)
	if entryData(stored) != "ad" || stored.HardState.Vote != 1 || s.ID() != id || s.Starts() != 2 {
		t.Errorf("entries %q, %v, store %s after start %d", entryData(stored), stored.HardState, s.ID(), s.Starts())
	}
	shot := &consensus.Snapshot{Data: []byte("s"), Index: 3, Term: 1, Members: replicatedlog.Bootstrap(owner.Voters).Snapshot.Members}
	writeTo(t, s, replicatedlog.Persist{Snapshot: shot, First: 3, Entries: []consensus.Entry{entry(4, "e")}})
	s.Close()
	s, stored = openStore(t, path)
	if entryData(stored) != "de" || string(stored.Snapshot.Data) != "s" {
		t.Errorf("entries %q behind the snapshot %q", entryData(stored), stored.Snapshot.Data)
	}
	writeTo(t, s, replicatedlog.Persist{Snapshot: shot, Replaces: true, First: 4})
	s.Close()
	if s, stored = openStore(t, path); entryData(stored) != "" {
		t.Errorf("entries %q behind another's snapshot", entryData(stored))
	}
	s.Close()
}

// Open returns an error that names the file and what is wrong with it.
func TestOpen_rejectsBadFiles(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good")
	s, _ := openStore(t, good)
	writeTo(t, s, replicatedlog.Persist{HardState: hardState(1), Entries: []consensus.Entry{entry(2, strings.Repeat("a", 9000))}})
	s.Close()
	text, err := os.ReadFile(good)
	if err != nil {
		t.Fatal(err)
	}
	spoil := func(name string, text []byte, change func(*bbolt.Tx) error) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if change != nil {
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := db.Update(change); err != nil {
				t.Fatal(err)
			}
			db.Close()
		}
		return path
	}
	flipped := bytes.Replace(text, []byte("aaaaaaaa"), []byte("aaaabaaa"), 1)
	for _, c := range []struct {
		path, want string
		owner      Owner
	}{
		{spoil("empty", nil, nil), "it is empty", owner},
		{spoil("foreign", bytes.Repeat([]byte("no store "), 4000), nil), "cannot be opened", owner},
		{spoil("flipped", flipped, nil), "checksum", owner},
		{spoil("newer", text, func(tx *bbolt.Tx) error { return putChecked(tx.Bucket(bucketAbout), keyFormat, encodeUint64(7)) }), "form 7", owner},
		{spoil("older", text, func(tx *bbolt.Tx) error {
			return putChecked(tx.Bucket(bucketAbout), keyFormat, encodeUint64(formatVersion-1))
		}),
			"it has the form 1, this program reads form 2", owner},
		{spoil("strange entry", text, func(tx *bbolt.Tx) error { return putChecked(tx.Bucket(bucketEntries), encodeUint64(2), []byte{1}) }),
			"entry 2: replicated log: the bytes cannot be read", owner},
		{spoil("misplaced entry", text, func(tx *bbolt.Tx) error {
			return putChecked(tx.Bucket(bucketEntries), encodeUint64(3), replicatedlog.EncodeEntry(entry(2, "a")))
		}), "entry 2 stands in the place of entry 3", owner},
		{spoil("strange snapshot", text, func(tx *bbolt.Tx) error { return putChecked(tx.Bucket(bucketState), keySnapshot, []byte("s")) }),
			"snapshot: replicated log: the bytes cannot be read", owner},
		{spoil("bare", text, func(tx *bbolt.Tx) error { return tx.DeleteBucket(bucketState) }), "no store", owner},
		{good, "voter 2", Owner{Fleet: "f", Voter: 3}},
		{good, "fleet", Owner{Fleet: "g", Voter: 2}},
		{good, "a name", Owner{Voter: 2}},
		{filepath.Join(dir, "none", "store"), "no such file", owner},
	} {
		_, _, err := Open(c.path, c.owner)
		var e *Error
		if !errors.As(err, &e) || e.Path != c.path || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.path, err)
		}
	}
	// A truncated file gives an error or all that was stored; never a crash, never less.
	for cut := 0; cut < len(text); cut += 509 {
		path := spoil("cut", text[:cut], nil)
		s, stored, err := Open(path, owner)
		if err == nil {
			if len(entryData(stored)) != 9000 {
				t.Errorf("cut at %d: less is read, without an error", cut)
			}
			s.Close()
		}
		os.Remove(path)
	}
	one, _ := openStore(t, good)
	if _, _, err := Open(good, owner); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
	one.Close()
}

// A write that is cut off at any byte, as by a loss of power, leaves the state before it or all of it: the library
// writes the new pages first and the meta page last.
func TestStore_Write_cutAnywhere(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	s, _ := openStore(t, path)
	writeTo(t, s, replicatedlog.Persist{HardState: hardState(1), Entries: []consensus.Entry{entry(2, "before")}})
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	writeTo(t, s, replicatedlog.Persist{HardState: hardState(2), Entries: []consensus.Entry{entry(3, "after")}})
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if len(before) != len(after) {
		t.Fatalf("the file grew from %d to %d", len(before), len(after))
	}
	var data, meta []int
	page := os.Getpagesize()
	for i := range after {
		if before[i] != after[i] {
			if i < 2*page {
				meta = append(meta, i)
			} else {
				data = append(data, i)
			}
		}
	}
	if len(meta) == 0 || len(data) == 0 {
		t.Fatal("nothing was written")
	}
	torn := bytes.Clone(before)
	check := func(at int) string {
		cut := path + "-cut"
		if err := os.WriteFile(cut, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		defer os.Remove(cut)
		s, stored, err := Open(cut, owner)
		if err != nil {
			t.Fatalf("cut at byte %d: %v", at, err)
		}
		s.Close()
		return entryData(stored)
	}
	for n, i := range data {
		torn[i] = after[i]
		if n%17 == 0 {
			if got := check(i); got != "before" {
				t.Fatalf("cut at byte %d: %q", i, got)
			}
		}
	}
	for _, i := range meta {
		torn[i] = after[i]
		if got := check(i); got != "before" && got != "beforeafter" {
			t.Fatalf("cut at byte %d: %q", i, got)
		}
	}
	if got := check(len(after)); got != "beforeafter" {
		t.Errorf("complete: %q", got)
	}
}

// A full store returns an error that names its file and loses nothing that was written.
func TestStore_Write_fullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	maxFileBytes = 1 << 20
	defer func() { maxFileBytes = 0 }()
	s, _ := openStore(t, path)
	taken := uint64(0)
	var err error
	for index := uint64(2); index < 10_000 && err == nil; index++ {
		if err = s.Write(replicatedlog.Persist{HardState: hardState(1), Entries: []consensus.Entry{entry(index, strings.Repeat("x", 2000))}}); err == nil {
			taken = index
		}
	}
	var e *Error
	if !errors.As(err, &e) || e.Path != path || taken < 10 {
		t.Fatalf("after %d entries: %v", taken, err)
	}
	s.Close()
	maxFileBytes = 0
	s, stored := openStore(t, path)
	defer s.Close()
	if n := len(stored.Entries); uint64(n) != taken-1 || stored.Entries[n-1].Index != taken {
		t.Errorf("%d entries are stored of those up to %d", n, taken)
	}
}
