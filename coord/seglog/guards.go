package seglog

// Guard names one check, or one ordering of steps, of the log. Tests omit guards one by one to show that a violation is then
// detected; a running system enforces all of them.
type Guard string

// The guards that tests can omit.
const (
	// GuardSegmentNameSynced requires that the name of a new segment is durable before its content counts as durable.
	GuardSegmentNameSynced Guard = "name-synced"
	// GuardFailedWriteTruncated requires that the remains of a failed write are truncated before the next write.
	GuardFailedWriteTruncated Guard = "failed-write-cut"
	// GuardSegmentOrder requires that a segment counts only after the one that it was started after.
	GuardSegmentOrder Guard = "segment-order"
	// GuardAllSegments requires that a log whose beginning or middle is missing or corrupt is rejected.
	GuardAllSegments Guard = "all-segments"
	// GuardObsoleteSegmentsIgnored requires that segments which a snapshot replaces are ignored.
	GuardObsoleteSegmentsIgnored Guard = "segments-void"
	// GuardSnapshotRenamedWhenComplete requires that a snapshot gets its name only after its content is durable.
	GuardSnapshotRenamedWhenComplete Guard = "snapshot-whole"
	// GuardSnapshotNameSynced requires that what a snapshot replaces is removed only after the snapshot's name is durable.
	GuardSnapshotNameSynced Guard = "snapshot-named"
	// GuardSnapshotHardState requires that a snapshot contains the term and vote of its moment.
	GuardSnapshotHardState Guard = "snapshot-vote"
	// GuardRecoverySynced requires that recovery makes what it has read durable before that is used.
	GuardRecoverySynced Guard = "recovery-synced"
)

// Guards returns all guards that tests can omit.
func Guards() []Guard {
	return []Guard{
		GuardSegmentNameSynced, GuardFailedWriteTruncated, GuardSegmentOrder, GuardAllSegments, GuardObsoleteSegmentsIgnored,
		GuardSnapshotRenamedWhenComplete, GuardSnapshotNameSynced, GuardSnapshotHardState, GuardRecoverySynced,
	}
}

// enforces reports whether the log enforces a guard.
func (l *Log) enforces(guard Guard) bool { return !l.omittedGuards[guard] }
