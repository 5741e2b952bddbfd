package resultcode

import (
	"net/http"
	"testing"
)

var table = NewTable(
	Entry{9001, "first", http.StatusOK, "it is done"},
	Entry{9002, "second", http.StatusBadRequest, "it cannot be read"},
)

func TestTable_Reject_textHasCodeNameAndDetail(t *testing.T) {
	rejection := table.Reject(9002, "line 3")
	if rejection.HTTPStatus != http.StatusBadRequest || rejection.Error() != "9002 second: it cannot be read: line 3" {
		t.Errorf("Reject(9002, \"line 3\"): got status %d, error %q; want status 400, error \"9002 second: it cannot be read: line 3\"",
			rejection.HTTPStatus, rejection.Error())
	}
	if got := table.Reject(9002, "").Text; got != "it cannot be read" {
		t.Errorf("Reject(9002, \"\"): got text %q, want \"it cannot be read\"", got)
	}
}

func TestTable_Entry_unknownCodeIsInternalServerError(t *testing.T) {
	if entry := table.Entry(9999); entry.HTTPStatus != http.StatusInternalServerError || entry.Name != "unknown" {
		t.Errorf("Entry(9999): got %+v, want status 500 and name \"unknown\"", entry)
	}
}

func TestNewTable_panicsOnDuplicateCode(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("NewTable with code 9001, which is already registered: did not panic")
		}
	}()
	NewTable(Entry{9001, "again", http.StatusOK, ""})
}
