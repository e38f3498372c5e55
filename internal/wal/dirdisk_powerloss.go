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

// DirDisk returns the directory with that path. It records beside each file how much of it is
// durable, and which changes of names are not. From that, a test that kills the process can make of
// the directory what a power failure could have left: see harness.CutPower.
func DirDisk(path string) Disk { return &recordingDisk{dirDisk: dirDisk(path)} }

// Names of the files that are recorded. They begin with a dot, as no file of a store does.
const (
	// durableMark begins the name of a file with the durable size of another one, whose name
	// follows.
	durablePrefix = ".durable."
	// pendingName is the file with the changes of names that are not durable, a line each.
	pendingName = ".pending"
	// oldMark begins the name of a file that was removed or replaced, until that is durable.
	oldPrefix = ".old."
	// faultName is the file that says how the disk fails: "full", "read-only", or how long each
	// write takes.
	faultName = ".fault"
)

// noFile is written to PendingName for a name that no file had before.
const noPreviousFile = "-"

// recordingDisk is a directory that records what is durable.
type recordingDisk struct {
	dirDisk
	retainedFiles int // number of OldMark files that were made
}

// Names implements Disk. It leaves out what is recorded.
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

// SyncDir implements Disk. It makes all changes of names durable.
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

// recordPending records a change of names that is not durable.
func (d *recordingDisk) recordPending(words ...string) error {
	file, err := os.OpenFile(d.path(pendingName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(file, strings.Join(words, " "))
	return errors.Join(err, file.Close())
}

// recordDurableSize records how much of a file is durable. The record is replaced at once, as the
// process may be killed meanwhile.
func (d *recordingDisk) recordDurableSize(name string, size int64) error {
	path := d.path(durablePrefix + name)
	if err := os.WriteFile(path+"~", fmt.Append(nil, size), 0o600); err != nil {
		return err
	}
	return os.Rename(path+"~", path)
}

// keepOld renames the file that has a name, so that it is there until its end is durable. It
// returns the new name, noFile if there is no file.
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

// fault returns the error that the disk is to fail with. If it is to be slow it takes its time.
func (d *recordingDisk) fault() error {
	text, err := os.ReadFile(d.path(faultName))
	if err != nil {
		return nil // there is no fault
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
