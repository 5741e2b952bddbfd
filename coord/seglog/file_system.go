package seglog

// File is a file that is written at its end only.
type File interface {
	// Write appends data. After an error any part of data may have been written.
	Write(data []byte) (int, error)
	// Truncate sets the length to size bytes; the next Write goes there.
	Truncate(size int64) error
	// Sync returns once the content survives a loss of power.
	Sync() error
	Close() error
}

// FileInfo names one file of a directory.
type FileInfo struct {
	Name string
	Size int64 // bytes
}

// FileSystem is what the log needs of a file system. Errors are those of the operating system:
// a missing file gives one that errors.Is matches with fs.ErrNotExist.
type FileSystem interface {
	// MakeDirectory creates a directory and its parents, durably. An existing one is no error.
	MakeDirectory(directory string) error
	// Create makes an empty file, or empties the existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writes at its end.
	OpenAppend(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// Rename replaces the target if it exists.
	Rename(from, to string) error
	Remove(path string) error
	// List returns the plain files of a directory, in any order.
	List(directory string) ([]FileInfo, error)
	// SyncDirectory makes the names made, changed and removed in the directory durable.
	SyncDirectory(directory string) error
}
