package seglog

// File is a file that is only appended to.
type File interface {
	// Write appends data. After an error any part of data may have been written.
	Write(data []byte) (int, error)
	// Truncate sets the length to size bytes. The next Write appends there.
	Truncate(size int64) error
	// Sync returns once the content survives a power loss.
	Sync() error
	// Close closes the file. It does not sync it.
	Close() error
}

// FileInfo describes one file of a directory.
type FileInfo struct {
	Name string
	Size int64 // bytes
}

// FileSystem is what the log uses of a file system. Errors are those of the operating system: errors.Is matches that of a
// missing file with fs.ErrNotExist.
type FileSystem interface {
	// MakeDirectory creates a directory and its parents, durably. It is no error if the directory exists.
	MakeDirectory(directory string) error
	// Create creates an empty file, or truncates the existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(path string) ([]byte, error)
	// Rename renames a file. It replaces the target if that exists.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// List returns the regular files of a directory, in any order.
	List(directory string) ([]FileInfo, error)
	// SyncDirectory makes the directory's entries durable: files that were created, renamed and removed.
	SyncDirectory(directory string) error
}
