package peertransport

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// Handler handles what peers send. Its methods may be called concurrently.
type Handler interface {
	// Connected is called once for each connection that a peer has opened, before its messages and calls.
	Connected(peer Hello)
	// Messages handles a batch of consensus messages. It must not block.
	Messages(peer Hello, batch []GroupMessage)
	// Call executes a call and returns the body of the reply. ctx ends at the caller's deadline, when the connection ends and
	// when the transport closes. A returned error reaches the caller as a RemoteError.
	Call(ctx context.Context, peer Hello, kind CallKind, body []byte) ([]byte, error)
	// FeedConnection takes ownership of a connection whose first frame, of that kind and body, belongs to package feedtransport.
	FeedConnection(ctx context.Context, connection net.Conn, kind feedtransport.Kind, body []byte)
}

// Options configures a Transport.
type Options struct {
	Self    Hello // identifies this server to its peers
	Handler Handler
	Dial    func(ctx context.Context, address string) (net.Conn, error) // nil: Dial
	Logger  *zap.Logger                                                 // nil: no logging
	Now     func() time.Time                                            // nil: time.Now; called without a lock held
	Random  func() uint64                                               // nil: rand.Uint64
}

// Transport manages a server's connections with its peers. It is safe for concurrent use.
type Transport struct {
	options    Options
	hello      frame           // encoded options.Self
	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // those of connections and calls

	mutex         sync.Mutex                   // guards the maps below
	outboundPeers map[string]*outboundPeer     // by peer address
	inboundCounts map[string]int               // by peer address: number of open connections that the peer has dialed
	peersByMember map[consensus.MemberID]Hello // by member ID: the peer that last connected with it
	lastReceived  map[string]time.Time         // by peer address: when a frame was last received
}

// New returns a transport without connections. The caller must close it. New fails if options.Self cannot be encoded.
func New(options Options) (*Transport, error) {
	if options.Dial == nil {
		options.Dial = Dial
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	hello, err := encodeHello(options.Self)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		options: options, hello: hello, ctx: ctx, cancel: cancel,
		outboundPeers: make(map[string]*outboundPeer),
		inboundCounts: make(map[string]int),
		peersByMember: make(map[consensus.MemberID]Hello),
		lastReceived:  make(map[string]time.Time),
	}, nil
}

// Close closes all connections and waits until their goroutines and the running calls have ended.
func (t *Transport) Close() {
	t.cancel()
	t.goroutines.Wait()
}

// Send queues a consensus message for a member. It does not block, and the message may be lost. If the member's address is
// empty, the message goes to the address of the peer that last connected with the member's ID; without such a peer, the message
// is dropped.
func (t *Transport) Send(to consensus.Member, shard shards.ID, message consensus.Message) {
	address := to.Address
	if address == "" {
		address = t.addressByMember(to.ID)
	}
	if address == "" || address == t.options.Self.Address {
		return
	}
	if peer := t.outboundPeer(address); peer != nil {
		peer.send(shard, message)
	}
}

// Call sends a call to a peer and returns the body of the reply. The error is or wraps ErrNotSent, ErrOutcomeUnknown or a
// RemoteError.
func (t *Transport) Call(ctx context.Context, address string, kind CallKind, body []byte) ([]byte, error) {
	peer := t.outboundPeer(address)
	if peer == nil {
		return nil, ErrNotSent
	}
	return peer.call(ctx, kind, body)
}

// outboundPeer returns the sender for an address, and creates it if there is none. After Close, it returns nil
// instead of creating one.
func (t *Transport) outboundPeer(address string) *outboundPeer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if existing := t.outboundPeers[address]; existing != nil {
		return existing
	}
	if t.ctx.Err() != nil {
		return nil
	}
	created := newOutboundPeer(t, address)
	t.outboundPeers[address] = created
	t.goroutines.Add(1)
	go created.runLoop()
	return created
}

// addressByMember returns the address of the peer that last connected with a member ID, or an empty string if there is none.
func (t *Transport) addressByMember(id consensus.MemberID) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.peersByMember[id].Address
}

// recordReceived records that a frame of a peer was received now.
func (t *Transport) recordReceived(address string) {
	now := t.options.Now()
	t.mutex.Lock()
	t.lastReceived[address] = now
	t.mutex.Unlock()
}

// PeerStatus is the status of the connections with one peer.
type PeerStatus struct {
	Address       string
	Connected     bool          // this server's connection to the peer is open
	Accepted      bool          // a connection that the peer has opened is open
	Queued        int           // number of queued messages
	Dropped       uint64        // number of messages dropped since the start
	SinceReceived time.Duration // time since a frame was last received; -1: never
}

// Peers returns the status of each peer to which a message or call was sent, in no particular order.
func (t *Transport) Peers() []PeerStatus {
	now := t.options.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peers := make([]PeerStatus, 0, len(t.outboundPeers))
	for address, peer := range t.outboundPeers {
		status := peer.status()
		status.Accepted = t.inboundCounts[address] > 0
		status.SinceReceived = -1
		if received, ok := t.lastReceived[address]; ok {
			status.SinceReceived = now.Sub(received)
		}
		peers = append(peers, status)
	}
	return peers
}

// jitter returns a random duration between half of maximum and maximum.
func (t *Transport) jitter(maximum time.Duration) time.Duration {
	half := maximum / 2
	return half + time.Duration(t.options.Random()%uint64(half+1))
}

// sleep waits for a delay. It returns false if the transport is closed during the wait.
func (t *Transport) sleep(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}
