// Package fastcgi reads and writes the records of FastCGI 1.0 as an application in
// the Responder role. It turns bytes into messages and back, and knows no sockets.
package fastcgi

import "errors"

const protocolVersion = 1

// headerSize is the size of the header of a record, in bytes. The content of a
// begin record is as long.
const headerSize = 8

// Types of records.
const (
	typeBeginRequest    = 1
	typeAbortRequest    = 2
	typeEndRequest      = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeData            = 8
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknownType     = 11
)

// Content of a begin record.
const (
	roleResponder = 1
	flagKeepConn  = 1
)

// Protocol statuses of AppendEnd.
const (
	StatusComplete    = 0 // the request has a response
	StatusOverloaded  = 2 // the request was rejected and never ran
	StatusUnknownRole = 3
)

// Limits that the protocol of the deployment sets.
const (
	MaxBodySize     = 2 << 10 // bytes of a request body
	MaxOpenRequests = 32      // requests open on a connection
)

// Limits of this package, in bytes.
const (
	maxContentSize = 65535   // of a record
	maxParamsSize  = 4 << 10 // of the parameters of a request: those known have some hundred
	maxValuesSize  = 1 << 10 // of a query for values: the three known ones have 50
	// maxSkippedSize bounds what is sent of refused or unknown requests: all that
	// may be open on a connection.
	maxSkippedSize = 64 << 10
)

// Errors of a stream that can't be followed any further.
var (
	ErrVersion        = errors.New("a record of another version")
	ErrRequestID      = errors.New("a request id out of range or in use")
	ErrBeginLength    = errors.New("a begin record of the wrong length")
	ErrTooMuchSkipped = errors.New("it goes on sending what is refused")
)
