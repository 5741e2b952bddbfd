package drmaa_test

import (
	"os"
	"path/filepath"
	"testing"

	"ospreybend/internal/testkit/golden"
)

// TestWriteFixtures writes the bytes of each row of compatibilityRows.
func TestWriteFixtures(t *testing.T) {
	if err := os.MkdirAll(golden.Folder, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, row := range compatibilityRows() {
		encoded, err := row.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(golden.Folder, row.Name), encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
