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

const (
	snapshotSuffix    = ".snapshot"
	snapshotFormat    = "%020d" + snapshotSuffix // index
	snapshotTemporary = "snapshot.temporary"
)

// snapshotFile describes the stored snapshot.
type snapshotFile struct {
	name  string // "": none
	index uint64
	size  int64 // bytes
}

// storedSnapshot is a snapshot as read back.
type storedSnapshot struct {
	consensus.Snapshot
	hardState    consensus.HardState
	firstSegment uint64 // segments with lower numbers are void
}

func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }

func snapshotName(index uint64) string { return fmt.Sprintf(snapshotFormat, index) }

func parseSnapshotName(name string) (index uint64, ok bool) {
	if !strings.HasSuffix(name, snapshotSuffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(name, snapshotFormat, &index); err != nil {
		return 0, false
	}
	return index, snapshotName(index) == name
}

// writeSnapshot makes a snapshot durable under its name and marks the one before it for removal.
func (l *Log) writeSnapshot(snapshot consensus.Snapshot, hardState consensus.HardState, firstSegment uint64) error {
	data, err := encodeSnapshot(snapshot, hardState, firstSegment)
	if err != nil {
		return err
	}
	name := snapshotName(snapshot.Index)
	l.removable = slices.DeleteFunc(l.removable, func(one string) bool { return one == name })
	if err := l.storeSnapshot(name, data); err != nil {
		l.discard(name)
		return err
	}
	if l.snapshot.name != "" && l.snapshot.name != name {
		l.removable = append(l.removable, l.snapshot.name)
	}
	l.snapshot = snapshotFile{name: name, index: snapshot.Index, size: int64(len(data))}
	return nil
}

// storeSnapshot writes the snapshot's file.
func (l *Log) storeSnapshot(name string, data []byte) error {
	switch {
	case !l.holds(GuardSnapshotWhole):
		if err := writeAndSync(l.fileSystem, filepath.Join(l.directory, name), data); err != nil {
			return err
		}
		return l.fileSystem.SyncDirectory(l.directory)
	case !l.holds(GuardSnapshotNamed):
		path := filepath.Join(l.directory, snapshotTemporary)
		if err := writeAndSync(l.fileSystem, path, data); err != nil {
			return err
		}
		return l.fileSystem.Rename(path, filepath.Join(l.directory, name))
	}
	return writeFileDurably(l.fileSystem, l.directory, snapshotTemporary, name, data)
}

// discard marks a snapshot that may have got its name, but not durably, for removal.
func (l *Log) discard(name string) {
	if name != l.snapshot.name {
		l.removable = append(l.removable, name)
	}
}

// writeFileDurably puts a whole file in place of the one of that name: after a loss of power the
// directory has the old one or the new one.
func writeFileDurably(fileSystem FileSystem, directory, temporary, name string, data []byte) error {
	path := filepath.Join(directory, temporary)
	if err := writeAndSync(fileSystem, path, data); err != nil {
		_ = fileSystem.Remove(path) // frees its room; the next try would empty it as well
		return err
	}
	if err := fileSystem.Rename(path, filepath.Join(directory, name)); err != nil {
		return err
	}
	return fileSystem.SyncDirectory(directory)
}

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

func encodeSnapshot(snapshot consensus.Snapshot, hardState consensus.HardState, firstSegment uint64) ([]byte, error) {
	body, err := codec().Marshal(snapshotSchema(), wireSnapshot{
		Index:        int64(snapshot.Index),
		Term:         int64(snapshot.Term),
		Members:      membersToWire(snapshot.Members),
		Data:         snapshot.Data,
		HardState:    hardStateToWire(hardState),
		FirstSegment: int64(firstSegment),
	})
	if err != nil {
		return nil, err
	}
	if len(snapshot.Data) >= maxRecord {
		return nil, errTooLong
	}
	data := make([]byte, 0, snapshotStart+len(body))
	data = appendPreamble(data, snapshotMagic)
	data = binary.LittleEndian.AppendUint64(data, uint64(len(body)))
	data = binary.LittleEndian.AppendUint32(data, snapshotCheck(data, body))
	return append(data, body...), nil
}

// snapshotCheck computes the check value of the length in the header and of the body.
func snapshotCheck(header, body []byte) uint32 {
	return checksum(checksum(0, header[preambleBytes:preambleBytes+8]), body)
}

// decodeSnapshot reads a snapshot file: ErrFormat or ErrDamaged where it cannot.
func decodeSnapshot(name string, data []byte) (storedSnapshot, error) {
	ok, err := checkPreamble(name, data, snapshotMagic)
	if err != nil {
		return storedSnapshot{}, err
	}
	damaged := fmt.Errorf("%w: %s", ErrDamaged, name)
	if !ok || len(data) < snapshotStart {
		return storedSnapshot{}, damaged
	}
	body := data[snapshotStart:]
	length := binary.LittleEndian.Uint64(data[preambleBytes:])
	check := binary.LittleEndian.Uint32(data[snapshotStart-4:])
	if length != uint64(len(body)) || check != snapshotCheck(data, body) {
		return storedSnapshot{}, damaged
	}
	var wire wireSnapshot
	if err := codec().Unmarshal(snapshotSchema(), body, &wire); err != nil {
		return storedSnapshot{}, damaged
	}
	return storedSnapshot{
		Snapshot: consensus.Snapshot{
			Index:   uint64(wire.Index),
			Term:    uint64(wire.Term),
			Members: membersFromWire(wire.Members),
			Data:    wire.Data,
		},
		hardState:    hardStateFromWire(wire.HardState),
		firstSegment: uint64(wire.FirstSegment),
	}, nil
}
