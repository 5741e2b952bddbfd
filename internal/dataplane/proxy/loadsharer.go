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

// loadSharer tells the other proxies over UDP which calls this proxy has in flight at each worker, and receives the same from them. A
// worker reports its load only in its responses; without this exchange a proxy would not know what other proxies have sent to the
// worker since its last response.
type loadSharer struct {
	ownIP      string
	port       uint16
	socket     *net.UDPConn // nil if it could not be opened
	dispatcher *dispatch.Dispatcher
	changed    chan struct{} // has capacity 1; a value means that a change has not been sent yet
	done       chan struct{} // closed by close
	startedAt  time.Time

	// used only by the goroutine of sendLoop
	node         uint64 // random ID of this process
	sequence     uint64
	rateLimiter  loadshare.RateLimiter
	sentNonEmpty bool // the last state sent was not empty, or a delayed one is still to be sent
	peers        []netip.AddrPort
	peersView    *fleetview.View // view that peers were taken from

	// used only by the goroutine of receiveLoop
	sequenceFilter loadshare.SequenceFilter
}

// newLoadSharer opens the socket. If it cannot be opened, the proxy knows only the load that workers report in their responses.
func newLoadSharer(settings *bootconfig.Settings, log *zap.Logger) *loadSharer {
	s := &loadSharer{ownIP: settings.IP, changed: make(chan struct{}, 1), done: make(chan struct{}), node: rand.Uint64(), startedAt: time.Now()}
	address, err := netip.ParseAddrPort(settings.LoadReportAddressOf(settings.IP))
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

// start starts the goroutines that send and receive. close ends them.
func (s *loadSharer) start(dispatcher *dispatch.Dispatcher) {
	s.dispatcher = dispatcher
	if s.socket == nil {
		return
	}
	go s.sendLoop()
	go s.receiveLoop()
}

// notifyChanged notifies the sender that the calls in flight have changed. It never blocks.
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

// sendLoop sends the state after each change, as often as the rate limiter allows, and repeats a non-empty state, since datagrams can
// be lost.
func (s *loadSharer) sendLoop() {
	resendTimer := time.NewTimer(loadshare.ResendInterval)
	defer resendTimer.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.changed:
		case <-resendTimer.C:
			if !s.sentNonEmpty {
				continue
			}
		}
		peers := s.peerAddresses()
		if delay := s.rateLimiter.Reserve(time.Since(s.startedAt), len(peers)); delay > 0 {
			s.sentNonEmpty = true // makes the timer send the delayed state
			resendTimer.Reset(delay)
			continue
		}
		s.broadcast(peers)
		if s.sentNonEmpty {
			resendTimer.Reset(loadshare.ResendInterval)
		}
	}
}

// broadcast sends the calls in flight to all peers.
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

// peerAddresses returns the addresses of the other proxies in the view in force.
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

// receiveLoop passes the messages of other proxies to the dispatcher.
func (s *loadSharer) receiveLoop() {
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
