// Package seglog implements the write-ahead log of one replica of a consensus group. It stores log entries, the hard state
// (term, vote and commit index) and the latest snapshot in segment and snapshot files, and recovers them after a restart or
// a power loss. It does not interpret the data of entries and snapshots. Package replica calls it through its log writer.
//
// Log.Save returns only after the records are durable: Log.writeDurably syncs the segment file and, for a new segment, its
// directory. Nothing in a batch may be acknowledged before Save has returned.
//
// # Files
//
// A directory contains segments and at most one current snapshot. A segment is an append-only file of records, named by an
// increasing sequence number. A record contains an entry or a hard state. An entry replaces all stored entries from its
// index on, so existing records are never rewritten. The checksum of a record also covers the checksum of the record before
// it. Leftover records of a failed write therefore never pass as a continuation of the records that overwrote its
// beginning. The header of a segment contains the checksum of the last record of the previous segment.
//
// A snapshot is a file of its own. It is written under a temporary name, synced and renamed, and the directory is synced.
// Only then are the previous snapshot and the segments that the new one covers removed. The snapshot contains the sequence
// number of the first segment that is still required, so that removed segments which reappear after a power loss are
// recognized as obsolete. It also contains the hard state at the time of the snapshot, because the record of that hard
// state may be in one of the removed segments.
//
// # Recovery
//
// Open reads the newest snapshot and then the segments in order, up to the first record that is incomplete, corrupt or does
// not continue the records before it. An invalid tail of the last segment is truncated: a power loss can leave such a tail
// only from writes that were never reported as durable. Corruption of durable records at the end of the last segment looks
// the same and is not detected. A segment is started only once the previous one is completely durable. Therefore, if any
// segment but the last is missing, corrupt or incomplete, Open returns ErrCorrupt, because acknowledged entries and votes
// may be missing. It does the same if the snapshot is corrupt. Open syncs everything that it returns, since a killed
// process may have left records that it had not synced.
package seglog
