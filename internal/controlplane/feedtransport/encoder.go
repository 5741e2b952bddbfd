package feedtransport

import (
	"sync"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Encoder makes the compressed frames of snapshots and changes, once for all sessions of a server that need the same.
// What lies between two indexes of a shard never changes, so the indexes tell which frames are the same.
type Encoder struct {
	mutex          sync.Mutex
	snapshotFrames map[shards.ID]encodedFrames
	changeFrames   map[shards.ID]encodedFrames // changes
}

// encodedFrames are the frames that take a reader from one index to another.
type encodedFrames struct {
	from, to uint64
	frames   [][]byte
}

// NewEncoder returns an encoder that holds nothing.
func NewEncoder() *Encoder {
	return &Encoder{snapshotFrames: make(map[shards.ID]encodedFrames), changeFrames: make(map[shards.ID]encodedFrames)}
}

// snapshot returns the frames of a snapshot. Nobody may write to them.
func (e *Encoder) snapshot(shard shards.ID, snapshot feed.Snapshot) ([][]byte, error) {
	return e.cachedFrames(e.snapshotFrames, shard, 0, snapshot.Index, func() ([][]byte, error) {
		return compressEach(snapshotParts(shard, snapshot), AppendSnapshotPart)
	})
}

// changes returns the frames of the changes above an index, of which there is at least one. Nobody may write to them.
func (e *Encoder) changes(shard shards.ID, from uint64, changes []feed.Change) ([][]byte, error) {
	return e.cachedFrames(e.changeFrames, shard, from, changes[len(changes)-1].Index, func() ([][]byte, error) {
		return compressEach(changeParts(shard, changes), AppendChanges)
	})
}

// cachedFrames returns the frames that are held for two indexes, or makes them and holds them instead of what was held.
func (e *Encoder) cachedFrames(
	cache map[shards.ID]encodedFrames, shard shards.ID, from, to uint64, encode func() ([][]byte, error),
) ([][]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
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

// compressEach makes a frame of each part and compresses it.
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
