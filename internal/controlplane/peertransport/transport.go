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
	// FeedConnection takes over a connection that began with a frame of the feed.
	FeedConnection(ctx context.Context, connection net.Conn, kind feedtransport.Kind, body []byte)
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

// Transport is a keeper's end of all its connections to other keepers.
type Transport struct {
	options Options
	hello   frame
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex        sync.Mutex
	outbounds    map[string]*outbound         // by peer address
	accepted     map[string]int               // by peer address: how many connections the peer has opened
	members      map[consensus.MemberID]Hello // those who have connected
	lastReceived map[string]time.Time         // by peer address: when a frame last came
}

// New returns a network without connections. It ends with Close.
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
		outbounds:    make(map[string]*outbound),
		accepted:     make(map[string]int),
		members:      make(map[consensus.MemberID]Hello),
		lastReceived: make(map[string]time.Time),
	}, nil
}

// Close ends all connections and waits for the goroutines that served them.
func (n *Transport) Close() {
	n.cancel()
	n.running.Wait()
}

// Send queues an agreement message for a member. It does not block, and the message may be lost.
// Where the member's address is empty, that of the connection which its ID opened is taken.
func (n *Transport) Send(to consensus.Member, shard shards.ID, message consensus.Message) {
	address := to.Address
	if address == "" {
		address = n.addressByMember(to.ID)
	}
	if address == "" || address == n.options.Self.Address {
		return
	}
	if link := n.outbound(address); link != nil {
		link.send(shard, message)
	}
}

// Call asks a peer and returns its reply. Errors: ErrNotSent, ErrOutcomeUnknown and RemoteError.
func (n *Transport) Call(ctx context.Context, address string, kind CallKind, body []byte) ([]byte, error) {
	link := n.outbound(address)
	if link == nil {
		return nil, ErrNotSent
	}
	return link.call(ctx, kind, body)
}

// outbound returns the link to an address and makes it if there is none, or returns nil after Close.
func (n *Transport) outbound(address string) *outbound {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if found := n.outbounds[address]; found != nil {
		return found
	}
	if n.ctx.Err() != nil {
		return nil
	}
	made := newOutbound(n, address)
	n.outbounds[address] = made
	n.running.Add(1)
	go made.runLoop()
	return made
}

func (n *Transport) addressByMember(id consensus.MemberID) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.members[id].Address
}

// noteReceived records that a frame of a peer came.
func (n *Transport) noteReceived(address string) {
	now := n.options.Now()
	n.mutex.Lock()
	n.lastReceived[address] = now
	n.mutex.Unlock()
}

// LastReceived returns when a frame last came from a peer; zero: never.
func (n *Transport) LastReceived(address string) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lastReceived[address]
}

// PeerStatus describes the connections with one peer.
type PeerStatus struct {
	Address       string
	Connected     bool // the connection that this keeper dials
	Accepted      bool // the connection that the peer dials
	Queued        int  // messages that wait
	Dropped       uint64
	SinceReceived time.Duration // -1: never
}

// Peers describes all peers that were sent to or heard.
func (n *Transport) Peers() []PeerStatus {
	now := n.options.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	peers := make([]PeerStatus, 0, len(n.outbounds))
	for address, link := range n.outbounds {
		status := link.status()
		status.Accepted = n.accepted[address] > 0
		status.SinceReceived = -1
		if heard, ok := n.lastReceived[address]; ok {
			status.SinceReceived = now.Sub(heard)
		}
		peers = append(peers, status)
	}
	return peers
}

// jitter draws from half of a duration up to the whole.
func (n *Transport) jitter(maximum time.Duration) time.Duration {
	half := maximum / 2
	return half + time.Duration(n.options.Random()%uint64(half+1))
}
