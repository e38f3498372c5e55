// Package fastcgi implements the records of FastCGI 1.0 for an application in the
// Responder role. It decodes and encodes messages and performs no I/O.
package fastcgi

import "errors"

const protocolVersion = 1

// headerSize is the size of the header of a record, in bytes. The content of a
// begin record has the same size.
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

// Values in the content of a begin record.
const (
	roleResponder = 1
	flagKeepConn  = 1
)

// Protocol statuses of AppendEnd.
const (
	StatusComplete    = 0 // the request has a response
	StatusOverloaded  = 2 // the request was rejected and never ran
	StatusUnknownRole = 3 // the request has a role other than Responder
)

// Limits that the protocol of the deployment sets.
const (
	MaxBodySize     = 2 << 10 // limit of a request body, in bytes
	MaxOpenRequests = 32      // limit of the requests open on a connection
)

// Limits of this package, in bytes.
const (
	maxContentSize = 65535   // content of a record
	maxParamsSize  = 4 << 10 // parameters of a request; known requests have some hundred bytes
	maxValuesSize  = 1 << 10 // query for values; a query for the three known values has 50 bytes
	// maxSkippedSize bounds the input for rejected or unknown requests. It equals
	// the body size of all requests that may be open on a connection.
	maxSkippedSize = 64 << 10
)

// Errors of Parser.Feed, after which a stream can't be decoded any further.
var (
	ErrVersion        = errors.New("a record of another version")
	ErrRequestID      = errors.New("a request id out of range or in use")
	ErrBeginLength    = errors.New("a begin record of the wrong length")
	ErrTooMuchSkipped = errors.New("too much input for rejected or unknown requests")
)
