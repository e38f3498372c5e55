//go:build powerloss

package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// DirDisk returns a Disk in the directory with the given path. Beside each file it records how much
// of the file is durable, and it records which changes of file names are not. From these records, a
// test that has killed the process can produce a directory that a power failure could have left;
// see harness.CutPower.
func DirDisk(path string) Disk { return &recordingDisk{dirDisk: dirDisk(path)} }

// Names of the files that hold the records. They begin with a dot, which no file of a store does.
const (
	// durablePrefix is the prefix of a file that holds the durable size of another file. The name
	// of that file follows.
	durablePrefix = ".durable."
	// pendingName is the file with the changes of file names that are not durable, one per line.
	pendingName = ".pending"
	// oldPrefix is the prefix of a file that was removed or replaced, until its removal is durable.
	oldPrefix = ".old."
	// faultName is the file with the fault to simulate: "full", "read-only", or the duration that
	// each write takes.
	faultName = ".fault"
)

// noPreviousFile is written to the pendingName file if a name had no file before the change.
const noPreviousFile = "-"

// recordingDisk is a Disk in a directory that also records which data and file names are durable.
type recordingDisk struct {
	dirDisk
	retainedFiles int // number of files with oldPrefix that were created
}

// Names implements Disk. It leaves out the files that hold the records.
func (d *recordingDisk) Names() ([]string, error) {
	all, err := d.dirDisk.Names()
	var names []string
	for _, name := range all {
		if !strings.HasPrefix(name, ".") {
			names = append(names, name)
		}
	}
	return names, err
}

// OpenAppend implements Disk.
func (d *recordingDisk) OpenAppend(name string, size int64) (File, error) {
	_, err := os.Stat(d.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		err = errors.Join(d.recordDurableSize(name, 0), d.recordPending("create", name))
	}
	if err != nil {
		return nil, err
	}
	file, err := d.dirDisk.OpenAppend(name, size)
	return &recordingFile{File: file, disk: d, name: name, size: size}, err
}

// Rename implements Disk.
func (d *recordingDisk) Rename(from, to string) error {
	old, err := d.retainPrevious(to)
	if err != nil {
		return err
	}
	if err := d.recordPending("rename", from, to, old); err != nil {
		return err
	}
	return errors.Join(
		d.dirDisk.Rename(from, to),
		renameIfExists(d.path(durablePrefix+from), d.path(durablePrefix+to)),
	)
}

// Remove implements Disk.
func (d *recordingDisk) Remove(name string) error {
	old, err := d.retainPrevious(name)
	if err != nil || old == noPreviousFile {
		return err
	}
	return d.recordPending("remove", name, old)
}

// SyncDir implements Disk. It makes all pending changes of file names durable.
func (d *recordingDisk) SyncDir() error {
	if err := d.dirDisk.SyncDir(); err != nil {
		return err
	}
	if err := d.dirDisk.Remove(pendingName); err != nil {
		return err
	}
	all, err := d.dirDisk.Names()
	for _, name := range all {
		if strings.HasPrefix(name, oldPrefix) || strings.HasPrefix(name, durablePrefix+oldPrefix) {
			err = errors.Join(err, d.dirDisk.Remove(name))
		}
	}
	return err
}

// recordPending records a change of file names that is not durable.
func (d *recordingDisk) recordPending(words ...string) error {
	file, err := os.OpenFile(d.path(pendingName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(file, strings.Join(words, " "))
	return errors.Join(err, file.Close())
}

// recordDurableSize records how much of a file is durable. The record is replaced atomically,
// because the process may be killed at any time.
func (d *recordingDisk) recordDurableSize(name string, size int64) error {
	path := d.path(durablePrefix + name)
	if err := os.WriteFile(path+"~", fmt.Append(nil, size), 0o600); err != nil {
		return err
	}
	return os.Rename(path+"~", path)
}

// retainPrevious renames an existing file, so that it remains available until its removal is
// durable. It returns the new name, or noPreviousFile if there is no file.
func (d *recordingDisk) retainPrevious(name string) (string, error) {
	if _, err := os.Stat(d.path(name)); errors.Is(err, fs.ErrNotExist) {
		return noPreviousFile, nil
	}
	d.retainedFiles++
	old := fmt.Sprintf("%s%d.%d", oldPrefix, os.Getpid(), d.retainedFiles)
	return old, errors.Join(
		os.Rename(d.path(name), d.path(old)),
		renameIfExists(d.path(durablePrefix+name), d.path(durablePrefix+old)),
	)
}

func renameIfExists(from, to string) error {
	err := os.Rename(from, to)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// fault returns the error of a simulated disk fault. If the disk is to be slow, it sleeps.
func (d *recordingDisk) fault() error {
	text, err := os.ReadFile(d.path(faultName))
	if err != nil {
		return nil // no fault is configured
	}
	switch word := strings.TrimSpace(string(text)); word {
	case "full":
		return unix.ENOSPC
	case "read-only":
		return unix.EROFS
	default:
		delay, err := time.ParseDuration(word)
		time.Sleep(delay)
		return err
	}
}

// recordingFile is a file that records how much of it is durable.
type recordingFile struct {
	File
	disk *recordingDisk
	name string
	size int64
}

// Write implements File.
func (f *recordingFile) Write(data []byte) (int, error) {
	if err := f.disk.fault(); err != nil {
		return 0, err
	}
	n, err := f.File.Write(data)
	f.size += int64(n)
	return n, err
}

// Sync implements File.
func (f *recordingFile) Sync() error {
	if err := f.File.Sync(); err != nil {
		return err
	}
	return f.disk.recordDurableSize(f.name, f.size)
}
