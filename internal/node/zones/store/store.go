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

// formatVersion is the number of the file's form. A program reads its own form alone. Form 1 held the records of another
// consensus library.
const formatVersion = 2

const lockTimeout = 200 * time.Millisecond // for another process to let go of the file

// maxFileBytes bounds a file; 0: nothing does but the disk. Tests have one fill.
var maxFileBytes = 0

var (
	bucketAbout   = []byte("about")
	bucketState   = []byte("state")
	bucketEntries = []byte("entries")
	keyFormat     = []byte("form")
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
	db     *bbolt.DB
	path   string
	id     string
	starts uint64
}

// Error is what is wrong with a store. It names the file.
type Error struct {
	Path string
	Err  error
}

// Error names the file and what is wrong with it.
func (e *Error) Error() string { return fmt.Sprintf("store %s: %v", e.Path, e.Err) }

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }

// Open opens a voter's store, makes it where there is none, and counts the start, all
// written through before it returns.
func Open(path string, owner Owner) (s *Store, stored replicatedlog.StoredState, err error) {
	defer func() {
		if err != nil {
			err = &Error{path, err}
		}
	}()
	if owner.Voter == 0 || owner.Fleet == "" {
		return nil, stored, fmt.Errorf("voter %d of the fleet %q: a number above 0 and a name are wanted", owner.Voter, owner.Fleet)
	}
	s = &Store{path: path}
	if err := s.openFile(); err != nil {
		return nil, stored, err
	}
	defer func() {
		if err != nil {
			_ = s.db.Close()
		}
	}()
	err = recoverPanic(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			if err := s.checkSize(tx); err != nil {
				return err
			}
			if tx.Bucket(bucketAbout) == nil {
				if err := initialize(tx, owner); err != nil {
					return err
				}
			}
			if err := s.verifyAndCountStart(tx, owner); err != nil {
				return err
			}
			var err error
			stored, err = load(tx)
			return err
		})
	})
	return s, stored, err
}

// openFile maps the file. Where it is cut short the library meets pages that are not there.
func (s *Store) openFile() error {
	info, err := os.Stat(s.path)
	if err == nil && info.Size() == 0 {
		return errors.New("it is empty: it was cut, or is not a store; a new store begins without a file")
	}
	return recoverPanic(func() (err error) {
		s.db, err = bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistArrayType, MaxSize: maxFileBytes})
		switch {
		case errors.Is(err, bbolterrors.ErrTimeout):
			return errors.New("another process has it open")
		case err != nil:
			return fmt.Errorf("it cannot be opened: %w", err)
		}
		return nil
	})
}

// checkSize tells whether all pages that the file speaks of are there.
func (s *Store) checkSize(tx *bbolt.Tx) error {
	info, err := os.Stat(s.path)
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("it is torn: %d bytes, where %d are wanted", info.Size(), tx.Size())
	}
	return nil
}

// recoverPanic makes an error of what reading a damaged file panics with.
func recoverPanic(read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("it is damaged: %v", r)
		}
	}()
	return read()
}

// initialize writes an empty store.
func initialize(tx *bbolt.Tx, owner Owner) error {
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
	for _, pair := range []struct{ key, value []byte }{{keyFormat, encodeUint64(formatVersion)}, {keyFleet, []byte(owner.Fleet)},
		{keyVoter, encodeUint64(owner.Voter)}, {keyStore, id}, {keyStarts, encodeUint64(0)}} {
		if err := putChecked(about, pair.key, pair.value); err != nil {
			return err
		}
	}
	if len(owner.Voters) == 0 {
		return nil
	}
	return putChecked(state, keySnapshot, replicatedlog.EncodeSnapshot(*replicatedlog.Bootstrap(owner.Voters).Snapshot))
}

// verifyAndCountStart holds the store against who opens it, and counts the start.
func (s *Store) verifyAndCountStart(tx *bbolt.Tx, owner Owner) error {
	about := tx.Bucket(bucketAbout)
	if tx.Bucket(bucketState) == nil || tx.Bucket(bucketEntries) == nil {
		return errors.New("it is no store of a voter")
	}
	readUint64 := func(key []byte) uint64 { v, _ := getChecked(about, key); return decodeUint64(v) }
	if at := readUint64(keyFormat); at != formatVersion {
		return fmt.Errorf("it has the form %d, this program reads form %d", at, formatVersion)
	}
	fleet, err := getChecked(about, keyFleet)
	if err != nil {
		return err
	}
	if string(fleet) != owner.Fleet || readUint64(keyVoter) != owner.Voter {
		return fmt.Errorf("it belongs to voter %d of the fleet %q, not to voter %d of %q", readUint64(keyVoter), fleet, owner.Voter, owner.Fleet)
	}
	id, err := getChecked(about, keyStore)
	if err != nil {
		return err
	}
	starts, err := getChecked(about, keyStarts)
	if err != nil {
		return err
	}
	s.id, s.starts = hex.EncodeToString(id), decodeUint64(starts)+1
	return putChecked(about, keyStarts, encodeUint64(s.starts))
}

