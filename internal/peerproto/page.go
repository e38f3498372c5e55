package peerproto

import (
	"encoding/binary"
	"frosthub/failover"
	"frosthub/idempotency"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	hashesMost = 64 // of a filter; ours have 17
	wordBytes  = 8
	wordBits   = 64
)

func appendCursor(b []byte, c failover.Cursor) []byte {
	return uintField(uintField(uintField(uintField(b, 1, uint64(c.Step)), 2, c.Position), 3, c.End), 4, c.Segment)
}

func appendTelling(b []byte, t *failover.PageRequest) []byte {
	return bytesField(uintField(b, 1, t.Incarnation), 2, appendCursor(nil, t.From))
}

func appendFence(b []byte, f failover.Fence) []byte {
	return uintField(bytesField(b, 1, f.Node), 2, f.Incarnation)
}

func appendPage(b []byte, p *failover.Page) []byte {
	b = fixedField(uintField(b, 1, p.Incarnation), 2, p.Configuration)
	b = bytesField(bytesField(b, 3, appendCursor(nil, p.From)), 4, appendCursor(nil, p.Next))
	b = boolField(boolField(b, 5, p.Complete), 9, p.FencesSupported)
	for _, t := range p.Records {
		b = part(b, 6, bytesField(uintField(bytesField(nil, 1, t.Key[:]), 2, uint64(t.Kind)), 3, t.Result))
	}
	for _, h := range p.InFlight {
		x := bytesField(bytesField(nil, 1, h.Key[:]), 2, ballot(h.Ballot))
		x = uintField(uintField(x, 3, uint64(h.Made)), 4, uint64(h.Left))
		b = part(b, 7, uintField(uintField(x, 5, h.Run), 6, h.Notice))
	}
	for _, a := range p.Expired {
		x := uintField(uintField(nil, 1, a.Segment), 2, uint64(a.Until))
		x = uintField(uintField(x, 3, uint64(a.Filter.Cap())), 4, uint64(a.Filter.K()))
		words := a.Filter.BitSet().Words()
		x = protowire.AppendVarint(protowire.AppendTag(x, 5, protowire.BytesType), uint64(len(words)*wordBytes))
		for _, w := range words {
			x = binary.LittleEndian.AppendUint64(x, w)
		}
		b = part(b, 8, x)
	}
	return b
}

func parseCursor(b []byte) (c failover.Cursor, err error) {
	err = fields(b, func(n protowire.Number, v uint64, _ []byte) error {
		switch n {
		case 1:
			if v > uint64(failover.StepDone) {
				return ErrMalformed
			}
			c.Step = failover.Step(v)
		case 2:
			c.Position = v
		case 3:
			c.End = v
		case 4:
			c.Segment = v
		}
		return nil
	})
	return c, err
}

func parseTelling(b []byte) (t failover.PageRequest, err error) {
	err = fields(b, func(n protowire.Number, v uint64, p []byte) (err error) {
		switch n {
		case 1:
			t.Incarnation = v
		case 2:
			t.From, err = parseCursor(p)
		}
		return err
	})
	return t, err
}

func parseFence(b []byte) (f failover.Fence, err error) {
	err = fields(b, func(n protowire.Number, v uint64, p []byte) error {
		switch n {
		case 1:
			f.Node = string(p)
		case 2:
			f.Incarnation = v
		}
		return nil
	})
	return f, err
}

func parseKey(p []byte) (key idempotency.Key, err error) {
	if len(p) != len(key) {
		return key, ErrMalformed
	}
	return idempotency.Key(p), nil
}

func parsePage(b []byte) (p failover.Page, err error) {
	err = fields(b, func(n protowire.Number, v uint64, field []byte) (err error) {
		switch n {
		case 1:
			p.Incarnation = v
		case 2:
			p.Configuration = v
		case 3:
			p.From, err = parseCursor(field)
		case 4:
			p.Next, err = parseCursor(field)
		case 5:
			p.Complete = v == 1
		case 6:
			var t idempotency.Record
			err = fields(field, func(n protowire.Number, v uint64, p []byte) (err error) {
				switch n {
				case 1:
					t.Key, err = parseKey(p)
				case 2:
					if t.Kind = idempotency.EntryKind(v); t.Kind != idempotency.EntryResult && t.Kind != idempotency.EntryFailed && t.Kind != idempotency.EntryResultTooLong && t.Kind != 0 {
						err = ErrMalformed
					}
				case 3:
					t.Result = append([]byte(nil), p...)
				}
				return err
			})
			p.Records = append(p.Records, t)
		case 7:
			var h failover.InFlight
			err = fields(field, func(n protowire.Number, v uint64, p []byte) (err error) {
				switch n {
				case 1:
					h.Key, err = parseKey(p)
				case 2:
					h.Ballot, err = parseBallot(p)
				case 3:
					h.Made = time.Duration(v)
				case 4:
					h.Left = time.Duration(v)
				case 5:
					h.Run = v
				case 6:
					h.Notice = v
				}
				return err
			})
			p.InFlight = append(p.InFlight, h)
		case 8:
			var a idempotency.ExpiredKeys
			a, err = parseAged(field)
			p.Expired = append(p.Expired, a)
		case 9:
			p.FencesSupported = v == 1
		}
		return err
	})
	return p, err
}

// parseAged reads prints whose sizes fit each other: what is taken is no larger than what was sent.
func parseAged(b []byte) (a idempotency.ExpiredKeys, err error) {
	var bits, hashes uint64
	var words []byte
	err = fields(b, func(n protowire.Number, v uint64, p []byte) error {
		switch n {
		case 1:
			a.Segment = v
		case 2:
			a.Until = time.Duration(v)
		case 3:
			bits = v
		case 4:
			hashes = v
		case 5:
			words = p
		}
		return nil
	})
	if err != nil {
		return a, err
	}
	if n := uint64(len(words)); n%wordBytes != 0 || bits == 0 || hashes == 0 || hashes > hashesMost || bits > n/wordBytes*wordBits || bits+wordBits <= n/wordBytes*wordBits {
		return a, ErrMalformed
	}
	set := make([]uint64, len(words)/wordBytes)
	for i := range set {
		set[i] = binary.LittleEndian.Uint64(words[i*wordBytes:])
	}
	a.Filter = bloom.FromWithM(set, uint(bits), uint(hashes))
	return a, nil
}
