// Package store is a voter's store: what the agreed log has to have written through,
// in one file. Every value carries a checksum. A file that is torn, foreign, of a newer
// form, or another voter's is an error at the start that names the file.
package store

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"ospreybend/coord/consensus"
	"ospreybend/internal/node/zones/replicatedlog"
)

// form is the number of the file's form. A program reads its own form alone. Form 1 held the records of another
// consensus library.
const form = 2

const lockWait = 200 * time.Millisecond // for another process to let go of the file

// mostBytes bounds a file; 0: nothing does but the disk. Tests have one fill.
var mostBytes = 0

var (
	bucketAbout   = []byte("about")
	bucketState   = []byte("state")
	bucketEntries = []byte("entries")
	keyForm       = []byte("form")
	keyFleet      = []byte("fleet")
	keyVoter      = []byte("voter")
	keyStore      = []byte("store")
	keyStarts     = []byte("starts")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Owner is whose store it is.
type Owner struct {
	Fleet  string   // the fleet's name
	Voter  uint64   // its number, not 0
	Voters []uint64 // that a new fleet begins with; empty: this voter joins a fleet that is there
}

// Store is an open file. Its methods may wait for the disk: they are called beside the
// loop, one at a time.
type Store struct {
	db   *bbolt.DB
	path string
	id   string
	runs uint64
}

// Fault is what is wrong with a store. It names the file.
type Fault struct {
	Path string
	Err  error
}

// Error names the file and what is wrong with it.
func (f *Fault) Error() string { return fmt.Sprintf("store %s: %v", f.Path, f.Err) }

// Unwrap returns what is wrong.
func (f *Fault) Unwrap() error { return f.Err }

// Open opens a voter's store, makes it where there is none, and counts the start, all
// written through before it returns.
func Open(path string, owner Owner) (s *Store, stored replicatedlog.Stored, err error) {
	defer func() {
		if err != nil {
			err = &Fault{path, err}
		}
	}()
	if owner.Voter == 0 || owner.Fleet == "" {
		return nil, stored, fmt.Errorf("voter %d of the fleet %q: a number above 0 and a name are wanted", owner.Voter, owner.Fleet)
	}
	s = &Store{path: path}
	if err := s.open(); err != nil {
		return nil, stored, err
	}
	defer func() {
		if err != nil {
			_ = s.db.Close()
		}
	}()
	err = guard(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			if err := s.whole(tx); err != nil {
				return err
			}
			if tx.Bucket(bucketAbout) == nil {
				if err := found(tx, owner); err != nil {
					return err
				}
			}
			if err := s.begin(tx, owner); err != nil {
				return err
			}
			var err error
			stored, err = load(tx)
			return err
		})
	})
	return s, stored, err
}

// open maps the file. Where it is cut short the library meets pages that are not there.
func (s *Store) open() error {
	info, err := os.Stat(s.path)
	if err == nil && info.Size() == 0 {
		return errors.New("it is empty: it was cut, or is not a store; a new store begins without a file")
	}
	return guard(func() (err error) {
		s.db, err = bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistArrayType, MaxSize: mostBytes})
		switch {
		case errors.Is(err, bbolterrors.ErrTimeout):
			return errors.New("another process has it open")
		case err != nil:
			return fmt.Errorf("it cannot be opened: %w", err)
		}
		return nil
	})
}

// whole tells whether all pages that the file speaks of are there.
func (s *Store) whole(tx *bbolt.Tx) error {
	info, err := os.Stat(s.path)
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("it is torn: %d bytes, where %d are wanted", info.Size(), tx.Size())
	}
	return nil
}

// guard makes an error of what reading a damaged file panics with.
func guard(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("it is damaged: %v", r)
		}
	}()
	return f()
}

// found writes an empty store.
func found(tx *bbolt.Tx, owner Owner) error {
	about, err := tx.CreateBucket(bucketAbout)
	if err != nil {
		return err
	}
	state, err := tx.CreateBucket(bucketState)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(bucketEntries); err != nil {
		return err
	}
	id := make([]byte, 16)
	if _, err := rand.Read(id); err != nil {
		return err
	}
	for _, v := range []struct{ key, value []byte }{{keyForm, number(form)}, {keyFleet, []byte(owner.Fleet)},
		{keyVoter, number(owner.Voter)}, {keyStore, id}, {keyStarts, number(0)}} {
		if err := put(about, v.key, v.value); err != nil {
			return err
		}
	}
	if len(owner.Voters) == 0 {
		return nil
	}
	return put(state, keySnapshot, replicatedlog.EncodeSnapshot(*replicatedlog.Founding(owner.Voters).Snapshot))
}

