package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// Disk is the directory of a store. Tests use an implementation that simulates power failures. Its
// methods are called by one goroutine at a time.
type Disk interface {
	// Names returns the names of all files.
	Names() ([]string, error)
	// Read returns the content of a file. The error is fs.ErrNotExist if there is no such file.
	Read(name string) ([]byte, error)
	// OpenAppend opens a file to be written to from the given size on. The file is created if it
	// does not exist, and truncated if it is longer.
	OpenAppend(name string, size int64) (File, error)
	// Rename renames a file. It replaces a file that has the new name.
	Rename(from, to string) error
	// Remove removes a file. It returns no error if the file does not exist.
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	// Sync makes the data written so far durable.
	Sync() error
	// Close closes the file without making its data durable.
	Close() error
}

// dirDisk is a Disk in a directory of the file system.
type dirDisk string

func (d dirDisk) path(name string) string { return filepath.Join(string(d), name) }

// Names implements Disk.
func (d dirDisk) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Read implements Disk.
func (d dirDisk) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// OpenAppend implements Disk.
func (d dirDisk) OpenAppend(name string, size int64) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, err
	}
	err = file.Truncate(size)
	if err == nil {
		_, err = file.Seek(size, io.SeekStart)
	}
	if err != nil {
		_ = file.Close() // nothing was written
		return nil, err
	}
	return file, nil
}

// Rename implements Disk.
func (d dirDisk) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Disk.
func (d dirDisk) Remove(name string) error {
	err := os.Remove(d.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncDir implements Disk.
func (d dirDisk) SyncDir() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // nothing was written through it
	return dir.Sync()
}

// WriteFile writes a file atomically: it exists under its name either completely or not at all.
// WriteFile returns when the file is durable.
func WriteFile(disk Disk, name string, data []byte) error {
	temporary := name + temporarySuffix
	if err := writeAndSync(disk, temporary, data); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := disk.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	if err := disk.SyncDir(); err != nil {
		return fmt.Errorf("sync the directory of %s: %w", name, err)
	}
	return nil
}

// writeAndSync creates or overwrites a file and makes its content durable.
func writeAndSync(disk Disk, name string, data []byte) error {
	file, err := disk.OpenAppend(name, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	closeErr := file.Close()
	if err == nil {
		err = closeErr
	}
	return err
}
