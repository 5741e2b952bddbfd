package seglog

import (
	"encoding/binary"
	"fmt"
	"path/filepath"

	"ospreybend/coord/agreement"
)

const (
	memberName      = "member"
	memberTemporary = "member.temporary"
	memberFileBytes = preambleBytes + 8 + 4 // and the ID, check value
)

// MemberID reads the member ID of this disk from the directory, or draws one and stores it durably
// before it returns it; created tells which. The directory is made if it is missing. Errors:
// ErrFormat, ErrDamaged and those of the file system.
func MemberID(fileSystem FileSystem, directory string, draw func() agreement.MemberID) (id agreement.MemberID, created bool, err error) {
	if fileSystem == nil {
		fileSystem = OSFileSystem{}
	}
	if err := fileSystem.MakeDirectory(directory); err != nil {
		return 0, false, err
	}
	data, err := fileSystem.ReadFile(filepath.Join(directory, memberName))
	if isMissing(err) {
		id = draw()
		return id, true, writeFileDurably(fileSystem, directory, memberTemporary, memberName, encodeMemberID(id))
	}
	if err != nil {
		return 0, false, err
	}
	id, err = decodeMemberID(data)
	if err != nil {
		return 0, false, err
	}
	// A process that was killed may have left the name without a sync of the directory.
	return id, false, fileSystem.SyncDirectory(directory)
}

func encodeMemberID(id agreement.MemberID) []byte {
	data := appendPreamble(nil, memberMagic)
	data = binary.LittleEndian.AppendUint64(data, uint64(id))
	return binary.LittleEndian.AppendUint32(data, checksum(0, data))
}

func decodeMemberID(data []byte) (agreement.MemberID, error) {
	ok, err := checkPreamble(memberName, data, memberMagic)
	if err != nil {
		return 0, err
	}
	if !ok || len(data) != memberFileBytes {
		return 0, fmt.Errorf("%w: %s", ErrDamaged, memberName)
	}
	if binary.LittleEndian.Uint32(data[memberFileBytes-4:]) != checksum(0, data[:memberFileBytes-4]) {
		return 0, fmt.Errorf("%w: %s", ErrDamaged, memberName)
	}
	return agreement.MemberID(binary.LittleEndian.Uint64(data[preambleBytes:])), nil
}
