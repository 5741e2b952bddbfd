package hotrestart

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/internal/node/override"
	"ospreybend/internal/testkit/golden"
)

// compatibilityFile is the fixture: the file that the processes of a node share.
const compatibilityFile = "by-hand.json"

// compatibilityOverrides has every field set, and none.
func compatibilityOverrides() override.Overrides {
	return override.Overrides{
		"worker-1": {Out: true, At: 3 * time.Second, Since: 2 * time.Second, Back: time.Second},
		"worker-2": {At: time.Minute},
	}
}

// inDirectory calls use with the directory of a process, and the path of its shared file.
func inDirectory(t *testing.T, use func(directory *Directory, path string)) {
	t.Helper()
	folder := t.TempDir()
	directory, err := Open(folder, "node")
	if err != nil {
		t.Fatal(err)
	}
	defer directory.Close()
	use(directory, filepath.Join(folder, "ospreybend-node", compatibilityFile))
}

// compatibilityRows are the shared file.
func compatibilityRows(t *testing.T) []golden.Row {
	return []golden.Row{{
		Name: compatibilityFile, Value: compatibilityOverrides(),
		Encode: func() (content []byte, err error) {
			inDirectory(t, func(directory *Directory, path string) {
				if _, err = directory.Change(func(overrides override.Overrides) { overrides.Merge(compatibilityOverrides()) }); err == nil {
					content, err = os.ReadFile(path)
				}
			})
			return content, err
		},
		Decode: func(content []byte) (read any, err error) {
			inDirectory(t, func(directory *Directory, path string) {
				if err = os.WriteFile(path, content, 0o600); err == nil {
					read, err = directory.Overrides()
				}
			})
			return read, err
		},
	}}
}

func TestSharedFile_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows(t)) }
