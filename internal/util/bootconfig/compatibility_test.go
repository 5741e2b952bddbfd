package bootconfig_test

import (
	"testing"

	"ospreybend/internal/testkit/golden"
	"ospreybend/internal/util/bootconfig"
)

// compatibilityRows returns one settings file in which every field is set.
func compatibilityRows() []golden.Row {
	return []golden.Row{golden.FilledJSON[bootconfig.Settings]("settings.json")}
}

// TestSettings_asVersion8782861 checks that the file is still encoded and decoded as by version 8782861.
func TestSettings_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
