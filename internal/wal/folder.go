//go:build !powerloss

package wal

// Folder is the system's file system in that folder.
func Folder(path string) Disk { return folder(path) }
