package feedtransport

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"time"
)

// feedBufferBytes is the buffer for what a server sends.
const feedBufferBytes = 8 << 10

// ErrNoServer is the failure of an attempt for which no server is known.
var ErrNoServer = errors.New("feedlink: no server is known")

// watchedConnection reads with a deadline at which the choice is asked whether to stay.
type watchedConnection struct {
	net.Conn
	choice *Choice
}

func (w watchedConnection) Read(buffer []byte) (int, error) {
	for {
		if err := w.SetReadDeadline(w.choice.Deadline()); err != nil {
			return 0, err
		}
		count, err := w.Conn.Read(buffer)
		now := time.Now()
		if count > 0 {
			w.choice.Heard(now)
			return count, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if reason := w.choice.Check(now); reason != nil {
			return 0, reason
		}
	}
}

// receive hands over what comes until the connection fails or is to be left.
func (c *Client) receive(connection net.Conn) error {
	watched := watchedConnection{Conn: connection, choice: c.choice}
	reader := bufio.NewReaderSize(watched, feedBufferBytes)
	for {
		kind, body, err := ReadFrame(reader)
		if err != nil {
			return err
		}
		if err := c.take(kind, body); err != nil {
			return err
		}
	}
}

// take hands over one frame.
func (c *Client) take(kind Kind, body []byte) error {
	switch kind {
	case KindSnapshot:
		return c.takeSnapshotPart(body)
	case KindChanges:
		return c.takeChanges(body)
	case KindStatus:
		return c.takeStatus(body)
	case KindReport:
		return c.takeReport(body)
	case KindCompressed:
		return c.takeCompressed(body)
	}
	return UnexpectedKindError{Kind: kind}
}

// takeCompressed hands over the frames within a frame.
func (c *Client) takeCompressed(body []byte) error {
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
		if err := c.take(kind, inner); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) takeSnapshotPart(body []byte) error {
	part, err := DecodeSnapshotPart(body)
	if err != nil {
		return err
	}
	snapshot, complete, err := c.receiver.part(part)
	if err != nil || !complete {
		return err
	}
	c.handler.Snapshot(part.Shard, snapshot)
	c.batchDone()
	return nil
}

func (c *Client) takeChanges(body []byte) error {
	changes, err := DecodeChanges(body)
	if err != nil {
		return err
	}
	for _, change := range changes.Changes {
		above, err := c.receiver.change(changes.Shard, change)
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

func (c *Client) takeStatus(body []byte) error {
	status, err := DecodeStatus(body)
	if err != nil {
		return err
	}
	if len(status.Keepers) == 0 {
		status.Keepers = c.keepers
	}
	c.keepers = status.Keepers
	now := time.Now()
	c.choice.Status(now, status)
	c.handler.Status(status)
	return c.choice.Check(now)
}

func (c *Client) takeReport(body []byte) error {
	report, err := DecodeReport(body)
	if err != nil {
		return err
	}
	if handler, ok := c.handler.(ReportHandler); ok {
		handler.Report(report)
	}
	return nil
}

func (c *Client) batchDone() {
	if handler, ok := c.handler.(BatchHandler); ok {
		handler.BatchDone()
	}
}
