package peertransport

import (
	"bufio"
	"context"
	"net"
	"runtime"

	"go.uber.org/zap"

	"ospreybend/internal/controlplane/feedtransport"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 16 << 10

// runConnection writes queued messages and calls to an open connection, and reads replies from it, until the connection ends or
// the transport closes. A separate goroutine reads the replies; it has ended when runConnection returns.
func (o *outboundPeer) runConnection(connection net.Conn) {
	ctx, cancel := context.WithCancel(o.transport.ctx)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()

	o.setConnection(connection)
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		defer cancel()
		o.readReplies(connection)
	}()
	if err := o.writeLoop(ctx, connection); err != nil {
		o.transport.options.Logger.Debug("connection to peer ended", zap.String("peer", o.address), zap.Error(err))
	}
	cancel()
	_ = connection.Close()
	<-readerDone
	o.setConnection(nil)
	o.failSent()
}

// setConnection records the open connection, or that there is none if connection is nil.
func (o *outboundPeer) setConnection(connection net.Conn) {
	o.mutex.Lock()
	o.connection = connection
	o.mutex.Unlock()
}

// writeLoop writes the hello and then queued messages and calls, until ctx ends or a write fails.
func (o *outboundPeer) writeLoop(ctx context.Context, connection net.Conn) error {
	writer := &frameWriter{connection: connection}
	if err := writer.append(o.transport.hello); err != nil {
		return err
	}
	if err := writer.flush(); err != nil { // the peer limits its wait for the hello, and encoding the next frames may take long
		return err
	}
	for {
		if err := o.writeQueued(writer); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		}
	}
}

// writeQueued writes messages and calls until the queues are empty, and flushes the writer.
func (o *outboundPeer) writeQueued(writer *frameWriter) error {
	for {
		runtime.Gosched() // lets goroutines that are about to send run first, so that their messages join the batch
		batch, calls := o.takeQueued()
		if len(batch) == 0 && len(calls) == 0 {
			return writer.flush()
		}
		if err := appendBatch(writer, batch); err != nil {
			return err
		}
		for _, call := range calls {
			if err := writer.append(call); err != nil {
				return err
			}
		}
	}
}

// appendBatch appends a batch of messages. A batch that cannot be encoded, for example because it is too long for a frame, is
// dropped: messages may be lost.
func appendBatch(writer *frameWriter, batch []GroupMessage) error {
	if len(batch) == 0 {
		return nil
	}
	encoded, err := encodeBatch(batch)
	if err != nil {
		return nil
	}
	return writer.append(encoded)
}

// takeQueued removes a batch of messages and all calls from the queues, and marks the calls as sent. It omits abandoned calls.
func (o *outboundPeer) takeQueued() ([]GroupMessage, []frame) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var calls []frame
	for _, id := range o.queuedCalls {
		if pending := o.pendingCalls[id]; pending != nil {
			pending.sent = true
			calls = append(calls, pending.frame)
			pending.frame = frame{}
		}
	}
	o.queuedCalls = nil
	return o.queuedMessages.takeBatch(maxBatchBytes), calls
}

// readReplies passes replies to the callers until the connection ends or a frame is not a valid reply.
func (o *outboundPeer) readReplies(connection net.Conn) {
	reader := bufio.NewReaderSize(connection, readBufferBytes)
	for {
		kind, body, err := feedtransport.ReadFrame(reader)
		if err != nil || kind != kindReply {
			return
		}
		var reply wireReply
		if err := decode(kindReply, replySchema, body, &reply); err != nil {
			return
		}
		o.transport.recordReceived(o.address)
		o.complete(uint64(reply.ID), resultOfReply(reply))
	}
}

// resultOfReply returns the result of a call from its reply.
func resultOfReply(reply wireReply) callResult {
	if reply.Failed {
		return callResult{err: RemoteError{Text: reply.Text}}
	}
	return callResult{body: reply.Body}
}
