package seglog_test

import (
	"path/filepath"
	"testing"
)

// TestWriteFixtures writes the folders of the fixture. They must be missing.
func TestWriteFixtures(t *testing.T) {
	for name, compactAt := range compatibilityLogs() {
		writeLog(t, filepath.Join(compatibilityFolder, name), compactAt)
	}
	writeMember(t, filepath.Join(compatibilityFolder, "member"))
}
