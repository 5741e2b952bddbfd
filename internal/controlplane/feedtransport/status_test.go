package feedtransport

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A status repeats the keepers only when they have changed.
func TestKeepersAreToldWhenTheyChange(t *testing.T) {
	connection := &capture{}
	writer := newFeedWriter(connection, nil, time.Second)
	keepers := []Keeper{{Address: "10.0.0.1:7000", Zone: "a"}}
	for number, wanted := range [][]Keeper{keepers, nil, nil, append(keepers, Keeper{Address: "10.0.0.2:7000"}), nil} {
		status := Status{Shards: []ShardStatus{{Current: true}}, Keepers: keepers}
		if number >= 3 {
			status.Keepers = append(keepers, Keeper{Address: "10.0.0.2:7000"})
		}
		connection.written.Reset()
		if err := errors.Join(writer.status(status), writer.flush()); err != nil {
			t.Fatal(err)
		}
		told, err := DecodeStatus(body(t, connection.written.Bytes(), KindStatus))
		if err != nil || len(told.Keepers) != len(wanted) {
			t.Errorf("status %d tells of %v, want %v, %v", number, told.Keepers, wanted, err)
		}
		if writer.statusChanged(status) {
			t.Errorf("status %d counts as changed after it was sent", number)
		}
	}
}

func TestAHandlerIsToldOfTheKeepersWithEachStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(1)
		source.keepers = []Keeper{{Address: address(1)}, {Address: address(2)}}
		handler := newRecorder()
		_, stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		time.Sleep(3 * StatusInterval)
		synctest.Wait()
		for number, status := range handler.seen().statuses {
			if len(status.Keepers) != len(source.keepers) {
				t.Errorf("status %d of %d tells of %v", number, len(handler.seen().statuses), status.Keepers)
			}
		}
	})
}
