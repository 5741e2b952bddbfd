package seglog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"

	"ospreybend/coord/consensus"
)

// The file of the member ID.
const (
	memberFileName      = "member"
	memberTemporaryName = "member.temporary"
	// Content: preamble, ID, checksum.
	memberChecksumOffset = preambleBytes + numberBytes
	memberFileBytes      = memberChecksumOffset + checksumBytes
)

// LoadOrCreateMemberID reads the member ID of this disk from the directory. If there is none, it makes the result of newID
// durable and returns that; created reports which. The directory is created if it is missing. A nil file system stands for
// OSFileSystem. Errors: FormatError, ErrCorrupt and those of the file system.
func LoadOrCreateMemberID(
	fileSystem FileSystem, directory string, newID func() consensus.MemberID,
) (id consensus.MemberID, created bool, err error) {
	if fileSystem == nil {
		fileSystem = OSFileSystem{}
	}
	if err := fileSystem.MakeDirectory(directory); err != nil {
		return 0, false, err
	}
	data, err := fileSystem.ReadFile(filepath.Join(directory, memberFileName))
	if isNotExist(err) {
		id = newID()
		return id, true, writeFileDurably(fileSystem, directory, memberTemporaryName, memberFileName, encodeMemberID(id))
	}
	if err != nil {
		return 0, false, err
	}
	id, err = decodeMemberID(data)
	if err != nil {
		return 0, false, err
	}
	// A process that was killed may have left the name without syncing the directory.
	return id, false, fileSystem.SyncDirectory(directory)
}

// RemoveMemberID durably removes the member ID of a disk. The disk then counts as lost: RemoveOrphanedReplicas removes its
// replicas, and LoadOrCreateMemberID creates a new ID.
func RemoveMemberID(fileSystem FileSystem, directory string) error {
	if fileSystem == nil {
		fileSystem = OSFileSystem{}
	}
	if err := fileSystem.Remove(filepath.Join(directory, memberFileName)); err != nil && !isNotExist(err) {
		return err
	}
	return fileSystem.SyncDirectory(directory)
}

// RemoveOrphanedReplicas removes the replicas, given by their directories, of a disk whose member ID is missing or corrupt,
// and a corrupt ID: nobody knows any more under which ID they voted and acknowledged entries. lost reports whether anything
// was removed. It must be called before LoadOrCreateMemberID. Errors: FormatError and those of the file system.
func RemoveOrphanedReplicas(fileSystem FileSystem, directory string, replicas []string) (lost bool, err error) {
	if fileSystem == nil {
		fileSystem = OSFileSystem{}
	}
	data, err := fileSystem.ReadFile(filepath.Join(directory, memberFileName))
	if err == nil {
		_, err = decodeMemberID(data)
	}
	switch {
	case errors.Is(err, ErrCorrupt):
		lost = true
		if err := RemoveMemberID(fileSystem, directory); err != nil {
			return lost, err
		}
	case !isNotExist(err):
		return false, err
	}
	for _, replica := range replicas {
		removed, err := removeAllFiles(fileSystem, replica)
		lost = lost || removed
		if err != nil {
			return lost, err
		}
	}
	return lost, nil
}

// removeAllFiles removes all files of a directory, which may be missing, and reports whether there were any.
func removeAllFiles(fileSystem FileSystem, directory string) (removed bool, err error) {
	files, err := fileSystem.List(directory)
	if isNotExist(err) || (err == nil && len(files) == 0) {
		return false, nil
	}
	for _, file := range files {
		if err := fileSystem.Remove(filepath.Join(directory, file.Name)); err != nil {
			return true, err
		}
	}
	if err != nil {
		return false, err
	}
	return true, fileSystem.SyncDirectory(directory)
}

// encodeMemberID returns the content of the member ID's file.
func encodeMemberID(id consensus.MemberID) []byte {
	data := appendPreamble(nil, memberMagic)
	data = binary.LittleEndian.AppendUint64(data, uint64(id))
	return binary.LittleEndian.AppendUint32(data, checksum(0, data))
}

// decodeMemberID decodes the member ID's file. Errors: FormatError and ErrCorrupt.
func decodeMemberID(data []byte) (consensus.MemberID, error) {
	ok, err := checkPreamble(memberFileName, data, memberMagic)
	if err != nil {
		return 0, err
	}
	if !ok || len(data) != memberFileBytes {
		return 0, fmt.Errorf("%w: %s", ErrCorrupt, memberFileName)
	}
	if binary.LittleEndian.Uint32(data[memberChecksumOffset:]) != checksum(0, data[:memberChecksumOffset]) {
		return 0, fmt.Errorf("%w: %s", ErrCorrupt, memberFileName)
	}
	return consensus.MemberID(binary.LittleEndian.Uint64(data[preambleBytes:])), nil
}
