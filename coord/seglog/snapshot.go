package seglog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"ospreybend/coord/consensus"
)

// Names of snapshots.
const (
	snapshotSuffix        = ".snapshot"
	snapshotFormat        = "%020d" + snapshotSuffix // index
	snapshotTemporaryName = "snapshot.temporary"
)

// snapshotFile describes the stored snapshot.
type snapshotFile struct {
	name  string // "": none
	index uint64
	size  int64 // bytes
}

// recoveredSnapshot is the decoded content of a snapshot file.
type recoveredSnapshot struct {
	consensus.Snapshot
	hardState    consensus.HardState
	firstSegment uint64 // segments with lower sequence numbers are obsolete
}

// isNotExist reports whether the error is that of a missing file.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// snapshotName returns the file name of a snapshot.
func snapshotName(index uint64) string { return fmt.Sprintf(snapshotFormat, index) }

// parseSnapshotName returns the index of a snapshot; ok is false for other files.
func parseSnapshotName(name string) (index uint64, ok bool) {
	if !strings.HasSuffix(name, snapshotSuffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(name, snapshotFormat, &index); err != nil {
		return 0, false
	}
	return index, snapshotName(index) == name
}

// writeSnapshot makes a snapshot durable under its name and marks the previous one for removal.
func (l *Log) writeSnapshot(snapshot consensus.Snapshot, hardState consensus.HardState, firstSegment uint64) error {
	data, err := encodeSnapshot(snapshot, hardState, firstSegment)
	if err != nil {
		return err
	}
	name := snapshotName(snapshot.Index)
	l.obsoleteFiles = slices.DeleteFunc(l.obsoleteFiles, func(obsolete string) bool { return obsolete == name })
	if err := l.storeSnapshot(name, data); err != nil {
		l.discardSnapshot(name)
		return err
	}
	if l.snapshot.name != "" && l.snapshot.name != name {
		l.obsoleteFiles = append(l.obsoleteFiles, l.snapshot.name)
	}
	l.snapshot = snapshotFile{name: name, index: snapshot.Index, size: int64(len(data))}
	return nil
}

// storeSnapshot writes the snapshot's file. A running system uses writeFileDurably; the other cases omit one of its steps.
func (l *Log) storeSnapshot(name string, data []byte) error {
	switch {
	case !l.enforces(GuardSnapshotRenamedWhenComplete):
		if err := writeAndSync(l.fileSystem, filepath.Join(l.directory, name), data); err != nil {
			return err
		}
		return l.fileSystem.SyncDirectory(l.directory)
	case !l.enforces(GuardSnapshotNameSynced):
		path := filepath.Join(l.directory, snapshotTemporaryName)
		if err := writeAndSync(l.fileSystem, path, data); err != nil {
			return err
		}
		return l.fileSystem.Rename(path, filepath.Join(l.directory, name))
	}
	return writeFileDurably(l.fileSystem, l.directory, snapshotTemporaryName, name, data)
}

// discardSnapshot marks a snapshot for removal that may have its name, but not durably.
func (l *Log) discardSnapshot(name string) {
	if name != l.snapshot.name {
		l.obsoleteFiles = append(l.obsoleteFiles, name)
	}
}

// writeFileDurably replaces a file atomically: after a power loss the directory contains the old content or the new one.
func writeFileDurably(fileSystem FileSystem, directory, temporary, name string, data []byte) error {
	path := filepath.Join(directory, temporary)
	if err := writeAndSync(fileSystem, path, data); err != nil {
		_ = fileSystem.Remove(path) // frees its space at once; the next attempt would truncate it
		return err
	}
	if err := fileSystem.Rename(path, filepath.Join(directory, name)); err != nil {
		return err
	}
	return fileSystem.SyncDirectory(directory)
}

// writeAndSync creates a file with the data and syncs its content.
func writeAndSync(fileSystem FileSystem, path string, data []byte) error {
	file, err := fileSystem.Create(path)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}

// encodeSnapshot returns the content of a snapshot file.
func encodeSnapshot(snapshot consensus.Snapshot, hardState consensus.HardState, firstSegment uint64) ([]byte, error) {
	body, err := codec().Marshal(snapshotSchema(), storedSnapshotRecord{
		Index:        int64(snapshot.Index),
		Term:         int64(snapshot.Term),
		Members:      encodeMembers(snapshot.Members),
		Data:         snapshot.Data,
		HardState:    toStoredHardState(hardState),
		FirstSegment: int64(firstSegment),
	})
	if err != nil {
		return nil, err
	}
	if len(snapshot.Data) >= maxRecordBytes {
		return nil, errRecordTooLong
	}
	data := make([]byte, 0, snapshotHeaderBytes+len(body))
	data = appendPreamble(data, snapshotMagic)
	data = binary.LittleEndian.AppendUint64(data, uint64(len(body)))
	data = binary.LittleEndian.AppendUint32(data, snapshotChecksum(data, body))
	return append(data, body...), nil
}

// snapshotChecksum computes the checksum of the length in the header and of the body.
func snapshotChecksum(header, body []byte) uint32 {
	return checksum(checksum(0, header[preambleBytes:snapshotChecksumOffset]), body)
}

// decodeSnapshot decodes a snapshot file. Errors: FormatError and ErrCorrupt.
func decodeSnapshot(name string, data []byte) (recoveredSnapshot, error) {
	ok, err := checkPreamble(name, data, snapshotMagic)
	if err != nil {
		return recoveredSnapshot{}, err
	}
	corrupt := fmt.Errorf("%w: %s", ErrCorrupt, name)
	if !ok || len(data) < snapshotHeaderBytes {
		return recoveredSnapshot{}, corrupt
	}
	body := data[snapshotHeaderBytes:]
	length := binary.LittleEndian.Uint64(data[preambleBytes:])
	check := binary.LittleEndian.Uint32(data[snapshotChecksumOffset:])
	if length != uint64(len(body)) || check != snapshotChecksum(data, body) {
		return recoveredSnapshot{}, corrupt
	}
	var stored storedSnapshotRecord
	if err := codec().Unmarshal(snapshotSchema(), body, &stored); err != nil {
		return recoveredSnapshot{}, corrupt
	}
	return recoveredSnapshot{
		Snapshot: consensus.Snapshot{
			Index:   uint64(stored.Index),
			Term:    uint64(stored.Term),
			Members: decodeMembers(stored.Members),
			Data:    stored.Data,
		},
		hardState:    fromStoredHardState(stored.HardState),
		firstSegment: uint64(stored.FirstSegment),
	}, nil
}
