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

// File names of snapshots.
const (
	snapshotSuffix        = ".snapshot"
	snapshotFormat        = "%020d" + snapshotSuffix // index
	snapshotTemporaryName = "snapshot.temporary"
)

// snapshotFile describes a snapshot file.
type snapshotFile struct {
	name  string // empty if there is no snapshot
	index uint64
	size  int64 // in bytes
}

// recoveredSnapshot is the decoded content of a snapshot file.
type recoveredSnapshot struct {
	consensus.Snapshot
	hardState    consensus.HardState
	firstSegment uint64 // segments with lower sequence numbers are obsolete
}

// isNotExist reports whether err means that a file is missing.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// snapshotName returns the file name of the snapshot at the index.
func snapshotName(index uint64) string { return fmt.Sprintf(snapshotFormat, index) }

// parseSnapshotName returns the index in the file name of a snapshot. ok is false if the name is not one of a snapshot.
func parseSnapshotName(name string) (index uint64, ok bool) {
	if !strings.HasSuffix(name, snapshotSuffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(name, snapshotFormat, &index); err != nil {
		return 0, false
	}
	return index, snapshotName(index) == name
}

// writeSnapshot durably stores a snapshot and marks the previous one for removal. Segments before firstSegment become
// obsolete.
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

// storeSnapshot writes a snapshot file. If all guards are enforced, it uses writeFileDurably; otherwise it omits the step
// that the omitted guard requires.
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

// discardSnapshot marks a snapshot for removal that could not be stored: its file may already have the final name, but not
// durably. The current snapshot is kept.
func (l *Log) discardSnapshot(name string) {
	if name != l.snapshot.name {
		l.obsoleteFiles = append(l.obsoleteFiles, name)
	}
}

// writeFileDurably atomically and durably replaces a file. A power loss during the call leaves the old content or the new
// one.
func writeFileDurably(fileSystem FileSystem, directory, temporary, name string, data []byte) error {
	path := filepath.Join(directory, temporary)
	if err := writeAndSync(fileSystem, path, data); err != nil {
		_ = fileSystem.Remove(path) // frees disk space now; otherwise only the next attempt would truncate the file
		return err
	}
	if err := fileSystem.Rename(path, filepath.Join(directory, name)); err != nil {
		return err
	}
	return fileSystem.SyncDirectory(directory)
}

// writeAndSync creates a file with the data and syncs its content, but not its directory entry.
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

// encodeSnapshot encodes the content of a snapshot file.
func encodeSnapshot(snapshot consensus.Snapshot, hardState consensus.HardState, firstSegment uint64) ([]byte, error) {
	body, err := codec().Marshal(snapshotSchema(), storedSnapshot{
		Index:        int64(snapshot.Index),
		Term:         int64(snapshot.Term),
		Members:      toStoredMembers(snapshot.Members),
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

// snapshotChecksum computes the checksum of the body length in the header and of the body.
func snapshotChecksum(header, body []byte) uint32 {
	return checksum(checksum(0, header[preambleBytes:snapshotChecksumOffset]), body)
}

// decodeSnapshot decodes the content of the snapshot file called name. Errors are FormatError and ErrCorrupt.
func decodeSnapshot(name string, data []byte) (recoveredSnapshot, error) {
	ok, err := checkPreamble(name, data, snapshotMagic)
	if err != nil {
		return recoveredSnapshot{}, err
	}
	if !ok || len(data) < snapshotHeaderBytes {
		return recoveredSnapshot{}, fmt.Errorf("%w: %s: the header is invalid or incomplete", ErrCorrupt, name)
	}
	body := data[snapshotHeaderBytes:]
	length := binary.LittleEndian.Uint64(data[preambleBytes:])
	storedChecksum := binary.LittleEndian.Uint32(data[snapshotChecksumOffset:])
	if length != uint64(len(body)) || storedChecksum != snapshotChecksum(data, body) {
		return recoveredSnapshot{}, fmt.Errorf("%w: %s: the length or the checksum does not match the body", ErrCorrupt, name)
	}
	var stored storedSnapshot
	if err := codec().Unmarshal(snapshotSchema(), body, &stored); err != nil {
		return recoveredSnapshot{}, fmt.Errorf("%w: %s: decode the body: %s", ErrCorrupt, name, err.Error())
	}
	return recoveredSnapshot{
		Snapshot: consensus.Snapshot{
			Index:   uint64(stored.Index),
			Term:    uint64(stored.Term),
			Members: fromStoredMembers(stored.Members),
			Data:    stored.Data,
		},
		hardState:    fromStoredHardState(stored.HardState),
		firstSegment: uint64(stored.FirstSegment),
	}, nil
}
