package wal

import "errors"

// Errors of a store as a whole. Operators search for their texts.
var (
	// ErrNoStore means that the directory has no store. Init creates one.
	ErrNoStore = errors.New("no store: one is made by keep init")
	// ErrWrongOwner means that the directory has the store of another node, or that the file which
	// identifies the store is damaged.
	ErrWrongOwner = errors.New("not this store's")
	// ErrVersion means that this program does not support the format version of the store.
	ErrVersion = errors.New("a store of another version")
)

// Errors of a part of a file.
var (
	errCorrupt   = errors.New("corrupt")
	errTruncated = errors.New("truncated")
)
