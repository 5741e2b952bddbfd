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

func entryData(stored replicatedlog.StoredState) string {
	var b strings.Builder
	for _, e := range stored.Entries {
		b.Write(e.Data)
	}
	return b.String()
}

// A reopened store returns what was written: later entries replace those from their index on, a snapshot of this voter
// removes the entries before FirstIndex, and a snapshot of another voter removes all entries.
func TestStore_Write_survivesReopen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	s, stored := openStore(t, path)
	if len(stored.Snapshot.Members) != 3 || s.Starts() != 1 {
		t.Fatalf("new store: got %v and %d starts, want a snapshot with 3 members and 1 start", stored, s.Starts())
	}
	id := s.ID()
	writeTo(t, s, replicatedlog.Persist{HardState: hardState(1), Entries: []consensus.Entry{entry(2, "a"), entry(3, "b"), entry(4, "c")}})
	writeTo(t, s, replicatedlog.Persist{Entries: []consensus.Entry{entry(3, "d")}})
	s.Close()
	s, stored = openStore(t, path)
	if entryData(stored) != "ad" || stored.HardState.Vote != 1 || s.ID() != id || s.Starts() != 2 {
		t.Errorf("reopened store: got entries %q, hard state %v, ID %s, %d starts, want entries \"ad\", vote 1, ID %s, 2 starts",
			entryData(stored), stored.HardState, s.ID(), s.Starts(), id)
	}
	snapshot := &consensus.Snapshot{Data: []byte("s"), Index: 3, Term: 1, Members: replicatedlog.Bootstrap(owner.Voters).Snapshot.Members}
	writeTo(t, s, replicatedlog.Persist{Snapshot: snapshot, FirstIndex: 3, Entries: []consensus.Entry{entry(4, "e")}})
	s.Close()
	s, stored = openStore(t, path)
	if entryData(stored) != "de" || string(stored.Snapshot.Data) != "s" {
		t.Errorf("after a snapshot of this voter: got entries %q and snapshot %q, want \"de\" and \"s\"", entryData(stored), stored.Snapshot.Data)
	}
	writeTo(t, s, replicatedlog.Persist{Snapshot: snapshot, ReplacesEntries: true, FirstIndex: 4})
	s.Close()
	if s, stored = openStore(t, path); entryData(stored) != "" {
		t.Errorf("after a snapshot of another voter: got entries %q, want none", entryData(stored))
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
	content, err := os.ReadFile(good)
	if err != nil {
		t.Fatal(err)
	}
	writeDamaged := func(name string, text []byte, change func(*bbolt.Tx) error) string {
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
	flipped := bytes.Replace(content, []byte("aaaaaaaa"), []byte("aaaabaaa"), 1)
	for _, c := range []struct {
		path, want string
		owner      Owner
	}{
		{writeDamaged("empty", nil, nil), "the file is empty", owner},
		{writeDamaged("foreign", bytes.Repeat([]byte("no store "), 4000), nil), "cannot be opened", owner},
		{writeDamaged("flipped", flipped, nil), "checksum", owner},
		{writeDamaged("newer", content, func(tx *bbolt.Tx) error { return putChecked(tx.Bucket(bucketAbout), keyFormat, encodeUint64(7)) }), "format version 7", owner},
		{writeDamaged("older", content, func(tx *bbolt.Tx) error {
			return putChecked(tx.Bucket(bucketAbout), keyFormat, encodeUint64(formatVersion-1))
		}),
			"the file has format version 1, this program reads version 2", owner},
		{writeDamaged("undecodable entry", content, func(tx *bbolt.Tx) error { return putChecked(tx.Bucket(bucketEntries), encodeUint64(2), []byte{1}) }),
			"entry 2: replicated log: the bytes cannot be read", owner},
		{writeDamaged("misplaced entry", content, func(tx *bbolt.Tx) error {
			return putChecked(tx.Bucket(bucketEntries), encodeUint64(3), replicatedlog.EncodeEntry(entry(2, "a")))
		}), "entry 2 is stored under the key of entry 3", owner},
		{writeDamaged("undecodable snapshot", content, func(tx *bbolt.Tx) error { return putChecked(tx.Bucket(bucketState), keySnapshot, []byte("s")) }),
			"snapshot: replicated log: the bytes cannot be read", owner},
		{writeDamaged("without state bucket", content, func(tx *bbolt.Tx) error { return tx.DeleteBucket(bucketState) }), "not a voter's store", owner},
		{good, "voter 2", Owner{Fleet: "f", Voter: 3}},
		{good, "fleet", Owner{Fleet: "g", Voter: 2}},
		{good, "a name", Owner{Voter: 2}},
		{filepath.Join(dir, "none", "store"), "no such file", owner},
	} {
		_, _, err := Open(c.path, c.owner)
		var e *Error
		if !errors.As(err, &e) || e.Path != c.path || !strings.Contains(err.Error(), c.want) {
			t.Errorf("open %s: got error %v, want a store.Error with this path and %q", c.path, err, c.want)
		}
	}
	// A truncated file must cause an error or be read completely; it must never crash the program or lose data silently.
	for cut := 0; cut < len(content); cut += 509 {
		path := writeDamaged("cut", content[:cut], nil)
		s, stored, err := Open(path, owner)
		if err == nil {
			if len(entryData(stored)) != 9000 {
				t.Errorf("file truncated at byte %d: read %d bytes of entry data without an error, want 9000", cut, len(entryData(stored)))
			}
			s.Close()
		}
		os.Remove(path)
	}
	first, _ := openStore(t, good)
	if _, _, err := Open(good, owner); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second open of an open store: got error %v, want one that names another process", err)
	}
	first.Close()
}

