// Package expositiontest checks in tests that the metrics of a process are named and documented consistently.
package expositiontest

import (
	"os"
	"strings"
	"testing"

	"ospreybend/internal/util/exposition"
)

const (
	counterSuffix = "_total"
	operatorsPage = "docs/OPERATORS-FLEET.md"
)

// Check fails the test for each metric that breaks a naming rule: names begin with prefix, are unique, and end in _total for
// counters only; help texts end with a full stop; the operators' page lists every metric. root is the root of the repository.
func Check(t *testing.T, root, prefix string, families []exposition.Family) {
	t.Helper()
	page, err := os.ReadFile(root + "/" + operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, family := range families {
		if seen[family.Name] {
			t.Errorf("metric %s is defined twice", family.Name)
		}
		seen[family.Name] = true
		if !strings.HasPrefix(family.Name, prefix) {
			t.Errorf("metric %s: name does not begin with %q", family.Name, prefix)
		}
		if !strings.HasSuffix(family.Help, ".") {
			t.Errorf("metric %s: help text %q does not end with a full stop", family.Name, family.Help)
		}
		if (family.Kind == exposition.Counter) != strings.HasSuffix(family.Name, counterSuffix) {
			t.Errorf("metric %s is a %s: counters, and only counters, must end in %s", family.Name, family.Kind, counterSuffix)
		}
		if !strings.Contains(string(page), "`"+family.Name+"`") {
			t.Errorf("%s does not list metric %s", operatorsPage, family.Name)
		}
	}
}
