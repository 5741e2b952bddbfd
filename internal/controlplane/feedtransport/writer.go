package feedtransport

import (
	"net"
	"slices"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

const (
	// partBytes is about how much of a snapshot or of changes one frame carries.
	partBytes = 48 << 10
	// maxRetainedBytes is the largest buffer that is kept from one write to the next.
	maxRetainedBytes = 64 << 10
	// reportBufferBytes is the buffer for what a reader of the feed sends.
	reportBufferBytes = 1 << 10
)

// feedWriter turns what a source has into frames. It knows how far the reader has each shard.
type feedWriter struct {
	connection   net.Conn
	writeTimeout time.Duration
	encoder      *Encoder // nil: frames are not compressed
	buffer       []byte
	sent         map[shards.ID]uint64

	sequence   uint64
	lastStatus Status
	statusAt   time.Time // zero: none yet
}

func newFeedWriter(connection net.Conn, offsets []Offset, writeTimeout time.Duration) *feedWriter {
	writer := &feedWriter{connection: connection, writeTimeout: writeTimeout, sent: make(map[shards.ID]uint64)}
	for _, offset := range offsets {
		writer.sent[offset.Shard] = offset.Index
	}
	return writer
}

// writeShard writes what is above the index that the reader has.
func (w *feedWriter) writeShard(shard shards.ID, changes []feed.Change, snapshot *feed.Snapshot) error {
	if snapshot != nil && snapshot.Index > w.sent[shard] {
		if err := w.writeSnapshot(shard, *snapshot); err != nil {
			return err
		}
		w.sent[shard] = snapshot.Index
	}
	for len(changes) > 0 && changes[0].Index <= w.sent[shard] {
		changes = changes[1:]
	}
	if len(changes) == 0 {
		return nil
	}
	if err := w.writeChanges(shard, changes); err != nil {
		return err
	}
	w.sent[shard] = changes[len(changes)-1].Index
	return nil
}

func (w *feedWriter) writeSnapshot(shard shards.ID, snapshot feed.Snapshot) error {
	if w.encoder != nil {
		return w.appendFrames(w.encoder.snapshot(shard, snapshot))
	}
	for _, part := range snapshotParts(shard, snapshot) {
		if err := w.appendFrame(AppendSnapshotPart(w.buffer, part)); err != nil {
			return err
		}
	}
	return nil
}

func (w *feedWriter) writeChanges(shard shards.ID, changes []feed.Change) error {
	if w.encoder != nil {
		return w.appendFrames(w.encoder.changes(shard, w.sent[shard], changes))
	}
	for _, part := range changeParts(shard, changes) {
		if err := w.appendFrame(AppendChanges(w.buffer, part)); err != nil {
			return err
		}
	}
	return nil
}

// snapshotParts cuts a snapshot into the parts that one frame each carries.
func snapshotParts(shard shards.ID, snapshot feed.Snapshot) []SnapshotPart {
	var parts []SnapshotPart
	for items := snapshot.Items; ; {
		count := partLength(items, itemBytes)
		parts = append(parts, SnapshotPart{
			Shard: shard, Index: snapshot.Index, Items: items[:count],
			First: len(parts) == 0, Last: count == len(items),
		})
		if count == len(items) {
			return parts
		}
		items = items[count:]
	}
}

// changeParts cuts changes into those that one frame each carries.
func changeParts(shard shards.ID, changes []feed.Change) []Changes {
	var parts []Changes
	for len(changes) > 0 {
		count := partLength(changes, changeBytes)
		parts = append(parts, Changes{Shard: shard, Changes: changes[:count]})
		changes = changes[count:]
	}
	return parts
}

// statusChanged tells whether the reader has to know of a status at once.
func (w *feedWriter) statusChanged(status Status) bool {
	sameCurrency := func(a, b ShardStatus) bool { return a.Shard == b.Shard && a.Current == b.Current }
	if !slices.EqualFunc(status.Shards, w.lastStatus.Shards, sameCurrency) {
		return true
	}
	return w.statusAt.IsZero() || !slices.Equal(status.Servers, w.lastStatus.Servers)
}

func (w *feedWriter) writeStatus(status Status) error {
	w.sequence++
	status.Sequence = w.sequence
	servers := status.Servers
	if w.sequence > 1 && slices.Equal(servers, w.lastStatus.Servers) {
		status.Servers = nil // the reader keeps those that it was told of
	}
	w.lastStatus = status
	w.lastStatus.Servers = servers
	w.statusAt = time.Now()
	return w.appendFrame(AppendStatus(w.buffer, status))
}

func (w *feedWriter) writeReport(report Report) error {
	return w.appendFrame(AppendReport(w.buffer, report))
}

// appendFrames takes frames that are shared with other writers.
func (w *feedWriter) appendFrames(frames [][]byte, err error) error {
	for _, frame := range frames {
		if err == nil {
			err = w.appendFrame(append(w.buffer, frame...), nil)
		}
	}
	return err
}

// appendFrame takes the buffer with one more frame, and sends it once it is long enough.
func (w *feedWriter) appendFrame(buffer []byte, err error) error {
	if err != nil {
		return err
	}
	w.buffer = buffer
	if len(w.buffer) < partBytes {
		return nil
	}
	return w.flush()
}

func (w *feedWriter) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	err := writeAll(w.connection, w.buffer, w.writeTimeout)
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > maxRetainedBytes {
		w.buffer = nil
	}
	return err
}

// partLength returns how many of the elements fit into a frame, at least one if there is any.
func partLength[T any](elements []T, size func(T) int) int {
	total := 0
	for i, element := range elements {
		total += size(element)
		if total > partBytes && i > 0 {
			return i
		}
	}
	return len(elements)
}

func itemBytes(item feed.Item) int { return len(item.Key) + len(item.Value) }

func changeBytes(change feed.Change) int {
	total := 0
	for _, item := range change.Put {
		total += itemBytes(item)
	}
	for _, key := range change.Delete {
		total += len(key)
	}
	return total
}
