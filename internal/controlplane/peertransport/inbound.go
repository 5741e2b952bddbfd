package peertransport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

const (
	// lastBudget is the longest time that a call may take.
	lastBudget = 10 * time.Second
	// maxRunningCalls bounds the calls of one peer that are worked on at a time.
	maxRunningCalls = 256
)

// Reasons to carry out no part of a call.
var (
	errTooManyCalls = errors.New("peerlink: too many calls of this peer are under way")
	errNoTime       = errors.New("peerlink: the call has no time left")
)

// inbound is a connection that a peer has opened.
type inbound struct {
	network    *Network
	connection net.Conn
	peer       Hello
	running    chan struct{} // one token for each call that is worked on

	mutex  sync.Mutex // of writer
	writer frameWriter
}

// Serve accepts connections until the listener or the network is closed, and closes the listener.
func (n *Network) Serve(listener net.Listener) error {
	stop := context.AfterFunc(n.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		connection, err := listener.Accept()
		if n.ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			n.pauseAccept()
			continue
		}
		n.running.Add(1)
		go func() {
			defer n.running.Done()
			n.identify(connection)
		}()
	}
}

// pauseAccept waits a little after a failed accept, as when descriptors have run out.
func (n *Network) pauseAccept() {
	timer := time.NewTimer(firstPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.ctx.Done():
	}
}

// identify reads the first frame and hands the connection to the protocol that it names.
func (n *Network) identify(connection net.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = connection.Close() })
	defer stop()
	kind, body, err := feedtransport.ReadFirstFrame(connection, firstFrameTime)
	if err != nil {
		n.options.Logger.Debug("connection not identified", zap.Error(err))
		_ = connection.Close()
		return
	}
	if kind < feedtransport.FirstPeerKind {
		n.options.Handler.Reader(n.ctx, connection, kind, body)
		return
	}
	defer func() { _ = connection.Close() }()
	if kind != kindHello {
		return
	}
	peer, err := decodeHello(body)
	if err != nil || peer.Address == "" {
		return
	}
	n.serveInbound(connection, peer)
}

func (n *Network) serveInbound(connection net.Conn, peer Hello) {
	in := &inbound{
		network: n, connection: connection, peer: peer,
		running: make(chan struct{}, maxRunningCalls), writer: frameWriter{connection: connection},
	}
	n.register(in)
	defer n.unregister(in)
	n.options.Handler.Connected(peer)
	in.read()
}

// register notes a connection of a peer. It leaves the peer's other ones alone, since the one that is
// accepted last need not be the newest: it may have waited while this process stood still. A
// connection that its peer has given up ends by itself.
func (n *Network) register(in *inbound) {
	now := n.options.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.accepted[in.peer.Address]++
	n.members[in.peer.Member] = in.peer
	n.heard[in.peer.Address] = now
}

func (n *Network) unregister(in *inbound) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.accepted[in.peer.Address]--
	if n.accepted[in.peer.Address] == 0 {
		delete(n.accepted, in.peer.Address)
	}
}

// read takes frames until the connection ends.
func (in *inbound) read() {
	ctx, cancel := context.WithCancel(in.network.ctx)
	defer cancel()
	reader := bufio.NewReaderSize(in.connection, readBufferBytes)
	for {
		kind, body, err := feedtransport.ReadFrame(reader)
		if err != nil {
			in.network.options.Logger.Debug("peer's connection ended", zap.String("peer", in.peer.Address), zap.Error(err))
			return
		}
		in.network.noteHeard(in.peer.Address)
		if !in.take(ctx, kind, body) {
			return
		}
	}
}

// take handles one frame; false ends the connection.
func (in *inbound) take(ctx context.Context, kind feedtransport.Kind, body []byte) bool {
	switch kind {
	case kindBatch:
		batch, err := decodeBatch(body)
		if err != nil {
			return false
		}
		in.network.options.Handler.Messages(in.peer, known(batch))
		return true
	case kindCall:
		var call wireCall
		if err := decode(kindCall, callSchema, body, &call); err != nil {
			return false
		}
		in.start(ctx, call)
		return true
	}
	return false
}

// known leaves out messages of shards that this program does not have.
func known(batch []GroupMessage) []GroupMessage {
	kept := batch[:0]
	for _, message := range batch {
		if message.Shard < shards.Count {
			kept = append(kept, message)
		}
	}
	return kept
}

// start works on a call in a goroutine of its own. It refuses one that has no time left, and all while
// too many are under way.
func (in *inbound) start(ctx context.Context, call wireCall) {
	if call.BudgetMs <= 0 {
		in.reply(call.ID, nil, errNoTime)
		return
	}
	select {
	case in.running <- struct{}{}:
	default:
		in.reply(call.ID, nil, errTooManyCalls)
		return
	}
	in.network.running.Add(1)
	go func() {
		defer in.network.running.Done()
		defer func() { <-in.running }()
		budget := time.Duration(call.BudgetMs) * time.Millisecond
		ctx, cancel := context.WithTimeout(ctx, budget)
		defer cancel()
		body, err := in.network.options.Handler.Call(ctx, in.peer, CallKind(call.Kind), call.Body)
		in.reply(call.ID, body, err)
	}()
}

func (in *inbound) reply(id int64, body []byte, failure error) {
	encoded, err := encodeReply(id, body, failure)
	if err != nil {
		encoded, err = encodeReply(id, nil, err) // too long for a frame: the caller need not wait for it
	}
	if err != nil {
		return
	}
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if in.writer.add(encoded) != nil || in.writer.flush() != nil {
		_ = in.connection.Close()
	}
}
