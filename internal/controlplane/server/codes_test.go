package server

import (
	"testing"
)

func TestCodes_unique(t *testing.T) {
	seen := map[Code]bool{}
	for _, entry := range Codes() {
		if seen[entry.Code] || entry.Name == "" || entry.Text == "" {
			t.Errorf("code %d, name %q, text %q: want an unused code, a name and a text", entry.Code, entry.Name, entry.Text)
		}
		seen[entry.Code] = true
	}
}
