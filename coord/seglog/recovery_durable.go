package seglog

import (
	"errors"
	"path/filepath"
)

// makeDurable truncates and removes invalid data and syncs the rest, since a killed process may have left records that it
// had not synced. It must succeed before the first write to the log.
func (r *recovery) makeDurable() error {
	if !r.log.enforces(GuardRecoverySynced) {
		return r.openActiveSegment()
	}
	if err := r.removeInvalidSegments(); err != nil {
		return err
	}
	if err := r.openActiveSegment(); err != nil {
		return err
	}
	if err := r.log.fileSystem.SyncDirectory(r.log.directory); err != nil {
		return errors.Join(err, r.log.Close())
	}
	r.log.removeObsoleteFiles()
	return nil
}

// removeInvalidSegments removes the segments after the last valid one. They may reappear after a power loss before the
// directory is synced, but they do not continue the truncated segment and so never become valid again.
func (r *recovery) removeInvalidSegments() error {
	for _, invalid := range r.segments[r.validCount:] {
		if err := r.log.fileSystem.Remove(filepath.Join(r.log.directory, invalid.name)); err != nil {
			return err
		}
	}
	return nil
}

// openActiveSegment opens the last valid segment for appending. All segments before it are sealed.
func (r *recovery) openActiveSegment() error {
	if r.validCount == 0 {
		return nil
	}
	last := r.segments[r.validCount-1]
	file, err := r.log.fileSystem.OpenAppend(filepath.Join(r.log.directory, last.name))
	if err != nil {
		return err
	}
	active := &activeSegment{
		segment:      last.segment,
		file:         file,
		durableBytes: int64(last.validBytes),
		lastChecksum: last.lastChecksum,
		nameSynced:   true,
	}
	if err := r.truncateInvalidTail(active); err != nil {
		_ = file.Close() // nothing was written to it
		return err
	}
	for _, sealed := range r.segments[:r.validCount-1] {
		r.log.sealed = append(r.log.sealed, sealed.segment)
	}
	r.log.active = active
	return nil
}

// truncateInvalidTail truncates the last segment after its last valid record and makes the rest durable.
func (r *recovery) truncateInvalidTail(active *activeSegment) error {
	if !r.log.enforces(GuardRecoverySynced) {
		return nil
	}
	return active.truncate()
}
