// Package peerproto has the messages that boxes of a cluster send each other as bytes, by the schema in boxes.proto, and back.
package peerproto

import (
	"encoding/binary"
	"errors"
	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/membership"
	"frosthub/recovery"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

const listsMost = 8 // of a hello; two are in use

// MaxFrameBytes is how many bytes of a frame are taken.
const MaxFrameBytes = 8 << 20

// Errors of what a peer sends.
var (
	ErrMalformed = errors.New("a frame that can't be read")
	ErrTooLarge  = errors.New("a frame that is too large")
)

// Hello says who sends.
type Hello struct {
	Cluster, From string
	Incarnation   uint64
	Lists         []uint64 // digests of the lists of members that it goes by
	Seq           uint64   // its last durable record
	Mark          uint64   // drawn anew by each process
	QueryState    bool     // what do you remember of me?
	Features      uint64   // what its program knows of: see package recovery
}

// Batch is what one frame carries.
type Batch struct {
	Hello       *Hello
	Members     []membership.Message
	Claims      []failover.Message
	PeerState   *recovery.Answer
	PageRequest *failover.PageRequest // tell me what I may have lost
	Page        *failover.Page
}

func uintField(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func boolField(b []byte, n protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return uintField(b, n, 1)
}

func fixedField(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), v)
}

func doubleField(b []byte, n protowire.Number, v float64) []byte {
	return fixedField(b, n, math.Float64bits(v))
}

func bytesField[T ~string | ~[]byte](b []byte, n protowire.Number, v T) []byte {
	if len(v) == 0 {
		return b
	}
	return part(b, n, v)
}

// part appends a field that stands also where it is empty, as each of a list does.
func part[T ~string | ~[]byte](b []byte, n protowire.Number, v T) []byte {
	return append(protowire.AppendVarint(protowire.AppendTag(b, n, protowire.BytesType), uint64(len(v))), v...)
}

// Append appends a frame.
func Append(b []byte, batch *Batch) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	if h := batch.Hello; h != nil {
		x := uintField(bytesField(bytesField(nil, 1, h.Cluster), 2, h.From), 3, h.Incarnation)
		for _, d := range h.Lists {
			x = protowire.AppendFixed64(protowire.AppendTag(x, 4, protowire.Fixed64Type), d)
		}
		x = uintField(x, 5, h.Seq)
		b = part(b, 1, uintField(boolField(fixedField(x, 6, h.Mark), 7, h.QueryState), 8, h.Features))
	}
	var room [512]byte
	for i := range batch.Members {
		b = part(b, 2, appendMember(room[:0], &batch.Members[i]))
	}
	for i := range batch.Claims {
		b = part(b, 3, appendClaim(room[:0], &batch.Claims[i]))
	}
	if k := batch.PeerState; k != nil {
		b = part(b, 4, fixedField(boolField(uintField(uintField(nil, 1, k.Incarnation), 2, k.Seq), 3, k.Empty), 4, k.Mark))
	}
	if batch.PageRequest != nil {
		b = part(b, 5, appendTelling(nil, batch.PageRequest))
	}
	if batch.Page != nil {
		b = part(b, 6, appendPage(nil, batch.Page))
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

func appendMember(b []byte, m *membership.Message) []byte {
	b = bytesField(uintField(uintField(b, 1, uint64(m.Kind)), 2, m.Number), 3, m.Target)
	for _, u := range m.Updates {
		b = part(b, 4, uintField(uintField(uintField(bytesField(nil, 1, u.Name), 2, u.Incarnation), 3, u.Refutation), 4, uint64(u.State)))
	}
	return b
}

func ballot(v failover.Ballot) []byte {
	return uintField(bytesField(uintField(nil, 1, v.Number), 2, v.Node), 3, v.Incarnation)
}

func appendClaim(b []byte, m *failover.Message) []byte {
	b = bytesField(uintField(b, 1, uint64(m.Kind)), 2, m.Key[:])
	b = boolField(bytesField(b, 3, ballot(m.Ballot)), 4, m.Force)
	b = uintField(uintField(b, 5, uint64(m.Made)), 6, uint64(m.Vote))
	b = bytesField(b, 7, ballot(m.Holder))
	b = bytesField(uintField(b, 8, uint64(m.Outcome)), 9, m.Result)
	if w := m.Work; w != nil {
		x := bytesField(bytesField(nil, 1, w.Handler), 2, w.Body)
		x = uintField(uintField(x, 3, uint64(w.Left)), 4, uint64(w.Cost))
		x = boolField(doubleField(doubleField(doubleField(x, 5, w.Size), 6, w.Rank), 7, w.Weight), 8, w.Replayable)
		b = part(b, 10, x)
	}
	b = uintField(uintField(boolField(b, 11, m.Replayable), 12, m.Run), 13, m.Notice)
	for _, f := range m.Fences {
		b = part(b, 14, appendFence(nil, f))
	}
	return b
}

// fields calls f for each field; those of a kind that f has no use for are skipped.
func fields(b []byte, f func(n protowire.Number, v uint64, p []byte) error) error {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return ErrMalformed
		}
		b = b[size:]
		var v uint64
		var p []byte
		switch kind {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			p, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, kind, b)
		}
		if size < 0 {
			return ErrMalformed
		}
		b = b[size:]
		if err := f(n, v, p); err != nil {
			return err
		}
	}
	return nil
}

