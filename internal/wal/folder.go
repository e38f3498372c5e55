//go:build !powerloss

package wal

// DirDisk is the system's file system in that folder.
func DirDisk(path string) Disk { return folder(path) }
