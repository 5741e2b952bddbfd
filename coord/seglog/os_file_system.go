package seglog

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// OSFileSystem implements FileSystem with the files of the operating system.
type OSFileSystem struct{}

// osFile is an open file of OSFileSystem.
type osFile struct{ file *os.File }

func (f osFile) Write(data []byte) (int, error) { return f.file.Write(data) }

func (f osFile) Truncate(size int64) error {
	if err := f.file.Truncate(size); err != nil {
		return err
	}
	_, err := f.file.Seek(size, io.SeekStart)
	return err
}

func (f osFile) Sync() error  { return f.file.Sync() }
func (f osFile) Close() error { return f.file.Close() }

// MakeDirectory creates a directory and its missing parents, and syncs the parent of each created directory.
func (s OSFileSystem) MakeDirectory(directory string) error {
	info, err := os.Stat(directory)
	if err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(directory)
	if parent != directory {
		if err := s.MakeDirectory(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(directory, directoryMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return s.SyncDirectory(parent)
}

// Create creates an empty file or truncates an existing one.
func (OSFileSystem) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// OpenAppend opens an existing file for appending.
func (OSFileSystem) OpenAppend(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if _, err := file.Seek(0, io.SeekEnd); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return osFile{file}, nil
}

// ReadFile returns the content of a file.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Rename renames a file, replacing an existing target.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// List returns the regular files in a directory.
func (OSFileSystem) List(directory string) ([]FileInfo, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	var files []FileInfo
	for _, entry := range entries {
		if !entry.Type().IsRegular() {
			continue
		}
		info, err := entry.Info()
		if err != nil {
			return nil, err
		}
		files = append(files, FileInfo{Name: entry.Name(), Size: info.Size()})
	}
	return files, nil
}

// SyncDirectory syncs the entries of a directory, not the content of its files.
func (OSFileSystem) SyncDirectory(directory string) error {
	file, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}
