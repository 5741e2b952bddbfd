package resultcode

import (
	"net/http"
	"testing"
)

var table = NewTable(
	Entry{9001, "first", http.StatusOK, "it is done"},
	Entry{9002, "second", http.StatusBadRequest, "it cannot be read"},
)

func TestRefusalTellsNumberNameAndPlace(t *testing.T) {
	refusal := table.Refuse(9002, "line 3")
	if refusal.Status != http.StatusBadRequest || refusal.Error() != "9002 second: it cannot be read: line 3" {
		t.Errorf("%d, %s", refusal.Status, refusal)
	}
	if got := table.Refuse(9002, "").Text; got != "it cannot be read" {
		t.Errorf("without a place: %q", got)
	}
}

func TestUnknownCodeIsAFaultOfTheServer(t *testing.T) {
	if entry := table.Entry(9999); entry.Status != http.StatusInternalServerError || entry.Name != "unknown" {
		t.Errorf("%+v", entry)
	}
}

func TestCodeInTwoTablesIsRefused(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("a number was given twice")
		}
	}()
	NewTable(Entry{9001, "again", http.StatusOK, ""})
}
