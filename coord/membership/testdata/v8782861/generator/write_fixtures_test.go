package membership_test

import (
	"os"
	"path/filepath"
	"testing"
)

// TestWriteFixtures writes the bytes of each packet of compatibilityPackets.
func TestWriteFixtures(t *testing.T) {
	if err := os.MkdirAll(compatibilityFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, packet := range compatibilityPackets() {
		if err := os.WriteFile(filepath.Join(compatibilityFolder, name), packet.Encode(nil), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
