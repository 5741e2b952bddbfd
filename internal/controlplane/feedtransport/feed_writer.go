package feedtransport

import (
	"net"
	"slices"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Sizes of a session's frames and buffers.
const (
	// partBytes is the approximate maximum size of the items in one frame of a snapshot or of changes.
	partBytes = 48 << 10
	// maxRetainedBytes is the largest buffer that is reused for the next write.
	maxRetainedBytes = 64 << 10
	// reportBufferBytes is the size of the buffer for reading a reader's reports.
	reportBufferBytes = 1 << 10
)

// feedWriter encodes the state of a source as frames and writes them. It tracks up to which offset the reader has each shard.
type feedWriter struct {
	connection   net.Conn
	writeTimeout time.Duration
	encoder      *Encoder // nil: no compression
	buffer       []byte
	sentOffsets  map[shards.ID]uint64 // up to which the reader has each shard

	sequence   uint64
	lastStatus Status
	statusAt   time.Time // when lastStatus was written; zero: none yet
}

// newFeedWriter returns a writer for a reader that has the shards up to these offsets.
func newFeedWriter(connection net.Conn, offsets []Offset, writeTimeout time.Duration) *feedWriter {
	writer := &feedWriter{connection: connection, writeTimeout: writeTimeout, sentOffsets: make(map[shards.ID]uint64)}
	for _, offset := range offsets {
		writer.sentOffsets[offset.Shard] = offset.Index
	}
	return writer
}

// writeShard writes the changes and the snapshot of a shard that are above the reader's offset, and advances the offset.
func (w *feedWriter) writeShard(shard shards.ID, changes []feed.Change, snapshot *feed.Snapshot) error {
	if snapshot != nil && snapshot.Index > w.sentOffsets[shard] {
		if err := w.writeSnapshot(shard, *snapshot); err != nil {
			return err
		}
		w.sentOffsets[shard] = snapshot.Index
	}
	for len(changes) > 0 && changes[0].Index <= w.sentOffsets[shard] {
		changes = changes[1:]
	}
	if len(changes) == 0 {
		return nil
	}
	if err := w.writeChanges(shard, changes); err != nil {
		return err
	}
	w.sentOffsets[shard] = changes[len(changes)-1].Index
	return nil
}

// writeSnapshot appends the frames of a snapshot, compressed if there is an encoder.
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

// writeChanges appends the frames of changes, compressed if there is an encoder.
func (w *feedWriter) writeChanges(shard shards.ID, changes []feed.Change) error {
	if w.encoder != nil {
		return w.appendFrames(w.encoder.changes(shard, w.sentOffsets[shard], changes))
	}
	for _, part := range changeParts(shard, changes) {
		if err := w.appendFrame(AppendChanges(w.buffer, part)); err != nil {
			return err
		}
	}
	return nil
}

// snapshotParts divides a snapshot into parts for one frame each.
func snapshotParts(shard shards.ID, snapshot feed.Snapshot) []SnapshotPart {
	var parts []SnapshotPart
	for items := snapshot.Items; ; {
		count := countFittingFrame(items, itemBytes)
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

// changeParts divides changes into parts for one frame each.
func changeParts(shard shards.ID, changes []feed.Change) []Changes {
	var parts []Changes
	for len(changes) > 0 {
		count := countFittingFrame(changes, changeBytes)
		parts = append(parts, Changes{Shard: shard, Changes: changes[:count]})
		changes = changes[count:]
	}
	return parts
}

// statusChanged reports whether a status must be sent immediately since it differs from the last one: in the shards, in which
// of them are current, or in the servers.
func (w *feedWriter) statusChanged(status Status) bool {
	sameCurrency := func(left, right ShardStatus) bool { return left.Shard == right.Shard && left.Current == right.Current }
	if !slices.EqualFunc(status.Shards, w.lastStatus.Shards, sameCurrency) {
		return true
	}
	return w.statusAt.IsZero() || !slices.Equal(status.Servers, w.lastStatus.Servers)
}

// writeStatus appends a status with the next sequence number. It includes the servers only if they have changed.
func (w *feedWriter) writeStatus(status Status) error {
	w.sequence++
	status.Sequence = w.sequence
	servers := status.Servers
	if w.sequence > 1 && slices.Equal(servers, w.lastStatus.Servers) {
		status.Servers = nil // the reader has them from an earlier status
	}
	w.lastStatus = status
	w.lastStatus.Servers = servers
	w.statusAt = time.Now()
	return w.appendFrame(AppendStatus(w.buffer, status))
}

// writeReport appends the frame of a report.
func (w *feedWriter) writeReport(report Report) error {
	return w.appendFrame(AppendReport(w.buffer, report))
}

// appendFrames appends copies of encoded frames, which are shared with other writers. It returns err if that is set.
func (w *feedWriter) appendFrames(frames [][]byte, err error) error {
	for _, frame := range frames {
		if err == nil {
			err = w.appendFrame(append(w.buffer, frame...), nil)
		}
	}
	return err
}

// appendFrame takes the results of an Append function. It returns err if that is set. Otherwise it replaces the writer's buffer
// by buffer, to which a frame has been appended, and flushes it once it holds partBytes.
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

// flush writes the buffer to the connection and empties it.
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

// countFittingFrame returns how many of the first elements fit into a frame of partBytes, and at least one if there is any.
func countFittingFrame[T any](elements []T, size func(T) int) int {
	total := 0
	for i, element := range elements {
		total += size(element)
		if total > partBytes && i > 0 {
			return i
		}
	}
	return len(elements)
}

// itemBytes returns the size of an item's key and value.
func itemBytes(item feed.Item) int { return len(item.Key) + len(item.Value) }

// changeBytes returns the size of a change's items and deleted keys.
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
