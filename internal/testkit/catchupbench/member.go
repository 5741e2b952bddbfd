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

// stateMachine adapts the configuration store to the state machine of a replica.
type stateMachine struct{ store *configuration.Store }

func (m stateMachine) Apply(entry consensus.Entry) any {
	outcome, _ := m.store.Apply(entry.Index, entry.Data)
	return outcome
}

func (m stateMachine) Snapshot() []byte { return m.store.Snapshot() }

func (m stateMachine) Restore(_ uint64, data []byte) error { return m.store.Restore(data) }

// traffic counts the bytes sent to each address.
type traffic struct {
	mutex sync.Mutex
	sent  map[string]*atomic.Int64
}

func newTraffic() *traffic { return &traffic{sent: make(map[string]*atomic.Int64)} }

// sentTo returns the counter of the bytes sent to the address.
func (t *traffic) sentTo(address string) *atomic.Int64 {
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
	return countedConnection{Conn: connection, sent: t.sentTo(address)}, nil
}

// countedConnection counts the bytes written to a connection.
type countedConnection struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(int64(count))
	return count, err
}

// member is a group member: a replica, its directory and its transport.
type member struct {
	self      consensus.Member
	directory string
	group     *replica.Group
	transport *peertransport.Transport
	tasks     sync.WaitGroup
}

// startMember opens the replica in the directory, creating it if needed, and runs it until stop is called. founders are the initial
// members of a new group, or nil for a member that returns to or joins an existing one.
func startMember(self consensus.Member, founders []consensus.Member, directory string, listener net.Listener, sent *traffic) (*member, error) {
	m := &member{self: self, directory: directory}
	transport, err := peertransport.New(peertransport.Options{
		Self:    peertransport.Hello{Address: self.Address, Member: self.ID, Zone: "zone"},
		Handler: m,
		Dial:    sent.dial,
	})
	if err != nil {
		return nil, err
	}
	m.transport = transport
	m.group, err = replica.Open(replica.Options{
		Shard:            shards.ConfigurationShard,
		Directory:        directory,
		Self:             self,
		BootstrapMembers: founders,
		StateMachine:     stateMachine{store: configuration.NewStore()},
		Send: func(to consensus.Member, message consensus.Message) {
			transport.Send(to, shards.ConfigurationShard, message)
		},
	})
	if err != nil {
		transport.Close()
		return nil, err
	}
	m.tasks.Go(func() { _ = m.group.Run(context.Background()) })
	m.tasks.Go(func() { _ = transport.Serve(listener) })
	return m, nil
}

// stop closes the replica and its transport and waits until both have ended.
func (m *member) stop() error {
	err := m.group.Close()
	m.transport.Close()
	m.tasks.Wait()
	return err
}

// Connected does nothing; it completes the peertransport handler.
func (m *member) Connected(peertransport.Hello) {}

// Messages passes the messages addressed to this member to its replica.
func (m *member) Messages(_ peertransport.Hello, batch []peertransport.GroupMessage) {
	for _, received := range batch {
		if received.Message.To == m.self.ID {
			m.group.Step(received.Message)
		}
	}
}

// Call is never used by the benchmark.
func (m *member) Call(context.Context, peertransport.Hello, peertransport.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

// FeedConnection closes the connection, as the benchmark has no feed readers.
func (m *member) FeedConnection(_ context.Context, connection net.Conn, _ feedtransport.Kind, _ []byte) {
	_ = connection.Close()
}

func (m *member) applied() uint64 { return m.group.Status().AppliedIndex }

// memberDirectory returns the directory of the member with the given ID.
func memberDirectory(parent string, id consensus.MemberID) string {
	return filepath.Join(parent, strconv.FormatUint(uint64(id), 10))
}

// deleteDisk deletes the directory of the member.
func (m *member) deleteDisk() error { return os.RemoveAll(m.directory) }
