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
	// maxCallTimeout limits the duration of a call, also of one whose context has no deadline.
	maxCallTimeout = 10 * time.Second
	// maxConcurrentCalls limits how many calls of one connection are executed concurrently.
	maxConcurrentCalls = 256
)

// Errors with which a call is rejected before it is executed.
var (
	errTooManyCalls = errors.New("peertransport: too many concurrent calls of this peer")
	errCallExpired  = errors.New("peertransport: the deadline of the call has passed")
)

// inboundConnection is a connection that a peer has opened. One goroutine reads it; each call is executed in a goroutine of its
// own, which also writes the reply.
type inboundConnection struct {
	transport  *Transport
	connection net.Conn
	peer       Hello
	callSlots  chan struct{} // semaphore: one element for each call that is being executed

	mutex  sync.Mutex // guards writer
	writer frameWriter
}

// Serve accepts connections until the listener or the transport is closed. It returns net.ErrClosed, which may be wrapped, in
// the first case. In the second case it closes the listener and returns nil.
func (t *Transport) Serve(listener net.Listener) error {
	stop := context.AfterFunc(t.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		connection, err := listener.Accept()
		if t.ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			t.sleep(minBackoff) // a temporary failure, for example no free file descriptors
			continue
		}
		t.goroutines.Add(1)
		go func() {
			defer t.goroutines.Done()
			t.serveConnection(connection)
		}()
	}
}

// serveConnection reads the first frame of an accepted connection and serves the protocol that its kind belongs to.
func (t *Transport) serveConnection(connection net.Conn) {
	stop := context.AfterFunc(t.ctx, func() { _ = connection.Close() })
	defer stop()
	kind, body, err := feedtransport.ReadFirstFrame(connection, firstFrameTimeout)
	if err != nil {
		t.options.Logger.Debug("accepted connection closed: first frame not read", zap.Error(err))
		_ = connection.Close()
		return
	}
	if kind < feedtransport.FirstPeerKind {
		t.options.Handler.FeedConnection(t.ctx, connection, kind, body)
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
	t.serveInbound(connection, peer)
}

// serveInbound serves a connection that a peer has opened until the connection ends.
func (t *Transport) serveInbound(connection net.Conn, peer Hello) {
	in := &inboundConnection{
		transport: t, connection: connection, peer: peer,
		callSlots: make(chan struct{}, maxConcurrentCalls), writer: frameWriter{connection: connection},
	}
	t.register(in)
	defer t.unregister(in)
	t.options.Handler.Connected(peer)
	in.readFrames()
}

// register records a connection that a peer has opened. It leaves the peer's other connections open, because the connection
// that is accepted last is not always the newest: it may have waited in the listener's queue while this process was stalled.
// Connections that the peer has closed end by themselves.
func (t *Transport) register(in *inboundConnection) {
	now := t.options.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inboundCounts[in.peer.Address]++
	t.peersByMember[in.peer.Member] = in.peer
	t.lastReceived[in.peer.Address] = now
}

// unregister removes the record of a connection that has ended.
func (t *Transport) unregister(in *inboundConnection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inboundCounts[in.peer.Address]--
	if t.inboundCounts[in.peer.Address] == 0 {
		delete(t.inboundCounts, in.peer.Address)
	}
}

// readFrames reads and handles frames until the connection ends or a frame is invalid.
func (in *inboundConnection) readFrames() {
	ctx, cancel := context.WithCancel(in.transport.ctx)
	defer cancel()
	reader := bufio.NewReaderSize(in.connection, readBufferBytes)
	for {
		kind, body, err := feedtransport.ReadFrame(reader)
		if err != nil {
			in.transport.options.Logger.Debug("connection opened by peer ended", zap.String("peer", in.peer.Address), zap.Error(err))
			return
		}
		in.transport.recordReceived(in.peer.Address)
		if !in.handleFrame(ctx, kind, body) {
			return
		}
	}
}

// handleFrame handles one frame. It returns false if the frame is invalid; the connection must then be closed.
func (in *inboundConnection) handleFrame(ctx context.Context, kind feedtransport.Kind, body []byte) bool {
	switch kind {
	case kindBatch:
		batch, err := decodeBatch(body)
		if err != nil {
			return false
		}
		in.transport.options.Handler.Messages(in.peer, dropUnknownShards(batch))
		return true
	case kindCall:
		var call wireCall
		if err := decode(kindCall, callSchema, body, &call); err != nil {
			return false
		}
		in.startCall(ctx, call)
		return true
	}
	return false
}

// dropUnknownShards removes, in place, the messages of shards that this program does not know.
func dropUnknownShards(batch []GroupMessage) []GroupMessage {
	remaining := batch[:0]
	for _, message := range batch {
		if message.Shard < shards.ShardCount {
			remaining = append(remaining, message)
		}
	}
	return remaining
}

// startCall executes a call in a goroutine of its own. It rejects a call that leaves no time for a reply, and any call while
// maxConcurrentCalls are being executed.
func (in *inboundConnection) startCall(ctx context.Context, call wireCall) {
	if call.BudgetMs <= 0 {
		in.reply(call.ID, nil, errCallExpired)
		return
	}
	select {
	case in.callSlots <- struct{}{}:
	default:
		in.reply(call.ID, nil, errTooManyCalls)
		return
	}
	in.transport.goroutines.Add(1)
	go func() {
		defer in.transport.goroutines.Done()
		defer func() { <-in.callSlots }()
		timeout := time.Duration(call.BudgetMs) * time.Millisecond
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		body, err := in.transport.options.Handler.Call(ctx, in.peer, CallKind(call.Kind), call.Body)
		in.reply(call.ID, body, err)
	}()
}

// reply writes the reply to a call. If the reply is too long for a frame, an error is sent instead, so that the caller does not
// wait until its deadline. The connection is closed if the write fails.
func (in *inboundConnection) reply(id int64, body []byte, failure error) {
	encoded, err := encodeReply(id, body, failure)
	if err != nil {
		encoded, err = encodeReply(id, nil, err)
	}
	if err != nil {
		return
	}
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if in.writer.append(encoded) != nil || in.writer.flush() != nil {
		_ = in.connection.Close()
	}
}
