package feedtransport

import (
	"sync"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Encoder encodes snapshots and changes as compressed frames, once for all sessions of a server that need the same ones. It
// caches the last frames of each shard by their indexes: the content between two indexes of a shard never changes.
type Encoder struct {
	mu             sync.Mutex // guards both maps; held while encoding, so that sessions do not encode the same content twice
	snapshotFrames map[shards.ID]encodedFrames
	changeFrames   map[shards.ID]encodedFrames
}

// encodedFrames are the frames that bring a reader from index from to index to.
type encodedFrames struct {
	from, to uint64
	frames   [][]byte
}

// NewEncoder returns an encoder with empty caches.
func NewEncoder() *Encoder {
	return &Encoder{snapshotFrames: make(map[shards.ID]encodedFrames), changeFrames: make(map[shards.ID]encodedFrames)}
}

// snapshot returns the frames of a snapshot. The caller must not modify them.
func (e *Encoder) snapshot(shard shards.ID, snapshot feed.Snapshot) ([][]byte, error) {
	return e.cachedFrames(e.snapshotFrames, shard, 0, snapshot.Index, func() ([][]byte, error) {
		return compressEach(snapshotParts(shard, snapshot), AppendSnapshotPart)
	})
}

// changes returns the frames of the changes above an index. There must be at least one change. The caller must not modify the
// frames.
func (e *Encoder) changes(shard shards.ID, from uint64, changes []feed.Change) ([][]byte, error) {
	return e.cachedFrames(e.changeFrames, shard, from, changes[len(changes)-1].Index, func() ([][]byte, error) {
		return compressEach(changeParts(shard, changes), AppendChanges)
	})
}

// cachedFrames returns the frames between two indexes from the cache, or encodes them and replaces the shard's cache entry.
func (e *Encoder) cachedFrames(
	cache map[shards.ID]encodedFrames, shard shards.ID, from, to uint64, encode func() ([][]byte, error),
) ([][]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if found, ok := cache[shard]; ok && found.from == from && found.to == to {
		return found.frames, nil
	}
	frames, err := encode()
	if err != nil {
		return nil, err
	}
	cache[shard] = encodedFrames{from: from, to: to, frames: frames}
	return frames, nil
}

// compressEach encodes each part as a frame and compresses it.
func compressEach[T any](parts []T, appendPart func([]byte, T) ([]byte, error)) ([][]byte, error) {
	frames := make([][]byte, 0, len(parts))
	for _, part := range parts {
		frame, err := appendPart(nil, part)
		if err != nil {
			return nil, err
		}
		if frame, err = compressFrames(frame); err != nil {
			return nil, err
		}
		frames = append(frames, frame)
	}
	return frames, nil
}
