package settings_test

import (
	"testing"

	"ospreybend/internal/settings"
	"ospreybend/internal/testkit/golden"
)

// compatibilityRows are a settings file with every member.
func compatibilityRows() []golden.Row {
	return []golden.Row{golden.FilledJSON[settings.Settings]("settings.json")}
}

func TestSettings_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
