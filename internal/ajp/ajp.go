// Package ajp reads and writes the packets of AJP/1.3 (AJPv13): as a server that
// front ends send requests to, and as a client that sends them on. It turns bytes
// into messages and back, and knows no sockets.
package ajp

import "errors"

// Sizes, in bytes.
const (
	DefaultPacketSize = 8 << 10  // of a packet with its header, where nothing else is agreed
	MaxPacketSize     = 64 << 10 // of a packet with its header
	MaxBodySize       = 2 << 10  // of a request body, by the protocol of the deployment
	MaxResultSize     = 64 << 10 // of a response body that a client takes
)

// maxHeaders bounds the headers of a message: those known have a dozen.
const maxHeaders = 128

// Errors of a stream that can't be followed any further.
var (
	ErrMagic            = errors.New("no packet of AJP")
	ErrPacketTooLong    = errors.New("a packet that is longer than agreed")
	ErrUnexpectedPacket = errors.New("a packet of a kind that does not belong here")
	ErrPipelined        = errors.New("a packet before the last req is answered")
	ErrHeaders          = errors.New("headers or attributes that can't be read")
	ErrBody             = errors.New("a body that is not as it was announced")
	ErrOutOfOrder       = errors.New("an answer whose parts do not follow each other")
)

// The first two bytes of each packet, by where it goes.
var (
	magicToServer = [2]byte{0x12, 0x34}
	magicToClient = [2]byte{'A', 'B'}
)

// Codes of packets, the first byte of their content. Body chunks to a server have
// none.
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

// Codes of the attributes of a request. Those up to maxStringAttribute that are not
// named here hold a string.
const (
	attributeQuery        = 5
	attributeRoute        = 6
	attributeNamed        = 10 // a name and a value
	attributeKeySize      = 11 // a number
	attributeSecret       = 12
	attributeStoredMethod = 13
	maxStringAttribute    = 13
	attributesDone        = 0xff
)

// Methods that are coded as a number, from 1. Others are storedMethod, and their
// name is an attribute.
var methods = [...]string{
	1: "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE", "PROPFIND", "PROPPATCH", "MKCOL", "COPY",
	"MOVE", "LOCK", "UNLOCK", "ACL", "REPORT", "VERSION-CONTROL", "CHECKIN", "CHECKOUT", "UNCHECKOUT", "SEARCH", "MKWORKSPACE",
	"UPDATE", "LABEL", "MERGE", "BASELINE_CONTROL", "MKACTIVITY",
}

const (
	methodPost   = 4
	storedMethod = 0xff
)
