package wal

import "errors"

// Errors of stores. Operators search for their texts.
var (
	// ErrNoStore means that the directory has no store. Init makes one.
	ErrNoStore = errors.New("no store: one is made by keep init")
	// ErrWrongOwner means that the directory has the store of another node, or that the file which
	// says so is damaged.
	ErrWrongOwner = errors.New("not this store's")
	// ErrVersion means that the store has a format that this program doesn't know.
	ErrVersion = errors.New("a store of another version")
)

// Errors of parts of files.
var (
	errCorrupt   = errors.New("corrupt")
	errTruncated = errors.New("truncated")
)
