package seglog

// Guard names one check or one order of steps of the log. Tests leave guards out to show that their absence is
// noticed. A running system leaves out none.
type Guard string

// The guards that can be left out.
const (
	GuardSegmentNameSynced           Guard = "name-synced"      // a new segment's name is durable before what it holds counts
	GuardFailedWriteTruncated        Guard = "failed-write-cut" // what a failed write left is cut off before the next write
	GuardSegmentOrder                Guard = "segment-order"    // a segment counts only behind the one that it was started after
	GuardAllSegments                 Guard = "all-segments"     // a log whose middle or beginning is missing or damaged is refused
	GuardObsoleteSegmentsIgnored     Guard = "segments-void"    // segments that a snapshot stands for do not count any more
	GuardSnapshotRenamedWhenComplete Guard = "snapshot-whole"   // a snapshot has its name only once its content is durable
	GuardSnapshotNameSynced          Guard = "snapshot-named"   // what a snapshot stands for is removed once the snapshot's name is durable
	GuardSnapshotHardState           Guard = "snapshot-vote"    // a snapshot holds the term and vote of its moment
	GuardRecoverySynced              Guard = "recovery-synced"  // what recovery has read is durable before it is used
)

// Guards returns all guards that can be left out.
func Guards() []Guard {
	return []Guard{
		GuardSegmentNameSynced, GuardFailedWriteTruncated, GuardSegmentOrder, GuardAllSegments, GuardObsoleteSegmentsIgnored,
		GuardSnapshotRenamedWhenComplete, GuardSnapshotNameSynced, GuardSnapshotHardState, GuardRecoverySynced,
	}
}

// enforces reports whether a guard is in force.
func (l *Log) enforces(guard Guard) bool { return !l.omittedGuards[guard] }