// begin holds the store against who opens it, and counts the start.
func (s *Store) begin(tx *bbolt.Tx, owner Owner) error {
	about := tx.Bucket(bucketAbout)
	if tx.Bucket(bucketState) == nil || tx.Bucket(bucketEntries) == nil {
		return errors.New("it is no store of a voter")
	}
	read := func(key []byte) uint64 { v, _ := get(about, key); return numberOf(v) }
	if at := read(keyForm); at != form {
		return fmt.Errorf("it has the form %d, this program reads form %d", at, form)
	}
	fleet, err := get(about, keyFleet)
	if err != nil {
		return err
	}
	if string(fleet) != owner.Fleet || read(keyVoter) != owner.Voter {
		return fmt.Errorf("it belongs to voter %d of the fleet %q, not to voter %d of %q", read(keyVoter), fleet, owner.Voter, owner.Fleet)
	}
	id, err := get(about, keyStore)
	if err != nil {
		return err
	}
	starts, err := get(about, keyStarts)
	if err != nil {
		return err
	}
	s.id, s.runs = hex.EncodeToString(id), numberOf(starts)+1
	return put(about, keyStarts, number(s.runs))
}

func load(tx *bbolt.Tx) (stored replicatedlog.Stored, err error) {
	state := tx.Bucket(bucketState)
	if stored.HardState, err = record(state, keyHard, replicatedlog.DecodeHardState); err != nil {
		return stored, err
	}
	if stored.Snapshot, err = record(state, keySnapshot, replicatedlog.DecodeSnapshot); err != nil {
		return stored, err
	}
	return stored, tx.Bucket(bucketEntries).ForEach(func(k, v []byte) error {
		text, err := open(k, v)
		if err != nil {
			return fmt.Errorf("entry %d: %w", numberOf(k), err)
		}
		entry, err := replicatedlog.DecodeEntry(text)
		if err != nil {
			return fmt.Errorf("entry %d: %w", numberOf(k), err)
		}
		if entry.Index != numberOf(k) {
			return fmt.Errorf("entry %d stands in the place of entry %d", entry.Index, numberOf(k))
		}
		stored.Entries = append(stored.Entries, entry)
		return nil
	})
}

// record reads one record; nil: none is there.
func record[T any](b *bbolt.Bucket, key []byte, decode func([]byte) (T, error)) (*T, error) {
	text, err := get(b, key)
	if err != nil || text == nil {
		return nil, err
	}
	value, err := decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return &value, nil
}

// ID names this file; a store made anew has another. Starts is how often it was opened.
func (s *Store) ID() string     { return s.id }
func (s *Store) Starts() uint64 { return s.runs }

// Write writes through. After an error nothing of it counts as written, and
// nothing more is to be written in this run: what the file holds is known at the next.
func (s *Store) Write(p replicatedlog.Persist) error {
	if p.Empty() {
		return nil
	}
	if err := s.db.Update(func(tx *bbolt.Tx) error { return writeRecords(tx, p) }); err != nil {
		return &Fault{s.path, fmt.Errorf("cannot be written: %w", err)}
	}
	return nil
}

func writeRecords(tx *bbolt.Tx, p replicatedlog.Persist) error {
	state, entries := tx.Bucket(bucketState), tx.Bucket(bucketEntries)
	if p.HardState != nil {
		if err := put(state, keyHard, replicatedlog.EncodeHardState(*p.HardState)); err != nil {
			return err
		}
	}
	if p.Snapshot != nil {
		if err := put(state, keySnapshot, replicatedlog.EncodeSnapshot(*p.Snapshot)); err != nil {
			return err
		}
		if err := drop(entries, func(index uint64) bool { return p.Replaces || index < p.First }); err != nil {
			return err
		}
	}
	return writeEntries(entries, p.Entries)
}

// writeEntries writes entries in place of all from the first one's index on.
func writeEntries(bucket *bbolt.Bucket, entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := drop(bucket, func(index uint64) bool { return index >= entries[0].Index }); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := put(bucket, number(entry.Index), replicatedlog.EncodeEntry(entry)); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// drop removes the entries that f picks. They are few: snapshots see to that.
func drop(entries *bbolt.Bucket, f func(index uint64) bool) error {
	var keys [][]byte
	if err := entries.ForEach(func(k, _ []byte) error {
		if f(numberOf(k)) {
			keys = append(keys, bytes.Clone(k))
		}
		return nil
	}); err != nil {
		return err
	}
	for _, k := range keys {
		if err := entries.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func number(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func numberOf(v []byte) uint64 {
	if len(v) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(v)
}

// put writes a value behind the checksum of key and value.
func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint32(nil, sum(key, value)), value...))
}

// get reads a value; nil: none is there.
func get(b *bbolt.Bucket, key []byte) ([]byte, error) {
	v := b.Get(key)
	if v == nil {
		return nil, nil
	}
	text, err := open(key, v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return text, nil
}

func open(key, v []byte) ([]byte, error) {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != sum(key, v[4:]) {
		return nil, errors.New("the checksum does not fit")
	}
	return bytes.Clone(v[4:]), nil
}

func sum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}
