package history

import (
	"strings"
	"testing"
	"time"
)

func TestCheckRoleCommands(t *testing.T) {
	const lease = 3 * time.Second
	command := func(at time.Duration, holder string, token uint64) RoleCommand {
		return RoleCommand{At: at, Worker: "w", Holder: holder, Token: token}
	}
	thaw := []Exemption{{Holder: "a", From: 9 * time.Second, To: 9300 * time.Millisecond}}
	for name, test := range map[string]struct {
		commands []RoleCommand
		want     string
	}{
		"one owner after the other":     {[]RoleCommand{command(0, "a", 1), command(lease, "b", 2)}, ""},
		"retries of one owner":          {[]RoleCommand{command(0, "a", 1), command(1, "a", 1)}, ""},
		"another worker":                {[]RoleCommand{command(0, "a", 2), {At: 1, Worker: "v", Holder: "b", Token: 1}}, ""},
		"turns within the lease":        {[]RoleCommand{command(0, "a", 1), command(lease-1, "b", 2)}, "within the lease"},
		"one token of two":              {[]RoleCommand{command(0, "a", 1), command(2*lease, "b", 1)}, "one token"},
		"a late one, whatever its turn": {[]RoleCommand{command(2*lease, "a", 1), command(lease, "b", 2)}, "lower token"},
		"just after its sender's thaw":  {[]RoleCommand{command(lease, "b", 2), command(9100*time.Millisecond, "a", 1)}, ""},
		"long after its sender's thaw":  {[]RoleCommand{command(lease, "b", 2), command(9400*time.Millisecond, "a", 1)}, "lower token"},
		"after the thaw of another":     {[]RoleCommand{command(lease, "a", 2), command(9100*time.Millisecond, "b", 1)}, "lower token"},
	} {
		found := CheckRoleCommands(test.commands, thaw, lease)
		if len(found) != min(len(test.want), 1) || len(found) > 0 && !strings.Contains(found[0].Text, test.want) {
			t.Errorf("%s: found %v, want %q", name, found, test.want)
		}
	}
}
