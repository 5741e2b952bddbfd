package nodeconfig

import (
	"strings"
	"testing"
)

const validFleet = `
enabled = true
fleet = "f"
zone = "a"
[[voters]]
id = 1
zone = "a"
address = "127.0.0.1:7301"
[[voters]]
id = 2
zone = "b"
address = "127.0.0.1:7302"
[[voters]]
id = 3
zone = "c"
address = "127.0.0.1:7303"
[voter]
id = 1
store = "x"
`

// Each error names the invalid key. The settings of a disabled fleet are not validated.
func TestParseFleet(t *testing.T) {
	f, err := ParseFleet(validFleet)
	if err != nil || f.Voter.Listen != "127.0.0.1:7301" || len(f.VoterIDs()) != 3 {
		t.Fatalf("parse valid settings: got %+v and error %v, want 3 voters and the listen address of voter 1", f, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`fleet = "f"`, ``, "fleet:"},
		{`zone = "a"`, ``, "zone:"},
		{"id = 2", "id = 0", "voters.1.id:"},
		{"id = 2", "id = 1", "voters.1.id: 1 comes twice"},
		{`zone = "b"`, ``, "voters.1.zone:"},
		{"127.0.0.1:7302", "somewhere", "voters.1.address:"},
		{"127.0.0.1:7302", "127.0.0.1:7301", "voters.1.address:"},
		{"[voter]\nid = 1", "[voter]\nid = 9", "voter.id: 9"},
		{"[voter]\nid = 1", "[voter]", "voter.id: missing"},
		{"[voter]\nid = 1", "[voter]\nid = 2", "zone:"},
		{`store = "x"`, ``, "voter.store:"},
		{`store = "x"`, "store = \"x\"\nlisten = \"y\"", "voter.listen:"},
		{`store = "x"`, "store = \"x\"\nhouse = 1", "voter.house: no such key"},
		{"[[voters]]\nid = 3\nzone = \"c\"\naddress = \"127.0.0.1:7303\"\n", "", "voters: 2"},
	} {
		text := strings.Replace(validFleet, c.old, c.new, 1)
		if _, err := ParseFleet(text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: got error %v, want one with %q", c.new, c.old, err, c.want)
		}
	}
	if f, err := ParseFleet("enabled = false\nfleet = \"\""); err != nil || f.Enabled || f.Name != "" {
		t.Errorf("parse a disabled fleet without a name: got %+v and error %v, want a disabled fleet and no error", f, err)
	}
}
