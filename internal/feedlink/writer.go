package feedlink

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
	// keptBytes is the largest buffer that is kept from one write to the next.
	keptBytes = 64 << 10
	// reportBufferBytes is the buffer for what a reader of the feed sends.
	reportBufferBytes = 1 << 10
)

// feedWriter turns what a source has into frames. It knows how far the reader has each shard.
type feedWriter struct {
	connection net.Conn
	limit      time.Duration
	buffer     []byte
	sent       map[shards.ID]uint64

	sequence   uint64
	lastStatus Status
	statusAt   time.Time // zero: none yet
}

func newFeedWriter(connection net.Conn, offsets []Offset, limit time.Duration) *feedWriter {
	writer := &feedWriter{connection: connection, limit: limit, sent: make(map[shards.ID]uint64)}
	for _, offset := range offsets {
		writer.sent[offset.Shard] = offset.Index
	}
	return writer
}

// shard writes what is above the index that the reader has.
func (w *feedWriter) shard(shard shards.ID, changes []feed.Change, snapshot *feed.Snapshot) error {
	if snapshot != nil && snapshot.Index > w.sent[shard] {
		if err := w.snapshot(shard, *snapshot); err != nil {
			return err
		}
	}
	return w.changes(shard, changes)
}

func (w *feedWriter) snapshot(shard shards.ID, snapshot feed.Snapshot) error {
	items := snapshot.Items
	first := true
	for {
		count := partLength(items, itemBytes)
		part := SnapshotPart{
			Shard: shard, Index: snapshot.Index, Items: items[:count],
			First: first, Last: count == len(items),
		}
		if err := w.add(AppendSnapshotPart(w.buffer, part)); err != nil {
			return err
		}
		if part.Last {
			w.sent[shard] = snapshot.Index
			return nil
		}
		items = items[count:]
		first = false
	}
}

func (w *feedWriter) changes(shard shards.ID, changes []feed.Change) error {
	for len(changes) > 0 && changes[0].Index <= w.sent[shard] {
		changes = changes[1:]
	}
	for len(changes) > 0 {
		count := partLength(changes, changeBytes)
		if err := w.add(AppendChanges(w.buffer, Changes{Shard: shard, Changes: changes[:count]})); err != nil {
			return err
		}
		w.sent[shard] = changes[count-1].Index
		changes = changes[count:]
	}
	return nil
}

// statusChanged tells whether the reader has to know of a status at once.
func (w *feedWriter) statusChanged(status Status) bool {
	sameCurrency := func(a, b ShardStatus) bool { return a.Shard == b.Shard && a.Current == b.Current }
	if !slices.EqualFunc(status.Shards, w.lastStatus.Shards, sameCurrency) {
		return true
	}
	return w.statusAt.IsZero() || !slices.Equal(status.Keepers, w.lastStatus.Keepers)
}

func (w *feedWriter) status(status Status) error {
	w.sequence++
	status.Sequence = w.sequence
	keepers := status.Keepers
	if w.sequence > 1 && slices.Equal(keepers, w.lastStatus.Keepers) {
		status.Keepers = nil // the reader keeps those that it was told of
	}
	w.lastStatus = status
	w.lastStatus.Keepers = keepers
	w.statusAt = time.Now()
	return w.add(AppendStatus(w.buffer, status))
}

func (w *feedWriter) report(report Report) error { return w.add(AppendReport(w.buffer, report)) }

// add takes the buffer with one more frame, and sends it once it is long enough.
func (w *feedWriter) add(buffer []byte, err error) error {
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
	err := writeAll(w.connection, w.buffer, w.limit)
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > keptBytes {
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