// Parser cuts frames out of what is read.
type Parser struct {
	buf  []byte
	each func(*Batch) error
}

// NewParser hands each batch to a function, which may end the reading by an error.
func NewParser(each func(*Batch) error) *Parser { return &Parser{each: each} }

// Held is how many bytes of a frame are not whole.
func (p *Parser) Held() int { return len(p.buf) }

// Feed takes what was read.
func (p *Parser) Feed(b []byte) error {
	p.buf = append(p.buf, b...)
	for len(p.buf) >= 4 {
		n := int(binary.BigEndian.Uint32(p.buf))
		if n > MaxFrameBytes {
			return ErrTooLarge
		}
		if len(p.buf) < 4+n {
			return nil
		}
		batch, err := Parse(p.buf[4 : 4+n])
		if err == nil {
			err = p.each(batch)
		}
		if err != nil {
			return err
		}
		p.buf = p.buf[4+n:]
	}
	if len(p.buf) == 0 {
		p.buf = nil
	}
	return nil
}

// Parse reads a batch. What it returns shares nothing with b.
func Parse(b []byte) (*Batch, error) {
	batch := &Batch{}
	err := fields(b, func(n protowire.Number, _ uint64, p []byte) error {
		switch n {
		case 1:
			h := &Hello{}
			batch.Hello = h
			return fields(p, func(n protowire.Number, v uint64, p []byte) error {
				switch n {
				case 1:
					h.Cluster = string(p)
				case 2:
					h.From = string(p)
				case 3:
					h.Incarnation = v
				case 4:
					if len(h.Lists) < listsMost {
						h.Lists = append(h.Lists, v)
					}
				case 5:
					h.Seq = v
				case 6:
					h.Mark = v
				case 7:
					h.QueryState = v == 1
				case 8:
					h.Features = v
				}
				return nil
			})
		case 2:
			m, err := parseMember(p)
			batch.Members = append(batch.Members, m)
			return err
		case 3:
			m, err := parseClaim(p)
			batch.Claims = append(batch.Claims, m)
			return err
		case 4:
			k := &recovery.Answer{}
			batch.PeerState = k
			return fields(p, func(n protowire.Number, v uint64, _ []byte) error {
				switch n {
				case 1:
					k.Incarnation = v
				case 2:
					k.Seq = v
				case 3:
					k.Empty = v == 1
				case 4:
					k.Mark = v
				}
				return nil
			})
		case 5:
			t, err := parseTelling(p)
			batch.PageRequest = &t
			return err
		case 6:
			page, err := parsePage(p)
			batch.Page = &page
			return err
		}
		return nil
	})
	return batch, err
}

func parseMember(b []byte) (m membership.Message, err error) {
	err = fields(b, func(n protowire.Number, v uint64, p []byte) error {
		switch n {
		case 1:
			m.Kind = membership.MessageKind(v)
		case 2:
			m.Number = v
		case 3:
			m.Target = string(p)
		case 4:
			var u membership.Update
			if err := fields(p, func(n protowire.Number, v uint64, p []byte) error {
				switch n {
				case 1:
					u.Name = string(p)
				case 2:
					u.Incarnation = v
				case 3:
					u.Refutation = v
				case 4:
					u.State = membership.State(min(v, uint64(membership.Left)))
				}
				return nil
			}); err != nil {
				return err
			}
			m.Updates = append(m.Updates, u)
		}
		return nil
	})
	return m, err
}

func parseBallot(b []byte) (out failover.Ballot, err error) {
	err = fields(b, func(n protowire.Number, v uint64, p []byte) error {
		switch n {
		case 1:
			out.Number = v
		case 2:
			out.Node = string(p)
		case 3:
			out.Incarnation = v
		}
		return nil
	})
	return out, err
}

func parseClaim(b []byte) (m failover.Message, err error) {
	err = fields(b, func(n protowire.Number, v uint64, p []byte) (err error) {
		switch n {
		case 1:
			m.Kind = failover.MessageKind(v)
		case 2:
			m.Key, err = parseKey(p)
		case 3:
			m.Ballot, err = parseBallot(p)
		case 4:
			m.Force = v == 1
		case 5:
			m.Made = time.Duration(v)
		case 6:
			m.Vote = failover.Vote(v)
		case 7:
			m.Holder, err = parseBallot(p)
		case 8:
			m.Outcome = idempotency.EntryKind(v)
		case 9:
			m.Result = append([]byte(nil), p...)
		case 10:
			w := &failover.Work{}
			m.Work = w
			err = fields(p, func(n protowire.Number, v uint64, p []byte) error {
				switch n {
				case 1:
					w.Handler = string(p)
				case 2:
					w.Body = append([]byte(nil), p...)
				case 3:
					w.Left = int64(v)
				case 4:
					w.Cost = int64(v)
				case 5:
					w.Size = math.Float64frombits(v)
				case 6:
					w.Rank = math.Float64frombits(v)
				case 7:
					w.Weight = math.Float64frombits(v)
				case 8:
					w.Replayable = v == 1
				}
				return nil
			})
		case 11:
			m.Replayable = v == 1
		case 12:
			m.Run = v
		case 13:
			m.Notice = v
		case 14:
			var f failover.Fence
			f, err = parseFence(p)
			m.Fences = append(m.Fences, f)
		}
		return err
	})
	return m, err
}
