// Package golden compares the formats that the program reads and writes with fixtures: files with bytes that an earlier
// version wrote, committed beside the tests. Only tests use it.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Folder is the directory, in each package, of the fixtures that commit 8782861 wrote.
const Folder = "testdata/v8782861"

// Row is a test case: one format in which a value is stored or sent.
type Row struct {
	Name   string // file name of the fixture in Folder
	Value  any    // the decoded fixture
	Encode func() ([]byte, error)
	Decode func([]byte) (any, error) // nil: the program only writes this format

	// SameMeaning marks a format in which several encodings of a value are valid, such as deflated data: the output of
	// Encode must then decode to Value, but may differ from the fixture.
	SameMeaning bool
}

// Read returns the bytes of a fixture.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(Folder, name))
	if err != nil {
		t.Fatalf("read the fixture: %v", err)
	}
	return content
}

// Check decodes the fixture of each row and compares the result with the value, then encodes the value and compares the
// bytes with the fixture.
func Check(t *testing.T, rows []Row) {
	t.Helper()
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) { row.check(t) })
	}
}

func (r Row) check(t *testing.T) {
	t.Helper()
	fixture := Read(t, r.Name)
	r.checkValue(t, fixture)
	encoded, err := r.Encode()
	switch {
	case err != nil:
		t.Fatalf("encode the value: %v", err)
	case r.SameMeaning:
		r.checkValue(t, encoded)
	case !bytes.Equal(encoded, fixture):
		t.Errorf("encoded the value: got %q, want the fixture's %q", encoded, fixture)
	}
}

func (r Row) checkValue(t *testing.T, encoded []byte) {
	t.Helper()
	if r.Decode == nil {
		return
	}
	value, err := r.Decode(encoded)
	if err != nil {
		t.Fatalf("decode %q: %v", encoded, err)
	}
	if !reflect.DeepEqual(value, r.Value) {
		t.Errorf("decoded %q: got %#v, want %#v", encoded, value, r.Value)
	}
}
