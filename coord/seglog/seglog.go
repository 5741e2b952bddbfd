// Package seglog stores the log, the snapshot and the hard state of one replica group on disk.
package seglog
