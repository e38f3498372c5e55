package peerproto

import (
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	// MaxFrameBytes is the length of the longest frame that a Parser accepts, in bytes, without its header.
	MaxFrameBytes = 8 << 20

	frameHeaderBytes = 4 // size of the length that precedes a frame
)

// Errors for invalid input of a peer. They may be wrapped.
var (
	ErrMalformed = errors.New("malformed frame")
	ErrTooLarge  = errors.New("frame exceeds the size limit")
)

// Append appends a batch to b as one frame, and returns the extended buffer.
func Append(b []byte, batch *Batch) []byte {
	start := len(b)
	b = append(b, make([]byte, frameHeaderBytes)...)
	b = appendBatch(b, batch)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-frameHeaderBytes))
	return b
}

// Parser splits the input of a connection into frames and decodes them. Use NewParser to create one. It is not safe for concurrent use.
type Parser struct {
	buffer []byte
	handle func(*Batch) error
}

// NewParser returns a Parser that passes each batch to handle. An error of handle ends the parsing, and Feed returns it.
func NewParser(handle func(*Batch) error) *Parser { return &Parser{handle: handle} }

// Buffered returns the number of bytes kept of a frame that is not complete yet.
func (p *Parser) Buffered() int { return len(p.buffer) }

// Feed copies the next input of the connection and handles all complete frames. It returns ErrTooLarge, an error that wraps ErrMalformed, or an
// error of the function that handles the batches. Feed must not be called again after an error.
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
		p.buffer = nil // frees the memory while the connection is idle
	}
	return nil
}
