package consensus

import (
	"fmt"
	"strings"
	"testing"
)

// TestString_namesEachValue verifies that every kind and role has a distinct name and that the name of an unknown value contains its
// number.
func TestString_namesEachValue(t *testing.T) {
	names := map[string]bool{}
	for kind := MessagePreVote; kind <= MessageTimeoutNow; kind++ {
		names["message "+kind.String()] = true
	}
	for kind := EntryCommand; kind <= EntryMembership; kind++ {
		names["entry "+kind.String()] = true
	}
	for role := RoleFollower; role <= RoleLeader; role++ {
		names["role "+role.String()] = true
	}
	if want := int(MessageTimeoutNow+1) + int(EntryMembership+1) + int(RoleLeader+1); len(names) != want {
		t.Errorf("%d distinct names of kinds and roles, want %d: %v", len(names), want, names)
	}
	for _, unknown := range []fmt.Stringer{MessageTimeoutNow + 1, EntryMembership + 1, RoleLeader + 1} {
		if !strings.ContainsAny(unknown.String(), "0123456789") {
			t.Errorf("name of an unknown value: %q, want one with its number", unknown)
		}
	}
}
