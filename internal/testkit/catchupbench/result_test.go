package catchupbench

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

// TestResult_WriteJSON_memberNames verifies that the names of JSON members stay those of earlier recorded results.
func TestResult_WriteJSON_memberNames(t *testing.T) {
	result := Result{Command: "c", Build: "b", Steps: []Step{{
		Mode: Wiped, Offline: time.Microsecond, MissedChanges: 2, CatchUpTime: 3, TimeToVoter: 4, Bytes: 5, DiskBytes: 6, LeaderDiskBytes: 7,
	}}}
	var written, compact bytes.Buffer
	if err := result.WriteJSON(&written); err != nil {
		t.Fatal(err)
	}
	if err := json.Compact(&compact, written.Bytes()); err != nil {
		t.Fatal(err)
	}
	const want = `{"Command":"c","Build":"b","Steps":[{"Manner":"wiped","Away":1000,"Lacked":2,"Took":3,"Voting":4,"Bytes":5,"OnDisk":6,"Leading":7}]}`
	if compact.String() != want {
		t.Errorf("got %s, want %s", compact.String(), want)
	}
}
