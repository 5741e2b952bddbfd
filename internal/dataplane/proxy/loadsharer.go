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

// loadSharer tells the other proxies what this one has under way, and hears what they have.
type loadSharer struct {
	ownIP        string // this machine's address
	port         uint16
	socket       *net.UDPConn
	dispatcher   *dispatch.Dispatcher
	changed      chan struct{} // holds one
	done         chan struct{}
	node         uint64
	sequence     uint64
	pace         loadshare.RateLimiter
	order        loadshare.SequenceFilter
	started      time.Time
	sentNonEmpty bool // the last state sent was not empty
	peers        []netip.AddrPort
	peersView    *fleetview.View
}

// newLoadSharer opens the socket. Without one the proxy works by what answers tell alone.
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

// start begins to send and to hear.
func (s *loadSharer) start(dispatcher *dispatch.Dispatcher) {
	s.dispatcher = dispatcher
	if s.socket == nil {
		return
	}
	go s.send()
	go s.receive()
}

// notifyChanged says that what is under way has changed.
func (s *loadSharer) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// close ends both goroutines.
func (s *loadSharer) close() {
	close(s.done)
	if s.socket != nil {
		_ = s.socket.Close()
	}
}

// send sends the state when it has changed, as often as the pace allows, and now and then while it is not empty.
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
		if wait := s.pace.Reserve(time.Since(s.started), len(peers)); wait > 0 {
			s.sentNonEmpty = true // what is held back is sent then
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

// peerAddresses are the addresses of the other proxies by the view in force.
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

// receive takes in what other proxies tell.
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
		if err == nil && s.order.Accept(message) {
			s.dispatcher.SetPeerLoad(message.Node, message.Entries)
		}
	}
}
