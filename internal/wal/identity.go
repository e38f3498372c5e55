package wal

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a store. Its mark is part of every checksum, so that a file of another store is
// never accepted.
type ID struct {
	// Node is the name of the node that the store belongs to.
	Node string
	// Created is the time at which the store was created, since the Unix epoch.
	Created time.Duration
	// Mark is a random number that was drawn at that time. It salts all checksums.
	Mark uint64
}

// formatVersion is the version of the format that this package writes and reads.
const formatVersion = 1

// Field names in the file that identifies a store. They are part of the format.
const (
	identityHeader = "frosthub keep "
	nodeField      = "box"
	createdField   = "made"
	markField      = "mark"
	checksumField  = "sum"
)

// Init creates an empty store in a directory that has none. The caller must ensure that no request
// that ran earlier under this node name is retried.
func Init(disk Disk, node string, created time.Duration, mark uint64) error {
	names, err := disk.Names()
	if err != nil {
		return fmt.Errorf("list the files: %w", err)
	}
	for _, name := range names {
		if name != LockName && !strings.HasSuffix(name, temporarySuffix) {
			return fmt.Errorf("create the store: the directory is not empty: it has %s", name)
		}
	}
	id := ID{Node: node, Created: created, Mark: mark}
	return WriteFile(disk, identityName, id.encode())
}

// ReadID returns the ID of a store. The error is ErrNoStore, ErrWrongOwner, ErrVersion or one of
// the disk.
func ReadID(disk Disk) (ID, error) {
	text, err := disk.Read(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return ID{}, ErrNoStore
	}
	if err != nil {
		return ID{}, fmt.Errorf("read %s: %w", identityName, err)
	}
	return parseID(text)
}

// encode returns the content of the file that identifies the store.
func (id ID) encode() []byte {
	text := fmt.Appendf(nil, "%s%d\n", identityHeader, formatVersion)
	text = fmt.Appendf(text, "%s %s\n", nodeField, strconv.Quote(id.Node))
	text = fmt.Appendf(text, "%s %s\n", createdField, time.Unix(0, int64(id.Created)).UTC().Format(time.RFC3339Nano))
	text = fmt.Appendf(text, "%s %016x\n", markField, id.Mark)
	return fmt.Appendf(text, "%s %016x\n", checksumField, xxhash.Sum64(text))
}

// parseID parses the content of the file that identifies a store.
func parseID(text []byte) (ID, error) {
	body, checksum, ok := bytes.Cut(text, []byte(checksumField+" "))
	if !ok || !bytes.HasPrefix(text, []byte(identityHeader)) {
		return ID{}, ErrWrongOwner
	}
	if !bytes.HasPrefix(text, fmt.Appendf(nil, "%s%d\n", identityHeader, formatVersion)) {
		return ID{}, ErrVersion
	}
	if strings.TrimSpace(string(checksum)) != fmt.Sprintf("%016x", xxhash.Sum64(body)) {
		return ID{}, fmt.Errorf("%s: %w: wrong checksum", identityName, ErrWrongOwner)
	}
	id, err := parseIDFields(string(body))
	if err != nil {
		return ID{}, fmt.Errorf("%s: %w: %w", identityName, ErrWrongOwner, err)
	}
	return id, nil
}

func parseIDFields(body string) (ID, error) {
	fields := map[string]string{}
	for line := range strings.Lines(body) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		fields[name] = value
	}
	node, err := strconv.Unquote(fields[nodeField])
	if err != nil {
		return ID{}, fmt.Errorf("field %s: %w", nodeField, err)
	}
	created, err := time.Parse(time.RFC3339Nano, fields[createdField])
	if err != nil {
		return ID{}, fmt.Errorf("field %s: %w", createdField, err)
	}
	mark, err := strconv.ParseUint(fields[markField], 16, 64)
	if err != nil {
		return ID{}, fmt.Errorf("field %s: %w", markField, err)
	}
	return ID{Node: node, Created: time.Duration(created.UnixNano()), Mark: mark}, nil
}
