package catchupbench

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/peertransport"
)

// stateMachine is the configuration as a replica's state machine.
type stateMachine struct{ store *configuration.Store }

func (m stateMachine) Apply(entry consensus.Entry) any {
	outcome, _ := m.store.Apply(entry.Index, entry.Data)
	return outcome
}

func (m stateMachine) Snapshot() []byte { return m.store.Snapshot() }

func (m stateMachine) Restore(_ uint64, data []byte) error { return m.store.Restore(data) }

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
	connection, err := peertransport.Dial(ctx, address)
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
	self      consensus.Member
	directory string
	group     *replica.Group
	network   *peertransport.Transport
	ended     sync.WaitGroup
}

// startMember opens the replica in its directory and runs it. Address port 0 takes any.
func startMember(self consensus.Member, founders []consensus.Member, directory string, listener net.Listener, counted *traffic) (*member, error) {
	m := &member{self: self, directory: directory}
	network, err := peertransport.New(peertransport.Options{
		Self:    peertransport.Hello{Address: self.Address, Member: self.ID, Zone: "zone"},
		Handler: m,
		Dial:    counted.dial,
	})
	if err != nil {
		return nil, err
	}
	m.network = network
	m.group, err = replica.Open(replica.Options{
		Shard:            shards.ConfigurationShard,
		Directory:        directory,
		Self:             self,
		BootstrapMembers: founders,
		StateMachine:     stateMachine{store: configuration.NewStore()},
		Send: func(to consensus.Member, message consensus.Message) {
			network.Send(to, shards.ConfigurationShard, message)
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

// Connected implements peertransport's handler.
func (m *member) Connected(peertransport.Hello) {}

// Messages hands messages to the replica.
func (m *member) Messages(_ peertransport.Hello, batch []peertransport.GroupMessage) {
	for _, one := range batch {
		if one.Message.To == m.self.ID {
			m.group.Step(one.Message)
		}
	}
}

// Call is never called here.
func (m *member) Call(context.Context, peertransport.Hello, peertransport.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

// FeedConnection closes the connection: the benchmark has no readers.
func (m *member) FeedConnection(_ context.Context, connection net.Conn, _ feedtransport.Kind, _ []byte) {
	_ = connection.Close()
}

func (m *member) applied() uint64 { return m.group.Status().AppliedIndex }

// memberDirectory is where the disk of a member is.
func memberDirectory(parent string, id consensus.MemberID) string {
	return filepath.Join(parent, strconv.FormatUint(uint64(id), 10))
}

// wipe takes a member's disk.
func (m *member) wipe() error { return os.RemoveAll(m.directory) }
