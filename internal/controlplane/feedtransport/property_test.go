package feedtransport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/feed"
)

const (
	propertySeed     = 20
	propertyRuns     = 200
	propertyReplicas = 2
	propertyKeys     = 6
)

// recordingConnection is a connection that records what is written to it.
type recordingConnection struct {
	net.Conn
	written bytes.Buffer
}

func (c *recordingConnection) SetWriteDeadline(time.Time) error { return nil }

func (c *recordingConnection) Write(data []byte) (int, error) { return c.written.Write(data) }

// replicas is a log and servers that have replicated and compacted it up to different indexes.
type replicas struct {
	log               []feed.Change
	replicatedLengths [propertyReplicas]int
	compactedTo       [propertyReplicas]uint64
}

// runStep commits a change, replicates changes to a replica, compacts a replica, or lets the client read from a replica. number
// determines which of them, and the details.
func (r *replicas) runStep(number uint16, client *Client) error {
	replica := int(number>>2) % propertyReplicas
	detail := int(number >> 4)
	switch number & 3 {
	case 0:
		index := lastIndex(r.log) + 1 + uint64(detail%3)
		r.log = append(r.log, r.drawChange(index, detail))
	case 1:
		r.replicatedLengths[replica] = min(len(r.log), r.replicatedLengths[replica]+1+detail%4)
	case 2:
		r.compactedTo[replica] = lastIndex(r.log[:r.replicatedLengths[replica]])
	default:
		return r.read(replica, detail, client)
	}
	return nil
}

func (r *replicas) drawChange(index uint64, detail int) feed.Change {
	key := fmt.Sprintf("key-%d", detail%propertyKeys)
	if detail%5 == 0 {
		return feed.Change{Index: index, Delete: []string{key}}
	}
	other := fmt.Sprintf("key-%d", (detail+1)%propertyKeys)
	return feed.Change{Index: index, Delete: []string{other}, Put: []feed.Item{
		{Key: key, Value: bytes.Repeat([]byte{byte(index)}, 13<<10)},
		{Key: other, Value: []byte(fmt.Sprint(index))},
	}}
}

// read connects the client to a replica. The connection breaks after one to eight eighths of the bytes; detail determines how
// many.
func (r *replicas) read(replica, detail int, client *Client) error {
	source := newScriptedSource(0)
	source.logs[0] = r.log[:r.replicatedLengths[replica]]
	source.compactedTo[0] = r.compactedTo[replica]
	connection := &recordingConnection{}
	offsets := client.receiver.reset()
	session := NewSession(connection, Hello{Offsets: offsets}, source, SessionOptions{})
	if err := session.sendUpdates(); err != nil {
		return err
	}
	const eighths = 8
	sent := connection.written.Bytes()
	sent = sent[:len(sent)*(1+detail%eighths)/eighths]
	return receiveFrames(client, sent)
}

func receiveFrames(client *Client, sent []byte) error {
	reader := bytes.NewReader(sent)
	for {
		kind, content, err := ReadFrame(reader)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := client.handleFrame(kind, content); err != nil {
			return err
		}
	}
}

func newConnectedClient(handler Handler) *Client {
	client := NewClient(ClientOptions{Selector: SelectorOptions{FixedServer: "agent"}}, handler)
	now := time.Now()
	client.selector.Next(now)
	client.selector.Connected(now)
	return client
}

// The test runs random sequences of commits, lagging replicas, compactions and broken connections. The client's items must always
// be the state of the log at the client's offset, and must equal the source's items after a final complete connection.
func TestClient_convergesToSource(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("the client's items equal the source's", prop.ForAll(func(numbers []uint16) (string, error) {
		handler := newRecorder()
		client := newConnectedClient(handler)
		r := &replicas{}
		for _, number := range numbers {
			if err := r.runStep(number, client); err != nil {
				return "", err
			}
			if problem := r.difference(handler); problem != "" {
				return problem, nil
			}
		}
		r.replicatedLengths[0] = len(r.log)
		if err := r.read(0, 7, client); err != nil {
			return "", err
		}
		if handler.offsets[0] != lastIndex(r.log) {
			return fmt.Sprintf("the client is at offset %d after the final connection, want %d", handler.offsets[0], lastIndex(r.log)), nil
		}
		return r.difference(handler), nil
	}, gen.SliceOfN(60, gen.UInt16())))
	properties.TestingRun(t)
}

// difference describes how the client's items differ from the log up to the client's offset. It is empty if they are equal.
func (r *replicas) difference(handler *recorder) string {
	if len(handler.violations) > 0 {
		return handler.violations[0]
	}
	length := 0
	for length < len(r.log) && r.log[length].Index <= handler.offsets[0] {
		length++
	}
	want := itemsOf(r.log[:length])
	if len(want) == 0 && len(handler.items[0]) == 0 || reflect.DeepEqual(handler.items[0], want) {
		return ""
	}
	return fmt.Sprintf("at offset %d the client has %d items that differ from the %d of the log",
		handler.offsets[0], len(handler.items[0]), len(want))
}
