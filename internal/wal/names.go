package wal

import (
	"fmt"
	"strconv"
	"strings"
)

// LockName is the name of the file that is locked while a process uses the store.
const LockName = "lock"

// Names and suffixes of the other files. They are part of the format.
const (
	identityName       = "store"
	readAttemptsName   = "reading"
	logSuffix          = ".log"
	fingerprintsSuffix = ".prints"
	temporarySuffix    = ".new"
	quarantineSuffix   = ".aside"
)

// segmentDigits is the number of digits of a segment number in file names.
const segmentDigits = 16

func logName(segment uint64) string {
	return fmt.Sprintf("%0*d%s", segmentDigits, segment, logSuffix)
}

func fingerprintsName(segment uint64) string {
	return fmt.Sprintf("%0*d%s", segmentDigits, segment, fingerprintsSuffix)
}

// parseSegmentName parses the segment number in the name of a file with the given suffix. ok is
// false if the name does not have that form.
func parseSegmentName(name, suffix string) (segment uint64, ok bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != segmentDigits {
		return 0, false
	}
	segment, err := strconv.ParseUint(digits, 10, 64)
	return segment, err == nil && segment > 0
}
