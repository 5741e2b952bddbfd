package feedtransport

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"time"
)

// feedBufferBytes is the size of the read buffer for the feed.
const feedBufferBytes = 8 << 10

// ErrNoServer is the reason for which an attempt fails while no server is known.
var ErrNoServer = errors.New("feedtransport: no server is known")

// monitoredConnection is a connection whose read deadlines are set by the selector, which then decides whether to leave the
// server.
type monitoredConnection struct {
	net.Conn
	selector *ServerSelector
}

// Read implements io.Reader. It returns the errors of the connection and those of ServerSelector.Check.
func (c monitoredConnection) Read(buffer []byte) (int, error) {
	for {
		if err := c.SetReadDeadline(c.selector.Deadline()); err != nil {
			return 0, err
		}
		count, err := c.Conn.Read(buffer)
		now := time.Now()
		if count > 0 {
			c.selector.Received(now)
			return count, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if reason := c.selector.Check(now); reason != nil {
			return 0, reason
		}
	}
}

// receive passes frames to the handler until the connection fails or the selector leaves the server.
func (c *Client) receive(connection net.Conn) error {
	monitored := monitoredConnection{Conn: connection, selector: c.selector}
	reader := bufio.NewReaderSize(monitored, feedBufferBytes)
	for {
		kind, body, err := ReadFrame(reader)
		if err != nil {
			return err
		}
		if err := c.handleFrame(kind, body); err != nil {
			return err
		}
	}
}

// handleFrame decodes one frame and passes its message to the handler.
func (c *Client) handleFrame(kind Kind, body []byte) error {
	switch kind {
	case KindSnapshot:
		return c.handleSnapshotPart(body)
	case KindChanges:
		return c.handleChanges(body)
	case KindStatus:
		return c.handleStatus(body)
	case KindReport:
		return c.handleReport(body)
	case KindCompressed:
		return c.handleCompressed(body)
	}
	return UnexpectedKindError{Kind: kind}
}

// handleCompressed passes the frames within a compressed frame to the handler.
func (c *Client) handleCompressed(body []byte) error {
	frames, err := decompressFrames(body)
	if err != nil {
		return err
	}
	reader := bytes.NewReader(frames)
	for reader.Len() > 0 {
		kind, inner, err := ReadFrame(reader)
		if err != nil {
			return err
		}
		if kind == KindCompressed {
			return UnexpectedKindError{Kind: kind}
		}
		if err := c.handleFrame(kind, inner); err != nil {
			return err
		}
	}
	return nil
}

// handleSnapshotPart adds a part of a snapshot, and passes the snapshot to the handler once it is complete.
func (c *Client) handleSnapshotPart(body []byte) error {
	part, err := DecodeSnapshotPart(body)
	if err != nil {
		return err
	}
	snapshot, complete, err := c.receiver.addPart(part)
	if err != nil || !complete {
		return err
	}
	c.handler.Snapshot(part.Shard, snapshot)
	c.batchDone()
	return nil
}

// handleChanges passes the changes that are above the offset of their shard to the handler.
func (c *Client) handleChanges(body []byte) error {
	changes, err := DecodeChanges(body)
	if err != nil {
		return err
	}
	for _, change := range changes.Changes {
		above, err := c.receiver.accept(changes.Shard, change)
		if err != nil {
			return err
		}
		if above {
			c.handler.Change(changes.Shard, change)
		}
	}
	c.batchDone()
	return nil
}

// handleStatus passes a status to the selector and the handler. If it lists no servers, those of an earlier status are added.
func (c *Client) handleStatus(body []byte) error {
	status, err := DecodeStatus(body)
	if err != nil {
		return err
	}
	if len(status.Servers) == 0 {
		status.Servers = c.servers
	}
	c.servers = status.Servers
	now := time.Now()
	c.selector.ObserveStatus(now, status)
	c.handler.Status(status)
	return c.selector.Check(now)
}

// handleReport passes a report to the handler if that is a ReportHandler.
func (c *Client) handleReport(body []byte) error {
	report, err := DecodeReport(body)
	if err != nil {
		return err
	}
	if handler, ok := c.handler.(ReportHandler); ok {
		handler.Report(report)
	}
	return nil
}

// batchDone notifies the handler if it is a BatchHandler.
func (c *Client) batchDone() {
	if handler, ok := c.handler.(BatchHandler); ok {
		handler.BatchDone()
	}
}
