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

// serve writes what is queued and reads replies on an open connection until it breaks. The replies are read by a goroutine of
// its own, which has ended when serve returns.
func (o *outbound) serve(connection net.Conn) {
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
	if err := o.write(ctx, connection); err != nil {
		o.transport.options.Logger.Debug("peer connection broke", zap.String("peer", o.address), zap.Error(err))
	}
	cancel()
	_ = connection.Close()
	<-readerDone
	o.setConnection(nil)
	o.failSent()
}

// setConnection records the open connection; nil: none.
func (o *outbound) setConnection(connection net.Conn) {
	o.mutex.Lock()
	o.connection = connection
	o.mutex.Unlock()
}

// write sends the hello and then all that is queued, until ctx ends or a write fails.
func (o *outbound) write(ctx context.Context, connection net.Conn) error {
	writer := &frameWriter{connection: connection}
	if err := writer.append(o.transport.hello); err != nil {
		return err
	}
	if err := writer.flush(); err != nil { // the peer waits for the hello, and what follows may take long to encode
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

// writeQueued writes until nothing is queued.
func (o *outbound) writeQueued(writer *frameWriter) error {
	for {
		runtime.Gosched() // groups that are about to send run first, so that their messages join the batch
		batch, calls := o.takeQueued()
		if len(batch) == 0 && len(calls) == 0 {
			return writer.flush()
		}
		if err := addBatch(writer, batch); err != nil {
			return err
		}
		for _, call := range calls {
			if err := writer.append(call); err != nil {
				return err
			}
		}
	}
}

// addBatch appends a batch of messages. One that is too long for a frame is dropped, as any message may be lost.
func addBatch(writer *frameWriter, batch []GroupMessage) error {
	if len(batch) == 0 {
		return nil
	}
	encoded, err := encodeBatch(batch)
	if err != nil {
		return nil
	}
	return writer.append(encoded)
}

// takeQueued removes a batch of messages and all calls from the queues, and marks the calls as sent.
func (o *outbound) takeQueued() ([]GroupMessage, []frame) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var calls []frame
	for _, id := range o.queuedCalls {
		if pending := o.calls[id]; pending != nil {
			pending.sent = true
			calls = append(calls, pending.frame)
			pending.frame = frame{}
		}
	}
	o.queuedCalls = nil
	return o.messages.take(maxBatchBytes), calls
}

// readReplies passes replies to their callers until the connection ends.
func (o *outbound) readReplies(connection net.Conn) {
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
		o.transport.noteReceived(o.address)
		o.complete(uint64(reply.ID), resultOf(reply))
	}
}

// resultOf returns the result that a reply has for the caller.
func resultOf(reply wireReply) callResult {
	if reply.Failed {
		return callResult{err: RemoteError{Text: reply.Text}}
	}
	return callResult{body: reply.Body}
}
