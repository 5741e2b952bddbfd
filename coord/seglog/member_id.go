package seglog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"

	"ospreybend/coord/consensus"
)

// Names and layout of the member ID file.
const (
	memberFileName      = "member"
	memberTemporaryName = "member.temporary"
	// Layout: preamble, ID, checksum of both.
	memberChecksumOffset = preambleBytes + uint64Bytes
	memberFileBytes      = memberChecksumOffset + checksumBytes
)

// LoadOrCreateMemberID reads the member ID of this disk from the directory, which it creates if it is missing. If there is
// no ID, it durably stores the result of newID, returns it and sets created. A nil file system means OSFileSystem. Errors
// are FormatError, ErrCorrupt and those of the file system.
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
	// A previous process may have been killed after it renamed the file and before it synced the directory.
	return id, false, fileSystem.SyncDirectory(directory)
}

// RemoveMemberID durably removes the member ID of a disk, which declares the disk lost: RemoveOrphanedReplicas then removes
// its replicas, and LoadOrCreateMemberID creates a new ID. A nil file system means OSFileSystem.
func RemoveMemberID(fileSystem FileSystem, directory string) error {
	if fileSystem == nil {
		fileSystem = OSFileSystem{}
	}
	if err := fileSystem.Remove(filepath.Join(directory, memberFileName)); err != nil && !isNotExist(err) {
		return err
	}
	return fileSystem.SyncDirectory(directory)
}

// RemoveOrphanedReplicas removes all files in the given replica directories, and a corrupt member ID file, if the member ID
// of the disk is missing or corrupt. Such replicas must not be used: the ID under which they voted and acknowledged entries
// is unknown. lost reports whether anything was removed. RemoveOrphanedReplicas must be called before LoadOrCreateMemberID.
// A nil file system means OSFileSystem. Errors are FormatError and those of the file system.
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

// removeAllFiles removes all files in a directory and reports whether there were any. The directory may be missing.
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

// encodeMemberID encodes the content of the member ID file.
func encodeMemberID(id consensus.MemberID) []byte {
	data := appendPreamble(nil, memberMagic)
	data = binary.LittleEndian.AppendUint64(data, uint64(id))
	return binary.LittleEndian.AppendUint32(data, checksum(0, data))
}

// decodeMemberID decodes the content of the member ID file. Errors are FormatError and ErrCorrupt.
func decodeMemberID(data []byte) (consensus.MemberID, error) {
	ok, err := checkPreamble(memberFileName, data, memberMagic)
	if err != nil {
		return 0, err
	}
	if !ok || len(data) != memberFileBytes {
		return 0, fmt.Errorf("%w: %s: the preamble is invalid or the size of %d bytes is not %d",
			ErrCorrupt, memberFileName, len(data), memberFileBytes)
	}
	if binary.LittleEndian.Uint32(data[memberChecksumOffset:]) != checksum(0, data[:memberChecksumOffset]) {
		return 0, fmt.Errorf("%w: %s: checksum mismatch", ErrCorrupt, memberFileName)
	}
	return consensus.MemberID(binary.LittleEndian.Uint64(data[preambleBytes:])), nil
}
