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

// DirDisk is the system's file system in that folder, which notes beside each file how much of it was confirmed, and which changes of names
// were not: a rig that ends the process rebuilds from that what a loss of power could have left (stand.CutPower).
func DirDisk(path string) Disk { return &noted{folder(path), 0} }

// Names of what is noted. They begin with a dot, as nothing of a store does.
const (
	DurableMark = ".durable."
	PendingName = ".pending"
	OldMark     = ".old."
	FaultName   = ".fault" // how the disk fails: "full", "read-only", or a time that each confirmation takes
)

// fault is how the disk fails now; a slow one takes its time.
func (n *noted) fault() error {
	text, err := os.ReadFile(n.path(FaultName))
	if err != nil {
		return nil // it does not
	}
	switch word := strings.TrimSpace(string(text)); word {
	case "full":
		return unix.ENOSPC
	case "read-only":
		return unix.EROFS
	default:
		d, err := time.ParseDuration(word)
		time.Sleep(d)
		return err
	}
}

type noted struct {
	folder
	olds int
}

func (n *noted) Names() ([]string, error) {
	all, err := n.folder.Names()
	var names []string
	for _, name := range all {
		if !strings.HasPrefix(name, ".") {
			names = append(names, name)
		}
	}
	return names, err
}

// pend notes a change of names.
func (n *noted) pend(words ...string) error {
	f, err := os.OpenFile(n.path(PendingName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, strings.Join(words, " "))
	return errors.Join(err, f.Close())
}

// durable notes how much of a file is confirmed; whole or not at all, as a process may end within.
func (n *noted) durable(name string, size int64) error {
	at := n.path(DurableMark + name)
	if err := os.WriteFile(at+"~", fmt.Append(nil, size), 0o600); err != nil {
		return err
	}
	return os.Rename(at+"~", at)
}

func (n *noted) Append(name string, size int64) (File, error) {
	_, err := os.Stat(n.path(name))
	if made := errors.Is(err, fs.ErrNotExist); made {
		err = errors.Join(n.durable(name, 0), n.pend("create", name))
	}
	if err != nil {
		return nil, err
	}
	f, err := n.folder.Append(name, size)
	return &notedFile{f, n, name, size}, err
}

// aside keeps what a name stood for until that is confirmed to be no more, and gives the name it has then.
func (n *noted) aside(name string) (string, error) {
	if _, err := os.Stat(n.path(name)); errors.Is(err, fs.ErrNotExist) {
		return "-", nil
	}
	n.olds++
	old := fmt.Sprintf("%s%d.%d", OldMark, os.Getpid(), n.olds)
	return old, errors.Join(os.Rename(n.path(name), n.path(old)), rename(n.path(DurableMark+name), n.path(DurableMark+old)))
}

func rename(from, to string) error {
	if err := os.Rename(from, to); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (n *noted) Rename(from, to string) error {
	old, err := n.aside(to)
	if err == nil {
		err = n.pend("rename", from, to, old)
	}
	if err == nil {
		err = errors.Join(n.folder.Rename(from, to), rename(n.path(DurableMark+from), n.path(DurableMark+to)))
	}
	return err
}

func (n *noted) Remove(name string) error {
	old, err := n.aside(name)
	if err == nil && old != "-" {
		err = n.pend("remove", name, old)
	}
	return err
}

// Sync confirms all names.
func (n *noted) Sync() error {
	if err := n.folder.Sync(); err != nil {
		return err
	}
	if err := n.folder.Remove(PendingName); err != nil {
		return err
	}
	all, err := n.folder.Names()
	for _, name := range all {
		if strings.HasPrefix(name, OldMark) || strings.HasPrefix(name, DurableMark+OldMark) {
			err = errors.Join(err, n.folder.Remove(name))
		}
	}
	return err
}

type notedFile struct {
	File
	n    *noted
	name string
	size int64
}

func (f *notedFile) Write(p []byte) (int, error) {
	if err := f.n.fault(); err != nil {
		return 0, err
	}
	k, err := f.File.Write(p)
	f.size += int64(k)
	return k, err
}

func (f *notedFile) Sync() error {
	if err := f.File.Sync(); err != nil {
		return err
	}
	return f.n.durable(f.name, f.size)
}
