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

// sharer tells the other proxies what this one has under way, and hears what they have.
type sharer struct {
	own        string // this machine's address
	port       uint16
	socket     *net.UDPConn
	dispatcher *dispatch.Dispatcher
	changed    chan struct{} // holds one
	done       chan struct{}
	node       uint64
	sequence   uint64
	pace       loadshare.Pace
	order      loadshare.Order
	started    time.Time
	told       bool // the last state sent was not empty
	peers      []netip.AddrPort
	peersOf    *fleetview.View
}

// newSharer opens the socket. Without one the proxy works by what answers tell alone.
func newSharer(loaded *bootconfig.Settings, log *zap.Logger) *sharer {
	s := &sharer{own: loaded.IP, changed: make(chan struct{}, 1), done: make(chan struct{}), node: rand.Uint64(), started: time.Now()}
	at, err := netip.ParseAddrPort(loaded.LoadAddressOf(loaded.IP))
	if err != nil {
		return s
	}
	s.port = at.Port()
	s.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		log.Warn("load is not shared", zap.Error(err))
		s.socket = nil
	}
	return s
}

// start begins to send and to hear.
func (s *sharer) start(dispatcher *dispatch.Dispatcher) {
	s.dispatcher = dispatcher
	if s.socket == nil {
		return
	}
	go s.send()
	go s.hear()
}

// note says that what is under way has changed.
func (s *sharer) note() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// close ends both goroutines.
func (s *sharer) close() {
	close(s.done)
	if s.socket != nil {
		_ = s.socket.Close()
	}
}

// send sends the state when it has changed, as often as the pace allows, and now and then while it is not empty.
func (s *sharer) send() {
	repeat := time.NewTimer(loadshare.Repeat)
	defer repeat.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.changed:
		case <-repeat.C:
			if !s.told {
				continue
			}
		}
		peers := s.others()
		if wait := s.pace.Wait(time.Since(s.started), len(peers)); wait > 0 {
			s.told = true // what is held back is sent then
			repeat.Reset(wait)
			continue
		}
		s.tell(peers)
		if s.told {
			repeat.Reset(loadshare.Repeat)
		}
	}
}

// tell sends the state to all peers.
func (s *sharer) tell(peers []netip.AddrPort) {
	list := s.dispatcher.Outstanding()
	s.told = len(list) > 0
	s.sequence++
	datagram, err := loadshare.Encode(loadshare.Message{Node: s.node, Sequence: s.sequence, List: list})
	if err != nil || len(datagram) > loadshare.MostBytes {
		return
	}
	for _, peer := range peers {
		_, _ = s.socket.WriteToUDPAddrPort(datagram, peer)
	}
}

// others are the addresses of the other proxies by the view in force.
func (s *sharer) others() []netip.AddrPort {
	view := s.dispatcher.View()
	if view == nil || view == s.peersOf {
		return s.peers
	}
	s.peersOf, s.peers = view, nil
	for _, node := range view.NodeList {
		host, _, err := net.SplitHostPort(node.Address)
		if err != nil {
			host = node.Address
		}
		address, err := netip.ParseAddr(host)
		if err != nil || host == s.own {
			continue
		}
		s.peers = append(s.peers, netip.AddrPortFrom(address, s.port))
	}
	return s.peers
}

// hear takes in what other proxies tell.
func (s *sharer) hear() {
	buffer := make([]byte, loadshare.MostBytes)
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
		if err == nil && s.order.Newer(message) {
			s.dispatcher.Peer(message.Node, message.List)
		}
	}
}
