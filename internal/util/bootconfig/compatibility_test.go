package bootconfig_test

import (
	"testing"

	"ospreybend/internal/testkit/golden"
	"ospreybend/internal/util/bootconfig"
)

// compatibilityRows are a settings file with every member.
func compatibilityRows() []golden.Row {
	return []golden.Row{golden.FilledJSON[bootconfig.Settings]("settings.json")}
}

func TestSettings_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
