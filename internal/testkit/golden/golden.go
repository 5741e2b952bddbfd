// Package golden compares what the program reads and writes with fixtures: bytes that an earlier version wrote, committed
// beside the tests. It is for tests alone.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Folder is where a package has the fixtures of commit 8782861.
const Folder = "testdata/v8782861"

// Row is one stored or sent form of a value.
type Row struct {
	Name   string // file of the fixture in Folder
	Value  any    // what the fixture's bytes stand for
	Encode func() ([]byte, error)
	Decode func([]byte) (any, error) // nil: this program only writes the form

	// SameMeaning marks an encoding whose bytes may differ between two writers of one form, such as deflated data: what
	// Encode writes must then be read as Value, and need not be the fixture's bytes.
	SameMeaning bool
}

// Read returns the bytes of a fixture.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(Folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Check decodes each row's fixture, compares the value, encodes the value and compares the bytes.
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
		t.Fatal(err)
	case r.SameMeaning:
		r.checkValue(t, encoded)
	case !bytes.Equal(encoded, fixture):
		t.Errorf("encoded %q, the fixture holds %q", encoded, fixture)
	}
}

func (r Row) checkValue(t *testing.T, encoded []byte) {
	t.Helper()
	if r.Decode == nil {
		return
	}
	value, err := r.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(value, r.Value) {
		t.Errorf("decoded %#v, want %#v", value, r.Value)
	}
}
