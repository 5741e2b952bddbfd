package hotrestart

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/internal/node/override"
	"ospreybend/internal/testkit/golden"
)

// compatibilityFile is the name of the file that the processes of a node share, and of its fixture.
const compatibilityFile = "by-hand.json"

// compatibilityOverrides returns an override with every field set and one with only the required fields.
func compatibilityOverrides() override.Overrides {
	return override.Overrides{
		"worker-1": {Disabled: true, At: 3 * time.Second, DisabledAt: 2 * time.Second, EnabledAt: time.Second},
		"worker-2": {At: time.Minute},
	}
}

// withDirectory calls use with a new directory and the path of its shared file.
func withDirectory(t *testing.T, use func(directory *Directory, path string)) {
	t.Helper()
	tmp := t.TempDir()
	directory, err := Open(tmp, "node")
	if err != nil {
		t.Fatal(err)
	}
	defer directory.Close()
	use(directory, filepath.Join(tmp, "ospreybend-node", compatibilityFile))
}

// compatibilityRows returns the check of the shared file's format.
func compatibilityRows(t *testing.T) []golden.Row {
	return []golden.Row{{
		Name: compatibilityFile, Value: compatibilityOverrides(),
		Encode: func() (content []byte, err error) {
			withDirectory(t, func(directory *Directory, path string) {
				if _, err = directory.Change(func(overrides override.Overrides) { overrides.Merge(compatibilityOverrides()) }); err == nil {
					content, err = os.ReadFile(path)
				}
			})
			return content, err
		},
		Decode: func(content []byte) (decoded any, err error) {
			withDirectory(t, func(directory *Directory, path string) {
				if err = os.WriteFile(path, content, 0o600); err == nil {
					decoded, err = directory.Overrides()
				}
			})
			return decoded, err
		},
	}}
}

// The shared file has the format that commit 8782861 wrote, and its fixture is still read.
func TestSharedFile_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows(t)) }
