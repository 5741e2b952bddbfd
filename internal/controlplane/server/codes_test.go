package server

import (
	"testing"
)

func TestCodes_unique(t *testing.T) {
	seen := map[Code]bool{}
	for _, entry := range Codes() {
		if seen[entry.Code] || entry.Name == "" || entry.Text == "" {
			t.Errorf("%d %q", entry.Code, entry.Name)
		}
		seen[entry.Code] = true
	}
}
