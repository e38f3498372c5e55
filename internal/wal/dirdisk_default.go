//go:build !powerloss

package wal

// DirDisk returns a Disk in the directory with the given path.
func DirDisk(path string) Disk { return dirDisk(path) }
