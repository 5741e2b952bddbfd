package seglog

// Guard identifies one safety rule of the log: a check or a required order of steps. A production log enforces all guards.
// Tests omit one guard at a time to verify that the test suite then detects a violation.
type Guard string

// Guards that tests can omit.
const (
	// GuardSegmentNameSynced requires that the directory entry of a new segment is durable before its records count
	// as durable.
	GuardSegmentNameSynced Guard = "name-synced"
	// GuardFailedWriteTruncated requires that leftovers of a failed write are truncated before the next write.
	GuardFailedWriteTruncated Guard = "failed-write-cut"
	// GuardSegmentContinuity requires that a segment is accepted only if it continues the segment before it.
	GuardSegmentContinuity Guard = "segment-order"
	// GuardIncompleteLogRejected requires that Open rejects a log in which any segment but the last is missing or corrupt.
	GuardIncompleteLogRejected Guard = "all-segments"
	// GuardObsoleteSegmentsIgnored requires that recovery ignores segments that the snapshot has replaced.
	GuardObsoleteSegmentsIgnored Guard = "segments-void"
	// GuardSnapshotRenamedWhenComplete requires that a snapshot is renamed to its final name only after its content is
	// durable.
	GuardSnapshotRenamedWhenComplete Guard = "snapshot-whole"
	// GuardSnapshotNameSynced requires that the files that a snapshot replaces are removed only after its directory entry
	// is durable.
	GuardSnapshotNameSynced Guard = "snapshot-named"
	// GuardSnapshotHardState requires that a snapshot contains the hard state at the time of the snapshot.
	GuardSnapshotHardState Guard = "snapshot-vote"
	// GuardRecoverySynced requires that recovery syncs the state that it has read before returning it.
	GuardRecoverySynced Guard = "recovery-synced"
)

// Guards returns all guards.
func Guards() []Guard {
	return []Guard{
		GuardSegmentNameSynced, GuardFailedWriteTruncated, GuardSegmentContinuity, GuardIncompleteLogRejected,
		GuardObsoleteSegmentsIgnored, GuardSnapshotRenamedWhenComplete, GuardSnapshotNameSynced, GuardSnapshotHardState,
		GuardRecoverySynced,
	}
}

// enforces reports whether the log enforces the guard, that is, whether Options.OmitGuards does not contain it.
func (l *Log) enforces(guard Guard) bool { return !l.omittedGuards[guard] }
