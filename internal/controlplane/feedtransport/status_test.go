package feedtransport

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A status lists the servers only when they have changed.
func TestFeedWriter_writeStatus_serversOnlyWhenChanged(t *testing.T) {
	connection := &capture{}
	writer := newFeedWriter(connection, nil, time.Second)
	servers := []ServerEndpoint{{Address: "10.0.0.1:7000", Zone: "a"}}
	for number, wanted := range [][]ServerEndpoint{servers, nil, nil, append(servers, ServerEndpoint{Address: "10.0.0.2:7000"}), nil} {
		status := Status{Shards: []ShardStatus{{Current: true}}, Servers: servers}
		if number >= 3 {
			status.Servers = append(servers, ServerEndpoint{Address: "10.0.0.2:7000"})
		}
		connection.written.Reset()
		if err := errors.Join(writer.writeStatus(status), writer.flush()); err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeStatus(body(t, connection.written.Bytes(), KindStatus))
		if err != nil || len(decoded.Servers) != len(wanted) {
			t.Errorf("status %d lists %v, want %v, %v", number, decoded.Servers, wanted, err)
		}
		if writer.statusChanged(status) {
			t.Errorf("status %d counts as changed after it was sent", number)
		}
	}
}

func TestClient_handleStatus_serversInEveryStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(1)
		source.servers = []ServerEndpoint{{Address: address(1)}, {Address: address(2)}}
		handler := newRecorder()
		stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		time.Sleep(3 * StatusInterval)
		synctest.Wait()
		for number, status := range handler.seen().statuses {
			if len(status.Servers) != len(source.servers) {
				t.Errorf("status %d of %d lists %v", number, len(handler.seen().statuses), status.Servers)
			}
		}
	})
}
