package nodeconfig

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
)

func emptyEnv(string) string { return "" }

// exampleConfig returns the text of the example configuration.
func exampleConfig(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The names of report fields may contain blanks, as in a real node's settings.
func TestLoad_example(t *testing.T) {
	n, err := Parse([]byte(exampleConfig(t)), emptyEnv)
	if err != nil {
		t.Fatalf("parse the example configuration: %v", err)
	}
	s := n.Settings
	if n.Seed != 0x8c1f30d27a5be964 || len(s.Classes) != 3 || n.Classes["auftrag-buchen"] != 2 ||
		s.Classes[2].Effect != balance.NonIdempotent || s.Classes[1].TargetStretch != 2.5 || !s.SubscribeDiscovery ||
		s.Limits.ConnIdle != time.Minute || len(n.Kinds) != 2 || len(n.ReportFields) != 2 || s.ReportFields[1] != balance.FieldFreeSlots {
		t.Errorf("example configuration: got %+v, want seed 8c1f30d27a5be964, 3 classes with stretch 2.5 of the second and the "+
			"non-idempotent auftrag-buchen last, subscription to discovery, connections idle for 1 minute, 2 kinds of workers, and "+
			"2 report fields with free slots last", n)
	}
}

// A node with the lowest valid limits starts, and never assigns more descriptors than it has. Some
// are reserved for operators if there is an address for them.
func TestParse_dividesDescriptors(t *testing.T) {
	for _, sockets := range []int{128, 192, 256, 384, 512, 1024} {
		text := strings.Replace(strings.Replace(exampleConfig(t), `"admin": "127.0.0.1:9901",`, "", 1), `"sockets": 1024`, `"sockets": `+strconv.Itoa(sockets), 1)
		text = strings.Replace(text, `"memory_mb": 192`, `"memory_mb": 32`, 1)
		for _, admin := range []string{"", "127.0.0.1:9900"} {
			n, err := Parse([]byte(text), func(key string) string { return map[string]string{"BALANCER_ADMIN": admin}[key] })
			if err != nil {
				t.Errorf("parse with %d descriptors, admin %q: %v", sockets, admin, err)
				continue
			}
			left := sockets - n.FrontMaxSockets - n.MaxDestinationConns - n.AdminMaxSockets
			if left < 24 || n.FrontMaxSockets < sockets/4 || (n.AdminMaxSockets >= 10) != (admin != "") {
				t.Errorf("%d descriptors, admin %q: got %d for clients, %d for operators and %d unassigned, want at least %d, "+
					"at least 10 only with admin, and at least 24", sockets, admin, n.FrontMaxSockets, n.AdminMaxSockets, left, sockets/4)
			}
		}
	}
}

// Each error names the invalid key.
func TestParse_errorsNameTheKey(t *testing.T) {
	for _, c := range [][3]string{
		{`"127.0.0.1:8080"`, `"here"`, "listen"},
		{`"127.0.0.1:9901"`, `"here"`, "admin"},
		{`"127.0.0.1:9901"`, `"127.0.0.1:8080"`, "admin"},
		{`"127.0.0.1:8500"`, `""`, "discovery"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"memory_mb": 192`, `"memory_mb": 3`, "limits.memory_mb"},
		{`"sockets": 1024`, `"sockets": 9`, "limits.sockets"},
		{`"sockets": 1024`, `"sockets": "many"`, "limits.sockets"},
		{`"maxAttempts": 4`, `"maxAttempts": "x"`, "bounds.maxAttempts"},
		{`"giveUpUs": 25000000`, `"giveUpUs": 0`, "grades.2.giveUpUs"},
		{`"non_idempotent"`, `"never"`, "grades.2.repeat"},
	} {
		text := strings.Replace(exampleConfig(t), c[0], c[1], 1)
		if _, err := Parse([]byte(text), emptyEnv); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s instead of %s: got error %v, want one that names %s", c[1], c[0], err, c[2])
		}
	}
}

// All changes but that of the discovery address require a restart. The seed and the cached list are
// not reported, since they differ at each start.
func TestNode_KeysNeedingRestart(t *testing.T) {
	old, err := Parse([]byte(exampleConfig(t)), emptyEnv)
	if err != nil {
		t.Fatalf("parse the example configuration: %v", err)
	}
	for _, c := range [][3]string{
		{`"127.0.0.1:8500"`, `"127.0.0.1:8501"`, ""},
		{`"8c1f30d27a5be964"`, `"1"`, ""},
		{`"127.0.0.1:8080"`, `"127.0.0.1:8081"`, "listen"},
		{`"sockets": 1024`, `"sockets": 512`, "limits.sockets"},
		{`"maxAttempts": 4`, `"maxAttempts": 5`, "settings"},
	} {
		n, err := Parse([]byte(strings.Replace(exampleConfig(t), c[0], c[1], 1)), emptyEnv)
		if err != nil {
			t.Fatalf("parse with %s instead of %s: %v", c[1], c[0], err)
		}
		if got := strings.Join(old.KeysNeedingRestart(n), " "); got != c[2] {
			t.Errorf("%s instead of %s: got keys %q that need a restart, want %q", c[1], c[0], got, c[2])
		}
	}
}

// The batch front is disabled by the file that is deployed to the platform, and without any file.
func TestLoadBatch_offByDefault(t *testing.T) {
	b, err := LoadBatch(func(string) string { return "../../../deploy/batch.toml" })
	if err != nil || b != (Batch{}) {
		t.Errorf("load deploy/batch.toml: got %+v and error %v, want a disabled batch front", b, err)
	}
	if b, err := LoadBatch(emptyEnv); err != nil || b.Enabled {
		t.Errorf("load without a file: got %+v and error %v, want a disabled batch front", b, err)
	}
}

// Each error names the invalid key.
func TestParseBatch(t *testing.T) {
	valid := "enabled = true\nlisten = \"127.0.0.1:1\"\nstore = \"sqlite\"\nsource = \"x\"\n"
	if b, err := ParseBatch(valid); err != nil || !b.Enabled {
		t.Errorf("parse valid settings: got %+v and error %v, want an enabled batch front", b, err)
	}
	for key, text := range map[string]string{
		"listen":             strings.Replace(valid, "127.0.0.1:1", "x", 1),
		"store":              strings.Replace(valid, "sqlite", "paper", 1),
		"source":             strings.Replace(valid, `"x"`, `""`, 1),
		"sockets":            valid + "sockets = 1\n",
		"typo":               valid + "typo = 1\n",
		"admin_token_sha256": valid + "admin_listen = \"127.0.0.1:2\"\nadmin_token_sha256 = \"chief\"\n",
	} {
		if _, err := ParseBatch(text); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("invalid %s: got error %v, want one that names the key", key, err)
		}
	}
}
