package proxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/dataplane/dispatch"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/loadshare"
	"ospreybend/internal/util/bootconfig"
)

// loadSharer sends the load that this proxy has outstanding to the other proxies, and receives theirs, over UDP. A worker reports its
// load only in its responses: between them a proxy would not know what its peers have sent there.
type loadSharer struct {
	ownIP      string
	port       uint16
	socket     *net.UDPConn // nil if it could not be opened
	dispatcher *dispatch.Dispatcher
	changed    chan struct{} // of capacity 1: a change is pending
	done       chan struct{} // closed by close
	started    time.Time

	// owned by the goroutine that sends
	node         uint64 // a random ID of this process
	sequence     uint64
	rateLimiter  loadshare.RateLimiter
	sentNonEmpty bool // the last state sent was not empty, or one is pending
	peers        []netip.AddrPort
	peersView    *fleetview.View // of which peers were read

	// owned by the goroutine that receives
	sequenceFilter loadshare.SequenceFilter
}

// newLoadSharer opens the socket. Without one the proxy works by the load in workers' responses alone.
func newLoadSharer(loaded *bootconfig.Settings, log *zap.Logger) *loadSharer {
	s := &loadSharer{ownIP: loaded.IP, changed: make(chan struct{}, 1), done: make(chan struct{}), node: rand.Uint64(), started: time.Now()}
	address, err := netip.ParseAddrPort(loaded.LoadAddressOf(loaded.IP))
	if err != nil {
		return s
	}
	s.port = address.Port()
	s.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		log.Warn("load is not shared", zap.Error(err))
		s.socket = nil
	}
	return s
}

// start starts the goroutines that send and receive. They end with close.
func (s *loadSharer) start(dispatcher *dispatch.Dispatcher) {
	s.dispatcher = dispatcher
	if s.socket == nil {
		return
	}
	go s.send()
	go s.receive()
}

// notifyChanged notifies the sender that the outstanding load has changed. It never waits.
func (s *loadSharer) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// close ends both goroutines and closes the socket.
func (s *loadSharer) close() {
	close(s.done)
	if s.socket != nil {
		_ = s.socket.Close()
	}
}

// send sends the state after each change, as often as the rate limiter allows, and repeats it while it is not empty, since datagrams can be
// lost.
func (s *loadSharer) send() {
	repeat := time.NewTimer(loadshare.ResendInterval)
	defer repeat.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.changed:
		case <-repeat.C:
			if !s.sentNonEmpty {
				continue
			}
		}
		peers := s.peerAddresses()
		if wait := s.rateLimiter.Reserve(time.Since(s.started), len(peers)); wait > 0 {
			s.sentNonEmpty = true // the timer sends the delayed state
			repeat.Reset(wait)
			continue
		}
		s.broadcast(peers)
		if s.sentNonEmpty {
			repeat.Reset(loadshare.ResendInterval)
		}
	}
}

// broadcast sends the state to all peers.
func (s *loadSharer) broadcast(peers []netip.AddrPort) {
	outstanding := s.dispatcher.Outstanding()
	s.sentNonEmpty = len(outstanding) > 0
	s.sequence++
	datagram, err := loadshare.Encode(loadshare.Message{Node: s.node, Sequence: s.sequence, Entries: outstanding})
	if err != nil || len(datagram) > loadshare.MaxDatagramBytes {
		return
	}
	for _, peer := range peers {
		_, _ = s.socket.WriteToUDPAddrPort(datagram, peer)
	}
}

// peerAddresses returns the addresses of the other proxies by the view in force.
func (s *loadSharer) peerAddresses() []netip.AddrPort {
	view := s.dispatcher.View()
	if view == nil || view == s.peersView {
		return s.peers
	}
	s.peersView, s.peers = view, nil
	for _, node := range view.EdgeNodes {
		host, _, err := net.SplitHostPort(node.Address)
		if err != nil {
			host = node.Address
		}
		address, err := netip.ParseAddr(host)
		if err != nil || host == s.ownIP {
			continue
		}
		s.peers = append(s.peers, netip.AddrPortFrom(address, s.port))
	}
	return s.peers
}

// receive passes the load of other proxies to the dispatcher.
func (s *loadSharer) receive() {
	buffer := make([]byte, loadshare.MaxDatagramBytes)
	for {
		length, _, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-s.done:
				return
			default:
				continue
			}
		}
		message, err := loadshare.Decode(buffer[:length])
		if err == nil && s.sequenceFilter.Accept(message) {
			s.dispatcher.SetPeerLoad(message.Node, message.Entries)
		}
	}
}
