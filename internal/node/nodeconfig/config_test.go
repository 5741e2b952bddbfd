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

func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The example's report fields have blanks in their names, as a real node's settings do.
func TestLoad_example(t *testing.T) {
	n, err := Parse([]byte(example(t)), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	s := n.Settings
	if n.Seed != 0x8c1f30d27a5be964 || len(s.Classes) != 3 || n.Classes["auftrag-buchen"] != 2 ||
		s.Classes[2].Effect != balance.NonIdempotent || s.Classes[1].TargetStretch != 2.5 || !s.SubscribeDiscovery ||
		s.Limits.ConnIdle != time.Minute || len(n.Kinds) != 2 || len(n.ReportFields) != 2 || s.ReportFields[1] != balance.FieldFreeSlots {
		t.Errorf("%+v", n)
	}
}

// The node starts with the smallest limits allowed, and assigns no more descriptors than it
// has; the operators' are reserved.
func TestParse_dividesDescriptors(t *testing.T) {
	for _, sockets := range []int{128, 192, 256, 384, 512, 1024} {
		limits := strings.Replace(strings.Replace(example(t), `"admin": "127.0.0.1:9901",`, "", 1), `"sockets": 1024`, `"sockets": `+strconv.Itoa(sockets), 1)
		limits = strings.Replace(limits, `"memory_mb": 192`, `"memory_mb": 32`, 1)
		for _, admin := range []string{"", "127.0.0.1:9900"} {
			n, err := Parse([]byte(limits), func(key string) string { return map[string]string{"BALANCER_ADMIN": admin}[key] })
			if err != nil {
				t.Errorf("%d descriptors: %v", sockets, err)
				continue
			}
			left := sockets - n.FrontMaxSockets - n.MaxDestinationConns - n.AdminMaxSockets
			if left < 24 || n.FrontMaxSockets < sockets/4 || (n.AdminMaxSockets >= 10) != (admin != "") {
				t.Errorf("%d descriptors, admin %q: %+v", sockets, admin, n)
			}
		}
	}
}

// Each error names the faulty key.
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
		text := strings.Replace(example(t), c[0], c[1], 1)
		if _, err := Parse([]byte(text), emptyEnv); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: %v, want it to name %s", c[1], err, c[2])
		}
	}
}

// All changes but that of discovery take effect at a start alone; the seed and the cached list
// are different at each start.
func TestNode_NeedRestart(t *testing.T) {
	old, err := Parse([]byte(example(t)), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range [][3]string{
		{`"127.0.0.1:8500"`, `"127.0.0.1:8501"`, ""},
		{`"8c1f30d27a5be964"`, `"1"`, ""},
		{`"127.0.0.1:8080"`, `"127.0.0.1:8081"`, "listen"},
		{`"sockets": 1024`, `"sockets": 512`, "limits.sockets"},
		{`"maxAttempts": 4`, `"maxAttempts": 5`, "settings"},
	} {
		n, err := Parse([]byte(strings.Replace(example(t), c[0], c[1], 1)), emptyEnv)
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(old.NeedRestart(n), " "); got != c[2] {
			t.Errorf("%s: %q needs a restart, want %q", c[1], got, c[2])
		}
	}
}

// The batch front is off on the platform.
func TestLoadBatch_offByDefault(t *testing.T) {
	b, err := LoadBatch(func(string) string { return "../../../deploy/batch.toml" })
	if err != nil || b != (Batch{}) {
		t.Errorf("%+v, %v", b, err)
	}
	if b, err := LoadBatch(emptyEnv); err != nil || b.Enabled {
		t.Errorf("without a file: %+v, %v", b, err)
	}
}

func TestParseBatch(t *testing.T) {
	on := "enabled = true\nlisten = \"127.0.0.1:1\"\nstore = \"sqlite\"\nsource = \"x\"\n"
	if b, err := ParseBatch(on); err != nil || !b.Enabled {
		t.Errorf("%+v, %v", b, err)
	}
	for key, text := range map[string]string{
		"listen":             strings.Replace(on, "127.0.0.1:1", "x", 1),
		"store":              strings.Replace(on, "sqlite", "paper", 1),
		"source":             strings.Replace(on, `"x"`, `""`, 1),
		"sockets":            on + "sockets = 1\n",
		"typo":               on + "typo = 1\n",
		"admin_token_sha256": on + "admin_listen = \"127.0.0.1:2\"\nadmin_token_sha256 = \"chief\"\n",
	} {
		if _, err := ParseBatch(text); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
