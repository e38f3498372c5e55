package peerproto

import (
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	// MaxFrameBytes is the length of the longest frame that a Parser accepts.
	MaxFrameBytes = 8 << 20

	frameHeaderBytes = 4 // length of the frame
)

// Errors of what a peer sends. They may be wrapped.
var (
	ErrMalformed = errors.New("a frame that can't be read")
	ErrTooLarge  = errors.New("a frame that is too large")
)

// Append appends a batch to b as one frame, and returns the extended buffer.
func Append(b []byte, batch *Batch) []byte {
	start := len(b)
	b = append(b, make([]byte, frameHeaderBytes)...)
	b = appendBatch(b, batch)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-frameHeaderBytes))
	return b
}

// Parser cuts the bytes that are read from a connection into frames. Make it with NewParser. It is not safe for concurrent use.
type Parser struct {
	buffer []byte
	handle func(*Batch) error
}

// NewParser returns a Parser that passes each batch to handle. Its error ends the parsing, and Feed returns it.
func NewParser(handle func(*Batch) error) *Parser { return &Parser{handle: handle} }

// Buffered returns the number of bytes of the last frame, which is not complete yet.
func (p *Parser) Buffered() int { return len(p.buffer) }

// Feed takes the next bytes of the connection, which it copies, and handles the frames that are complete. It returns ErrTooLarge, an error that
// wraps ErrMalformed, or the error of the function that handles the batches; no more bytes may be fed then.
func (p *Parser) Feed(b []byte) error {
	p.buffer = append(p.buffer, b...)
	for len(p.buffer) >= frameHeaderBytes {
		length := int(binary.BigEndian.Uint32(p.buffer))
		if length > MaxFrameBytes {
			return ErrTooLarge
		}
		end := frameHeaderBytes + length
		if len(p.buffer) < end {
			return nil
		}
		batch, err := Parse(p.buffer[frameHeaderBytes:end])
		if err != nil {
			return fmt.Errorf("parsing a batch: %w", err)
		}
		if err := p.handle(batch); err != nil {
			return err
		}
		p.buffer = p.buffer[end:]
	}
	if len(p.buffer) == 0 {
		p.buffer = nil // its memory is not kept while the connection is idle
	}
	return nil
}
