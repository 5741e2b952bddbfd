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

// capture is a connection that records what is written.
type capture struct {
	net.Conn
	written bytes.Buffer
}

func (c *capture) SetWriteDeadline(time.Time) error { return nil }

func (c *capture) Write(data []byte) (int, error) { return c.written.Write(data) }

// replicas is a log with servers that have replicated it up to different indexes.
type replicas struct {
	log     []feed.Change
	lengths [propertyReplicas]int
	floors  [propertyReplicas]uint64
}

// step commits, replicates, compacts or lets the client read from a replica, as number says.
func (r *replicas) step(number uint16, client *Client) error {
	place := int(number>>2) % propertyReplicas
	detail := int(number >> 4)
	switch number & 3 {
	case 0:
		index := lastIndex(r.log) + 1 + uint64(detail%3)
		r.log = append(r.log, r.drawChange(index, detail))
	case 1:
		r.lengths[place] = min(len(r.log), r.lengths[place]+1+detail%4)
	case 2:
		r.floors[place] = lastIndex(r.log[:r.lengths[place]])
	default:
		return r.read(place, detail, client)
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

// read connects the client to a replica; the connection breaks after a part of what is sent.
func (r *replicas) read(place, detail int, client *Client) error {
	source := newScriptedSource(0)
	source.logs[0] = r.log[:r.lengths[place]]
	source.floors[0] = r.floors[place]
	connection := &capture{}
	offsets := client.receiver.reset()
	session := NewSession(connection, Hello{Offsets: offsets}, source, SessionOptions{})
	if err := session.sendUpdates(); err != nil {
		return err
	}
	const shares = 8
	sent := connection.written.Bytes()
	sent = sent[:len(sent)*(1+detail%shares)/shares]
	return receiveAll(client, sent)
}

func receiveAll(client *Client, sent []byte) error {
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

func propertyClient(handler Handler) *Client {
	client := NewClient(ClientOptions{Selector: SelectorOptions{FixedServer: "agent"}}, handler)
	now := time.Now()
	client.selector.Next(now)
	client.selector.Connected(now)
	return client
}

// TestClient_convergesToSource draws sequences of commits, lagging replicas, compactions and broken
// connections: the items of the client are always the state at its offset, and after a last complete
// connection those of the source.
func TestClient_convergesToSource(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("the client's items equal the source's", prop.ForAll(func(numbers []uint16) (string, error) {
		handler := newRecorder()
		client := propertyClient(handler)
		r := &replicas{}
		for _, number := range numbers {
			if err := r.step(number, client); err != nil {
				return "", err
			}
			if problem := r.compare(handler); problem != "" {
				return problem, nil
			}
		}
		r.lengths[0] = len(r.log)
		if err := r.read(0, 7, client); err != nil {
			return "", err
		}
		if handler.index[0] != lastIndex(r.log) {
			return fmt.Sprintf("at %d, want %d", handler.index[0], lastIndex(r.log)), nil
		}
		return r.compare(handler), nil
	}, gen.SliceOfN(60, gen.UInt16())))
	properties.TestingRun(t)
}

// compare describes how the items of the client differ from the log up to its offset; empty: not at all.
func (r *replicas) compare(handler *recorder) string {
	if len(handler.faults) > 0 {
		return handler.faults[0]
	}
	length := 0
	for length < len(r.log) && r.log[length].Index <= handler.index[0] {
		length++
	}
	want := itemsOf(r.log[:length])
	if len(want) == 0 && len(handler.items[0]) == 0 || reflect.DeepEqual(handler.items[0], want) {
		return ""
	}
	return fmt.Sprintf("items at %d differ", handler.index[0])
}
