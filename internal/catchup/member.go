package catchup

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"

	"ospreybend/coord/agreement"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/configuration"
	"ospreybend/internal/feedlink"
	"ospreybend/internal/peerlink"
)

// machine is the configuration as a replica's state machine.
type machine struct{ store *configuration.Store }

func (m machine) Apply(entry agreement.Entry) any {
	outcome, _ := m.store.Apply(entry.Index, entry.Data)
	return outcome
}

func (m machine) Snapshot() []byte { return m.store.Snapshot() }

func (m machine) Restore(_ uint64, data []byte) error { return m.store.Restore(data) }

// traffic counts the bytes that are sent to each address.
type traffic struct {
	mutex sync.Mutex
	sent  map[string]*atomic.Int64
}

func newTraffic() *traffic { return &traffic{sent: make(map[string]*atomic.Int64)} }

func (t *traffic) to(address string) *atomic.Int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.sent[address] == nil {
		t.sent[address] = &atomic.Int64{}
	}
	return t.sent[address]
}

func (t *traffic) dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := peerlink.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countedConnection{Conn: connection, sent: t.to(address)}, nil
}

// countedConnection counts what is written.
type countedConnection struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(int64(count))
	return count, err
}

// member is one process: a replica, its disk and its end of the network.
type member struct {
	self      agreement.Member
	directory string
	group     *replica.Group
	network   *peerlink.Network
	ended     sync.WaitGroup
}

// startMember opens the replica in its directory and runs it. Address port 0 takes any.
func startMember(self agreement.Member, founders []agreement.Member, directory string, listener net.Listener, counted *traffic) (*member, error) {
	m := &member{self: self, directory: directory}
	network, err := peerlink.New(peerlink.Options{
		Self:    peerlink.Hello{Address: self.Address, Member: self.ID, Zone: "zone"},
		Handler: m,
		Dial:    counted.dial,
	})
	if err != nil {
		return nil, err
	}
	m.network = network
	m.group, err = replica.Open(replica.Options{
		Shard:     shards.Configuration,
		Directory: directory,
		Self:      self,
		Founders:  founders,
		Machine:   machine{store: configuration.NewStore()},
		Send: func(to agreement.Member, message agreement.Message) {
			network.Send(to, shards.Configuration, message)
		},
	})
	if err != nil {
		network.Close()
		return nil, err
	}
	m.ended.Go(func() { _ = m.group.Run(context.Background()) })
	m.ended.Go(func() { _ = network.Serve(listener) })
	return m, nil
}

// stop ends the process.
func (m *member) stop() error {
	err := m.group.Close()
	m.network.Close()
	m.ended.Wait()
	return err
}

// Connected is told of connections.
func (m *member) Connected(peerlink.Hello) {}

// Messages hands messages to the replica.
func (m *member) Messages(_ peerlink.Hello, batch []peerlink.GroupMessage) {
	for _, one := range batch {
		if one.Message.To == m.self.ID {
			m.group.Step(one.Message)
		}
	}
}

// Call answers nothing: nobody calls.
func (m *member) Call(context.Context, peerlink.Hello, peerlink.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

// Reader closes the connection: nobody reads.
func (m *member) Reader(_ context.Context, connection net.Conn, _ feedlink.Kind, _ []byte) {
	_ = connection.Close()
}

func (m *member) applied() uint64 { return m.group.Status().Applied }

// memberDirectory is where the disk of a member is.
func memberDirectory(parent string, id agreement.MemberID) string {
	return filepath.Join(parent, strconv.FormatUint(uint64(id), 10))
}

// wipe takes a member's disk.
func (m *member) wipe() error { return os.RemoveAll(m.directory) }
