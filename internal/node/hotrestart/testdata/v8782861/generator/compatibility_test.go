package upgrade

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/internal/byhand"
	"ospreybend/internal/testkit/golden"
)

// compatibilityFile is the fixture: the file that the processes of a node share.
const compatibilityFile = "by-hand.json"

// compatibilityWords has every field set, and none.
func compatibilityWords() byhand.Words {
	return byhand.Words{
		"worker-1": {Out: true, At: 3 * time.Second, Since: 2 * time.Second, Back: time.Second},
		"worker-2": {At: time.Minute},
	}
}

// inRoom calls use with a room of its own folder, and the path of its shared file.
func inRoom(t *testing.T, use func(room *Room, path string)) {
	t.Helper()
	folder := t.TempDir()
	room, err := Open(folder, "node")
	if err != nil {
		t.Fatal(err)
	}
	defer room.Close()
	use(room, filepath.Join(folder, "ospreybend-node", compatibilityFile))
}

// compatibilityRows are the shared file.
func compatibilityRows(t *testing.T) []golden.Row {
	return []golden.Row{{
		Name: compatibilityFile, Value: compatibilityWords(),
		Encode: func() (content []byte, err error) {
			inRoom(t, func(room *Room, path string) {
				if _, err = room.Change(func(words byhand.Words) { words.Merge(compatibilityWords()) }); err == nil {
					content, err = os.ReadFile(path)
				}
			})
			return content, err
		},
		Decode: func(content []byte) (read any, err error) {
			inRoom(t, func(room *Room, path string) {
				if err = os.WriteFile(path, content, 0o600); err == nil {
					read, err = room.Words()
				}
			})
			return read, err
		},
	}}
}

func TestSharedFile_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows(t)) }
