//go:build !powerloss

package keeplog

// Folder is the system's file system in that folder.
func Folder(path string) Disk { return folder(path) }
