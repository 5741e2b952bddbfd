// Package store implements a voter's durable store: hard state, snapshot and log entries in one bbolt file.
//
// Every value has a checksum. Opening a file that is truncated or damaged, has another format version
// or belongs to another voter returns an *Error that names the file. Package server writes each
// replicatedlog.Persist in one transaction.
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

// formatVersion is the version of the file format. The program reads only this version. Version 1 contained the records
// of another consensus library.
const formatVersion = 2

const lockTimeout = 200 * time.Millisecond // how long to wait for another process to release the file

// maxFileBytes limits a file's size; 0: no limit. Tests set it to simulate a full disk.
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

// Owner identifies the voter that a store belongs to.
type Owner struct {
	Fleet  string   // name of the group's fleet
	Voter  uint64   // ID of the voter, not 0
	Voters []uint64 // IDs of the voters of a new group; empty: this voter joins an existing group
}

// Store is an open store. Its methods block on disk I/O and must not be called concurrently.
type Store struct {
	db     *bbolt.DB
	path   string
	id     string
	starts uint64
}

// Error is an error of a store. It names the file.
type Error struct {
	Path string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("store %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Causes of an Error. They follow "store PATH: ".
var (
	errEmptyFile    = errors.New("the file is empty: it was truncated or is not a store; a new store is created only if there is no file")
	errLocked       = errors.New("another process has the file open")
	errNoVoterStore = errors.New("the file is not a voter's store")
	errChecksum     = errors.New("the checksum does not match")
)

// Open opens a voter's store, or creates it if there is no file, and returns the stored state. It counts the
// start; the count is durable when Open returns.
func Open(path string, owner Owner) (s *Store, stored replicatedlog.StoredState, err error) {
	defer func() {
		if err != nil {
			err = &Error{path, err}
		}
	}()
	if owner.Voter == 0 || owner.Fleet == "" {
		return nil, stored, fmt.Errorf("voter %d of fleet %q: the voter ID must be above 0 and the fleet must have a name", owner.Voter, owner.Fleet)
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

// openFile opens the file. The database library panics on a truncated file; see recoverPanic.
func (s *Store) openFile() error {
	info, err := os.Stat(s.path)
	if err == nil && info.Size() == 0 {
		return errEmptyFile
	}
	return recoverPanic(func() (err error) {
		s.db, err = bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistArrayType, MaxSize: maxFileBytes})
		switch {
		case errors.Is(err, bbolterrors.ErrTimeout):
			return errLocked
		case err != nil:
			return fmt.Errorf("the file cannot be opened: %w", err)
		}
		return nil
	})
}

// checkSize returns an error if the file is shorter than its own page count.
func (s *Store) checkSize(tx *bbolt.Tx) error {
	info, err := os.Stat(s.path)
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("the file is truncated: %d bytes, expected at least %d", info.Size(), tx.Size())
	}
	return nil
}

// recoverPanic calls read and converts a panic or memory fault to an error. Reading a damaged memory-mapped file causes
// them.
func recoverPanic(read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the file is damaged: %v", r)
		}
	}()
	return read()
}

// initialize creates the buckets and initial records of a new store.
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

// verifyAndCountStart returns an error unless the store has formatVersion and the given owner, and counts the start.
func (s *Store) verifyAndCountStart(tx *bbolt.Tx, owner Owner) error {
	about := tx.Bucket(bucketAbout)
	if tx.Bucket(bucketState) == nil || tx.Bucket(bucketEntries) == nil {
		return errNoVoterStore
	}
	readUint64 := func(key []byte) uint64 { v, _ := getChecked(about, key); return decodeUint64(v) }
	if version := readUint64(keyFormat); version != formatVersion {
		return fmt.Errorf("the file has format version %d, this program reads version %d", version, formatVersion)
	}
	fleet, err := getChecked(about, keyFleet)
	if err != nil {
		return err
	}
	if string(fleet) != owner.Fleet || readUint64(keyVoter) != owner.Voter {
		return fmt.Errorf("the file belongs to voter %d of fleet %q, not to voter %d of fleet %q", readUint64(keyVoter), fleet, owner.Voter, owner.Fleet)
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

// load reads the stored state and verifies every checksum.
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
			return fmt.Errorf("entry %d is stored under the key of entry %d", entry.Index, decodeUint64(k))
		}
		stored.Entries = append(stored.Entries, entry)
		return nil
	})
}

// readRecord reads and decodes one record. It returns nil if there is none.
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

// ID returns the store's random ID. A newly created store gets a new ID.
func (s *Store) ID() string { return s.id }

// Starts returns how often the store was opened, including this time.
func (s *Store) Starts() uint64 { return s.starts }

// Write makes persist durable in one transaction. After an error the store must be closed: whether the write is in
// the file is known only after opening it again.
func (s *Store) Write(persist replicatedlog.Persist) error {
	if persist.Empty() {
		return nil
	}
	if err := s.db.Update(func(tx *bbolt.Tx) error { return writeRecords(tx, persist) }); err != nil {
		return &Error{s.path, fmt.Errorf("write failed: %w", err)}
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
		if err := deleteEntries(entries, func(index uint64) bool { return persist.ReplacesEntries || index < persist.FirstIndex }); err != nil {
			return err
		}
	}
	return writeEntries(entries, persist.Entries)
}

// writeEntries replaces the stored entries from the index of the first new entry on.
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

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }

// deleteEntries deletes the entries whose index matches. It scans all entries, which are few because snapshots replace
// the older ones.
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

// decodeUint64 returns 0 for data that is not 8 bytes long.
func decodeUint64(data []byte) uint64 {
	if len(data) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

// putChecked stores a value prefixed with the checksum of key and value.
func putChecked(bucket *bbolt.Bucket, key, value []byte) error {
	return bucket.Put(key, append(binary.BigEndian.AppendUint32(nil, checksum(key, value)), value...))
}

// getChecked returns a value after verifying its checksum. It returns nil if there is none.
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

// verifyChecksum returns a copy of the stored value without its checksum, or errChecksum.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < 4 || binary.BigEndian.Uint32(stored) != checksum(key, stored[4:]) {
		return nil, errChecksum
	}
	return bytes.Clone(stored[4:]), nil
}

// checksum returns the CRC-32C of key and value.
func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}
