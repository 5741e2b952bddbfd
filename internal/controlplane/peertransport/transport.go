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

// Handler takes what peers send. Its methods may be called by several goroutines.
type Handler interface {
	// Connected is told of each connection that a peer has opened.
	Connected(peer Hello)
	// Messages takes a batch of agreement messages. It must not block.
	Messages(peer Hello, batch []GroupMessage)
	// Call carries out a call; ctx ends when the caller no longer waits. An error reaches the
	// caller as a RemoteError.
	Call(ctx context.Context, peer Hello, kind CallKind, body []byte) ([]byte, error)
	// Reader takes over a connection that began with a frame of the feed.
	Reader(ctx context.Context, connection net.Conn, kind feedtransport.Kind, body []byte)
}

// Options sets up a Network.
type Options struct {
	Self    Hello
	Handler Handler
	Dial    func(ctx context.Context, address string) (net.Conn, error) // nil: Dial
	Logger  *zap.Logger                                                 // nil: none
	Now     func() time.Time                                            // nil: time.Now; called with no mutex held
	Random  func() uint64                                               // nil: rand.Uint64
}

// Network is a keeper's end of all its connections to other keepers.
type Network struct {
	options Options
	hello   frame
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex    sync.Mutex
	links    map[string]*link             // by peer address
	accepted map[string]int               // by peer address: how many connections the peer has opened
	members  map[consensus.MemberID]Hello // those who have connected
	heard    map[string]time.Time         // by peer address: when a frame last came
}

// New returns a network without connections. It ends with Close.
func New(options Options) (*Network, error) {
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
	return &Network{
		options: options, hello: hello, ctx: ctx, cancel: cancel,
		links:    make(map[string]*link),
		accepted: make(map[string]int),
		members:  make(map[consensus.MemberID]Hello),
		heard:    make(map[string]time.Time),
	}, nil
}

// Close ends all connections and waits for the goroutines that served them.
func (n *Network) Close() {
	n.cancel()
	n.running.Wait()
}

// Send queues an agreement message for a member. It does not block, and the message may be lost.
// Where the member's address is empty, that of the connection which its ID opened is taken.
func (n *Network) Send(to consensus.Member, shard shards.ID, message consensus.Message) {
	address := to.Address
	if address == "" {
		address = n.addressOf(to.ID)
	}
	if address == "" || address == n.options.Self.Address {
		return
	}
	if link := n.link(address); link != nil {
		link.send(shard, message)
	}
}

// Call asks a peer and returns its reply. Errors: ErrNotSent, ErrOutcomeUnknown and RemoteError.
func (n *Network) Call(ctx context.Context, address string, kind CallKind, body []byte) ([]byte, error) {
	link := n.link(address)
	if link == nil {
		return nil, ErrNotSent
	}
	return link.call(ctx, kind, body)
}

// link returns the link to an address and makes it if there is none, or returns nil after Close.
func (n *Network) link(address string) *link {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if found := n.links[address]; found != nil {
		return found
	}
	if n.ctx.Err() != nil {
		return nil
	}
	made := newLink(n, address)
	n.links[address] = made
	n.running.Add(1)
	go made.run()
	return made
}

func (n *Network) addressOf(id consensus.MemberID) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.members[id].Address
}

// noteHeard records that a frame of a peer came.
func (n *Network) noteHeard(address string) {
	now := n.options.Now()
	n.mutex.Lock()
	n.heard[address] = now
	n.mutex.Unlock()
}

// LastHeard returns when a frame last came from a peer; zero: never.
func (n *Network) LastHeard(address string) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.heard[address]
}

// PeerStatus describes the connections with one peer.
type PeerStatus struct {
	Address   string
	Connected bool // the connection that this keeper dials
	Accepted  bool // the connection that the peer dials
	Queued    int  // messages that wait
	Dropped   uint64
	HeardAge  time.Duration // -1: never
}

// Peers describes all peers that were sent to or heard.
func (n *Network) Peers() []PeerStatus {
	now := n.options.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	peers := make([]PeerStatus, 0, len(n.links))
	for address, link := range n.links {
		status := link.status()
		status.Accepted = n.accepted[address] > 0
		status.HeardAge = -1
		if heard, ok := n.heard[address]; ok {
			status.HeardAge = now.Sub(heard)
		}
		peers = append(peers, status)
	}
	return peers
}

// jitter draws from half of a duration up to the whole.
func (n *Network) jitter(whole time.Duration) time.Duration {
	half := whole / 2
	return half + time.Duration(n.options.Random()%uint64(half+1))
}