// A write that is interrupted at any byte, as by a loss of power, leaves the state either before or after it, because the
// database library writes the new pages first and the meta page last.
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
		t.Fatalf("the write changed the file size from %d to %d bytes, want no change", len(before), len(after))
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
		t.Fatalf("the write changed %d bytes of meta pages and %d of data pages, want some of both", len(meta), len(data))
	}
	partial := bytes.Clone(before)
	check := func(at int) string {
		cut := path + "-cut"
		if err := os.WriteFile(cut, partial, 0o600); err != nil {
			t.Fatal(err)
		}
		defer os.Remove(cut)
		s, stored, err := Open(cut, owner)
		if err != nil {
			t.Fatalf("open after a write interrupted at byte %d: %v", at, err)
		}
		s.Close()
		return entryData(stored)
	}
	for n, i := range data {
		partial[i] = after[i]
		if n%17 == 0 {
			if got := check(i); got != "before" {
				t.Fatalf("write of data pages interrupted at byte %d: got entries %q, want \"before\"", i, got)
			}
		}
	}
	for _, i := range meta {
		partial[i] = after[i]
		if got := check(i); got != "before" && got != "beforeafter" {
			t.Fatalf("write of meta pages interrupted at byte %d: got entries %q, want \"before\" or \"beforeafter\"", i, got)
		}
	}
	if got := check(len(after)); got != "beforeafter" {
		t.Errorf("complete write: got entries %q, want \"beforeafter\"", got)
	}
}

// Write returns an error that names the file when the disk is full; the entries written before are kept.
func TestStore_Write_fullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	maxFileBytes = 1 << 20
	defer func() { maxFileBytes = 0 }()
	s, _ := openStore(t, path)
	lastWritten := uint64(0)
	var err error
	for index := uint64(2); index < 10_000 && err == nil; index++ {
		if err = s.Write(replicatedlog.Persist{HardState: hardState(1), Entries: []consensus.Entry{entry(index, strings.Repeat("x", 2000))}}); err == nil {
			lastWritten = index
		}
	}
	var e *Error
	if !errors.As(err, &e) || e.Path != path || lastWritten < 10 {
		t.Fatalf("writing until the disk is full: got error %v after entry %d, want a store.Error with path %s after entry 10 or later", err, lastWritten, path)
	}
	s.Close()
	maxFileBytes = 0
	s, stored := openStore(t, path)
	defer s.Close()
	if n := len(stored.Entries); uint64(n) != lastWritten-1 || stored.Entries[n-1].Index != lastWritten {
		t.Errorf("reopened store: got %d entries, want those from 2 to %d", n, lastWritten)
	}
}
