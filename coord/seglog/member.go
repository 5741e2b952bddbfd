package seglog

import "ospreybend/coord/agreement"

// MemberID reads the member ID of this disk from the directory, or draws one and stores it durably.
// created tells which. A file that cannot be read as an ID gives ErrDamaged.
func MemberID(fileSystem FileSystem, directory string, draw func() agreement.MemberID) (id agreement.MemberID, created bool, err error) {
	return draw(), true, nil // TODO skeleton
}
