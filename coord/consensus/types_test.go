package consensus

import (
	"fmt"
	"strings"
	"testing"
)

// TestString_namesEachValue expects each kind and role to have a name of its own, and a number beyond them to show.
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
		t.Errorf("%d names, want %d: %v", len(names), want, names)
	}
	for _, unknown := range []fmt.Stringer{MessageTimeoutNow + 1, EntryMembership + 1, RoleLeader + 1} {
		if !strings.ContainsAny(unknown.String(), "0123456789") {
			t.Errorf("an unknown value is called %q", unknown)
		}
	}
}
