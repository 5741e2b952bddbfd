package seglog

import (
	"errors"
	"path/filepath"
)

// makeDurable truncates and removes what is not valid, and syncs the rest: a process that was killed may have left records
// that it had not synced. It must succeed before the log is written to.
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

// removeInvalidSegments removes the segments behind the last valid one. Those that reappear because the directory was not
// synced do not continue the truncated one, and so never become valid again.
func (r *recovery) removeInvalidSegments() error {
	for _, invalid := range r.segments[r.validSegments:] {
		if err := r.log.fileSystem.Remove(filepath.Join(r.log.directory, invalid.name)); err != nil {
			return err
		}
	}
	return nil
}

// openActiveSegment opens the last valid segment for appending. The ones before it are sealed.
func (r *recovery) openActiveSegment() error {
	if r.validSegments == 0 {
		return nil
	}
	last := r.segments[r.validSegments-1]
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
	for _, sealed := range r.segments[:r.validSegments-1] {
		r.log.sealed = append(r.log.sealed, sealed.segment)
	}
	r.log.active = active
	return nil
}

// truncateInvalidTail removes what is not valid in the last segment and makes the rest durable.
func (r *recovery) truncateInvalidTail(active *activeSegment) error {
	if !r.log.enforces(GuardRecoverySynced) {
		return nil
	}
	return active.truncate()
}
