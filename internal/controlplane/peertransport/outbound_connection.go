package peertransport

import (
	"bufio"
	"context"
	"net"
	"runtime"

	"go.uber.org/zap"

	"ospreybend/internal/controlplane/feedtransport"
)

// readBufferBytes is the read buffer of a connection.
const readBufferBytes = 16 << 10

// serve works on an open connection until it breaks.
func (l *link) serve(connection net.Conn) {
	ctx, cancel := context.WithCancel(l.network.ctx)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()

	l.setConnection(connection)
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		defer cancel()
		l.readReplies(connection)
	}()
	if err := l.write(ctx, connection); err != nil {
		l.network.options.Logger.Debug("peer connection broke", zap.String("peer", l.address), zap.Error(err))
	}
	cancel()
	_ = connection.Close()
	<-readerDone
	l.setConnection(nil)
	l.failSent()
}

func (l *link) setConnection(connection net.Conn) {
	l.mutex.Lock()
	l.connection = connection
	l.mutex.Unlock()
}

// write sends the hello and then all that is queued, until ctx ends or a write fails.
func (l *link) write(ctx context.Context, connection net.Conn) error {
	writer := &frameWriter{connection: connection}
	if err := writer.add(l.network.hello); err != nil {
		return err
	}
	if err := writer.flush(); err != nil { // the peer waits for it, and what follows may take long to encode
		return err
	}
	for {
		if err := l.writeQueued(writer); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
	}
}

// writeQueued writes until nothing is queued.
func (l *link) writeQueued(writer *frameWriter) error {
	for {
		runtime.Gosched() // groups that are about to send at this moment go first: their messages join the batch
		batch, calls := l.takeQueued()
		if len(batch) == 0 && len(calls) == 0 {
			return writer.flush()
		}
		if err := addBatch(writer, batch); err != nil {
			return err
		}
		for _, call := range calls {
			if err := writer.add(call); err != nil {
				return err
			}
		}
	}
}

func addBatch(writer *frameWriter, batch []GroupMessage) error {
	if len(batch) == 0 {
		return nil
	}
	encoded, err := encodeBatch(batch)
	if err != nil {
		return nil // too long for a frame: lost, as any message may be
	}
	return writer.add(encoded)
}

// takeQueued takes a batch of messages and all calls that wait.
func (l *link) takeQueued() ([]GroupMessage, []frame) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var calls []frame
	for _, id := range l.waiting {
		if pending := l.calls[id]; pending != nil {
			pending.sent = true
			calls = append(calls, pending.frame)
			pending.frame = frame{}
		}
	}
	l.waiting = nil
	return l.messages.take(maxBatchBytes), calls
}

// readReplies hands replies to their callers until the connection ends.
func (l *link) readReplies(connection net.Conn) {
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
		l.network.noteHeard(l.address)
		l.finish(uint64(reply.ID), resultOf(reply))
	}
}

func resultOf(reply wireReply) callResult {
	if reply.Failed {
		return callResult{err: RemoteError{Text: reply.Text}}
	}
	return callResult{body: reply.Body}
}
