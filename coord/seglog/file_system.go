package seglog

// File is a file opened for appending.
type File interface {
	// Write appends data. After an error, any part of the data may have been written.
	Write(data []byte) (int, error)
	// Truncate changes the size of the file to size bytes. The next Write appends at the new end.
	Truncate(size int64) error
	// Sync makes the content durable: after a successful call it survives a power loss.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

// FileInfo describes one file in a directory.
type FileInfo struct {
	Name string
	Size int64 // bytes
}

// FileSystem contains the file operations that a log requires. The error for a missing file must match fs.ErrNotExist under
// errors.Is.
type FileSystem interface {
	// MakeDirectory durably creates a directory and its missing parents. It succeeds if the directory already exists.
	MakeDirectory(directory string) error
	// Create creates an empty file or truncates an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(path string) ([]byte, error)
	// Rename renames a file, replacing an existing target.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// List returns the regular files in a directory, in any order.
	List(directory string) ([]FileInfo, error)
	// SyncDirectory makes the creation, renaming and removal of files in a directory durable.
	SyncDirectory(directory string) error
}
