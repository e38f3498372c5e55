// Package ajp implements the packets of AJP/1.3 (AJPv13), for a server that
// receives requests of front ends and for a client that forwards requests. It
// decodes and encodes messages and performs no I/O.
package ajp

import "errors"

// Sizes, in bytes.
const (
	DefaultPacketSize = 8 << 10  // default limit of a packet with its header
	MaxPacketSize     = 64 << 10 // highest limit of a packet with its header
	MaxBodySize       = 2 << 10  // limit of a request body, set by the protocol of the deployment
	MaxResultSize     = 64 << 10 // limit of a response body that a client accepts
)

// maxHeaders bounds the number of headers of a message. Known messages have a
// dozen.
const maxHeaders = 128

// Errors of Feed, after which a stream can't be decoded any further.
var (
	ErrMagic            = errors.New("no packet of AJP")
	ErrPacketTooLong    = errors.New("a packet that is longer than agreed")
	ErrUnexpectedPacket = errors.New("a packet of a kind that does not belong here")
	ErrPipelined        = errors.New("a packet before the last req is answered")
	ErrInvalidHeaders   = errors.New("headers or attributes that can't be read")
	ErrInvalidBody      = errors.New("a body that is not as it was announced")
	ErrOutOfOrder       = errors.New("an answer whose parts do not follow each other")
)

// The first two bytes of each packet, by its direction.
var (
	magicToServer = [2]byte{0x12, 0x34}
	magicToClient = [2]byte{'A', 'B'}
)

// Packet codes, the first byte of the content of a packet. Body chunks to a server
// have no code.
const (
	codeForwardRequest = 2
	codeSendBodyChunk  = 3
	codeSendHeaders    = 4
	codeEndResponse    = 5
	codeGetBodyChunk   = 6
	codeShutdown       = 7
	codePing           = 8
	codeCPong          = 9
	codeCPing          = 10
)

// Codes of the attributes of a request. The codes up to maxStringAttribute that
// have no constant here stand for attributes with one string.
const (
	attributeQuery        = 5
	attributeRoute        = 6
	attributeNamed        = 10 // two strings, a name and a value
	attributeKeySize      = 11 // a 16-bit number
	attributeSecret       = 12
	attributeStoredMethod = 13
	maxStringAttribute    = 13
	attributesDone        = 0xff
)

// methods are the methods that have a numeric code, indexed by the code. Other
// methods are sent as storedMethod, with their name in attributeStoredMethod.
var methods = [...]string{
	1: "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE", "PROPFIND", "PROPPATCH", "MKCOL", "COPY",
	"MOVE", "LOCK", "UNLOCK", "ACL", "REPORT", "VERSION-CONTROL", "CHECKIN", "CHECKOUT", "UNCHECKOUT", "SEARCH", "MKWORKSPACE",
	"UPDATE", "LABEL", "MERGE", "BASELINE_CONTROL", "MKACTIVITY",
}

const (
	methodPost   = 4
	storedMethod = 0xff
)
