//go:build !powerloss

package wal

// DirDisk returns the directory with that path.
func DirDisk(path string) Disk { return dirDisk(path) }
