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
	// maxCallTimeout limits the time of a call, also without a deadline.
	maxCallTimeout = 10 * time.Second
	// maxConcurrentCalls limits the calls of one connection that are executed at a time.
	maxConcurrentCalls = 256
)

// Reasons for which a call is rejected before its execution.
var (
	errTooManyCalls = errors.New("peertransport: too many concurrent calls of this peer")
	errCallExpired  = errors.New("peertransport: the deadline of the call has passed")
)

// inbound is a connection that a peer has opened. One goroutine reads it; each call runs in another and writes its reply.
type inbound struct {
	transport  *Transport
	connection net.Conn
	peer       Hello
	running    chan struct{} // one token for each call that is executed

	mutex  sync.Mutex // guards writer
	writer frameWriter
}

// Serve accepts connections until the listener or the transport is closed, and closes the listener. It returns nil after
// Close.
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
			t.sleep(minBackoff) // for lack of file descriptors, for instance
			continue
		}
		t.running.Add(1)
		go func() {
			defer t.running.Done()
			t.identify(connection)
		}()
	}
}

// identify reads the first frame of a connection and serves the protocol of its kind.
func (t *Transport) identify(connection net.Conn) {
	stop := context.AfterFunc(t.ctx, func() { _ = connection.Close() })
	defer stop()
	kind, body, err := feedtransport.ReadFirstFrame(connection, firstFrameTimeout)
	if err != nil {
		t.options.Logger.Debug("connection not identified", zap.Error(err))
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

// serveInbound serves the connection of a peer until it ends.
func (t *Transport) serveInbound(connection net.Conn, peer Hello) {
	in := &inbound{
		transport: t, connection: connection, peer: peer,
		running: make(chan struct{}, maxConcurrentCalls), writer: frameWriter{connection: connection},
	}
	t.register(in)
	defer t.unregister(in)
	t.options.Handler.Connected(peer)
	in.readFrames()
}

// register records a connection of a peer. The peer's other connections stay open, since the one that is accepted last need
// not be the newest: it may have waited while this process stalled. A connection that its peer has closed ends by itself.
func (t *Transport) register(in *inbound) {
	now := t.options.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accepted[in.peer.Address]++
	t.members[in.peer.Member] = in.peer
	t.lastReceived[in.peer.Address] = now
}

// unregister removes a connection that has ended.
func (t *Transport) unregister(in *inbound) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accepted[in.peer.Address]--
	if t.accepted[in.peer.Address] == 0 {
		delete(t.accepted, in.peer.Address)
	}
}

// readFrames handles frames until the connection ends.
func (in *inbound) readFrames() {
	ctx, cancel := context.WithCancel(in.transport.ctx)
	defer cancel()
	reader := bufio.NewReaderSize(in.connection, readBufferBytes)
	for {
		kind, body, err := feedtransport.ReadFrame(reader)
		if err != nil {
			in.transport.options.Logger.Debug("peer's connection ended", zap.String("peer", in.peer.Address), zap.Error(err))
			return
		}
		in.transport.noteReceived(in.peer.Address)
		if !in.handleFrame(ctx, kind, body) {
			return
		}
	}
}

// handleFrame handles one frame. It returns false if the frame is invalid, which ends the connection.
func (in *inbound) handleFrame(ctx context.Context, kind feedtransport.Kind, body []byte) bool {
	switch kind {
	case kindBatch:
		batch, err := decodeBatch(body)
		if err != nil {
			return false
		}
		in.transport.options.Handler.Messages(in.peer, withKnownShards(batch))
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

// withKnownShards filters out, in place, messages of shards that this program does not know.
func withKnownShards(batch []GroupMessage) []GroupMessage {
	remaining := batch[:0]
	for _, message := range batch {
		if message.Shard < shards.ShardCount {
			remaining = append(remaining, message)
		}
	}
	return remaining
}

// startCall executes a call in a goroutine of its own. It rejects calls whose deadline has passed, and those above
// maxConcurrentCalls.
func (in *inbound) startCall(ctx context.Context, call wireCall) {
	if call.BudgetMs <= 0 {
		in.reply(call.ID, nil, errCallExpired)
		return
	}
	select {
	case in.running <- struct{}{}:
	default:
		in.reply(call.ID, nil, errTooManyCalls)
		return
	}
	in.transport.running.Add(1)
	go func() {
		defer in.transport.running.Done()
		defer func() { <-in.running }()
		timeout := time.Duration(call.BudgetMs) * time.Millisecond
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		body, err := in.transport.options.Handler.Call(ctx, in.peer, CallKind(call.Kind), call.Body)
		in.reply(call.ID, body, err)
	}()
}

// reply writes the reply to a call. A reply that is too long for a frame becomes an error, so that the caller need not wait
// for its deadline.
func (in *inbound) reply(id int64, body []byte, failure error) {
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
