package feedtransport

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A status lists the servers only when they have changed.
func TestFeedWriter_writeStatus_serversOnlyWhenChanged(t *testing.T) {
	connection := &recordingConnection{}
	writer := newFeedWriter(connection, nil, time.Second)
	servers := []ServerEndpoint{{Address: "10.0.0.1:7000", Zone: "a"}}
	for number, want := range [][]ServerEndpoint{servers, nil, nil, append(servers, ServerEndpoint{Address: "10.0.0.2:7000"}), nil} {
		status := Status{Shards: []ShardStatus{{Current: true}}, Servers: servers}
		if number >= 3 {
			status.Servers = append(servers, ServerEndpoint{Address: "10.0.0.2:7000"})
		}
		connection.written.Reset()
		if err := errors.Join(writer.writeStatus(status), writer.flush()); err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeStatus(frameBody(t, connection.written.Bytes(), KindStatus))
		if err != nil || len(decoded.Servers) != len(want) {
			t.Errorf("status %d lists the servers %v, error %v; want %v", number, decoded.Servers, err, want)
		}
		if writer.statusChanged(status) {
			t.Errorf("statusChanged returned true for status %d although it was just written", number)
		}
	}
}

func TestClient_handleStatus_addsServersOfEarlierStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(1)
		source.servers = []ServerEndpoint{{Address: serverAddress(1)}, {Address: serverAddress(2)}}
		handler := newRecorder()
		stop := runClient(&serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): source}}, 1, handler)
		defer stop()
		time.Sleep(3 * StatusInterval)
		synctest.Wait()
		for number, status := range handler.state().statuses {
			if len(status.Servers) != len(source.servers) {
				t.Errorf("status %d of %d lists the servers %v, want %v", number, len(handler.state().statuses), status.Servers, source.servers)
			}
		}
	})
}
