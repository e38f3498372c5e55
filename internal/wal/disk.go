package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// Disk is one folder of a file system: what a store asks of it. Tests have one that loses power.
type Disk interface {
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	// Append opens a file to be written on from that size; it is made if it is not there, and cut if it is longer.
	Append(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // what files there are, and under which names
}

// File is one that is written on.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// folder is a Disk of the system's.
type folder string

func (f folder) path(name string) string { return filepath.Join(string(f), name) }

func (f folder) Names() ([]string, error) {
	list, err := os.ReadDir(string(f))
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

func (f folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f folder) Append(name string, size int64) (File, error) {
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, err
	}
	if err = file.Truncate(size); err == nil {
		_, err = file.Seek(size, io.SeekStart)
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func (f folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f folder) Remove(name string) error {
	if err := os.Remove(f.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (f folder) Sync() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}

// WriteFile writes a whole file under a name, which is there whole or not at all, and is confirmed.
func WriteFile(d Disk, name string, data []byte) error {
	f, err := d.Append(name+newMark, 0)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = d.Rename(name+newMark, name)
	}
	if err == nil {
		err = d.Sync()
	}
	return err
}
