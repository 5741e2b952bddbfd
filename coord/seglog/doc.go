// Package seglog is the write-ahead log of one replica group: it stores the log, the hard state and the snapshot in segment and
// snapshot files, and recovers them after a restart or a power loss. It does not interpret what it stores; package replica
// calls it through its log writer.
//
// Where something becomes durable: Log.Save returns only after Log.writeDurably has synced the segment's file and, for a new
// segment, the directory. Nothing may be acknowledged before Save has returned.
//
// # Files
//
// A directory contains segments and a snapshot. A segment is an append-only file of records, named by a sequence number that
// only increases. A record is an entry or a hard state. An entry replaces all stored entries from its index on, so that
// nothing is ever rewritten. The checksum of a record covers that of the record before it, so that the remains of a failed
// write are never taken for a continuation of what was written over them. The header of a segment contains the checksum of
// the last record of the previous segment.
//
// A snapshot is a file of its own. It is written under a temporary name, synced and renamed, and the directory is synced; only
// then are the previous snapshot and the segments that it covers removed. The snapshot names the first segment that is still
// required, so that segments which reappear after a power loss are known to be obsolete, and it contains the hard state of
// its moment, which may have been in one of those segments.
//
// # Recovery
//
// Open reads the newest snapshot and then the segments in order, up to the first record that is incomplete, corrupt or not a
// continuation. The rest of the last segment is dropped: after a power loss only writes that were never reported as durable
// can look like this, and corruption of the durable end of the last segment cannot be told from it. A segment is started only
// once all of the previous one is durable. Therefore, if a segment that others follow is missing, corrupt or incomplete, Open
// returns ErrCorrupt, as for a corrupt snapshot: the log may lack entries and votes that were acknowledged. Everything that
// Open returns has been made durable again.
package seglog