func load(tx *bbolt.Tx) (stored replicatedlog.StoredState, err error) {
	state := tx.Bucket(bucketState)
	if stored.HardState, err = readRecord(state, keyHard, replicatedlog.DecodeHardState); err != nil {
		return stored, err
	}
	if stored.Snapshot, err = readRecord(state, keySnapshot, replicatedlog.DecodeSnapshot); err != nil {
		return stored, err
	}
	return stored, tx.Bucket(bucketEntries).ForEach(func(k, v []byte) error {
		data, err := verifyChecksum(k, v)
		if err != nil {
			return fmt.Errorf("entry %d: %w", decodeUint64(k), err)
		}
		entry, err := replicatedlog.DecodeEntry(data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", decodeUint64(k), err)
		}
		if entry.Index != decodeUint64(k) {
			return fmt.Errorf("entry %d stands in the place of entry %d", entry.Index, decodeUint64(k))
		}
		stored.Entries = append(stored.Entries, entry)
		return nil
	})
}

// readRecord reads one record; nil: none is there.
func readRecord[T any](bucket *bbolt.Bucket, key []byte, decode func([]byte) (T, error)) (*T, error) {
	data, err := getChecked(bucket, key)
	if err != nil || data == nil {
		return nil, err
	}
	value, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return &value, nil
}

// ID names this file; a store made anew has another. Starts is how often it was opened.
func (s *Store) ID() string     { return s.id }
func (s *Store) Starts() uint64 { return s.starts }

// Write writes through. After an error nothing of it counts as written, and
// nothing more is to be written in this run: what the file holds is known at the next.
func (s *Store) Write(persist replicatedlog.Persist) error {
	if persist.Empty() {
		return nil
	}
	if err := s.db.Update(func(tx *bbolt.Tx) error { return writeRecords(tx, persist) }); err != nil {
		return &Error{s.path, fmt.Errorf("cannot be written: %w", err)}
	}
	return nil
}

func writeRecords(tx *bbolt.Tx, persist replicatedlog.Persist) error {
	state, entries := tx.Bucket(bucketState), tx.Bucket(bucketEntries)
	if persist.HardState != nil {
		if err := putChecked(state, keyHard, replicatedlog.EncodeHardState(*persist.HardState)); err != nil {
			return err
		}
	}
	if persist.Snapshot != nil {
		if err := putChecked(state, keySnapshot, replicatedlog.EncodeSnapshot(*persist.Snapshot)); err != nil {
			return err
		}
		if err := deleteEntries(entries, func(index uint64) bool { return persist.Replaces || index < persist.First }); err != nil {
			return err
		}
	}
	return writeEntries(entries, persist.Entries)
}

// writeEntries writes entries in place of all from the first one's index on.
func writeEntries(bucket *bbolt.Bucket, entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(bucket, func(index uint64) bool { return index >= entries[0].Index }); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putChecked(bucket, encodeUint64(entry.Index), replicatedlog.EncodeEntry(entry)); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// deleteEntries removes the entries that f picks. They are few: snapshots see to that.
func deleteEntries(entries *bbolt.Bucket, match func(index uint64) bool) error {
	var keys [][]byte
	if err := entries.ForEach(func(k, _ []byte) error {
		if match(decodeUint64(k)) {
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

func encodeUint64(value uint64) []byte { return binary.BigEndian.AppendUint64(nil, value) }

func decodeUint64(data []byte) uint64 {
	if len(data) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

// putChecked writes a value behind the checksum of key and value.
func putChecked(bucket *bbolt.Bucket, key, value []byte) error {
	return bucket.Put(key, append(binary.BigEndian.AppendUint32(nil, checksum(key, value)), value...))
}

// getChecked reads a value; nil: none is there.
func getChecked(bucket *bbolt.Bucket, key []byte) ([]byte, error) {
	stored := bucket.Get(key)
	if stored == nil {
		return nil, nil
	}
	data, err := verifyChecksum(key, stored)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return data, nil
}

func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < 4 || binary.BigEndian.Uint32(stored) != checksum(key, stored[4:]) {
		return nil, errors.New("the checksum does not fit")
	}
	return bytes.Clone(stored[4:]), nil
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}
