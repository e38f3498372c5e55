package accounting

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// Cells are the most detailed counts of the ledger. They are a flat array with one row for each handler and front end; a
// row has one cell for each reason. The cell of NoReason counts the requests received, every other cell counts the
// requests closed for its reason.

// rowIndex returns the index of the row for a handler and front end.
func rowIndex(handler uint16, frontend Frontend) int {
	return int(handler)*frontendCount + int(frontend)
}

// cellIndex returns the index of the cell for a reason in a row.
func cellIndex(row int, reason Reason) int { return row*reasonCount + int(reason) }

// rowCells returns the cells of a row.
func rowCells(cells []int64, row int) []int64 {
	return cells[row*reasonCount : (row+1)*reasonCount]
}

// sumCells computes the counts of a row from its cells.
func sumCells(cells []int64, row int) Counts {
	var counts Counts
	for reason, n := range rowCells(cells, row) {
		counts.Add(Reason(reason), n)
	}
	counts.Open = counts.Received - counts.Sum()
	return counts
}

// rowName returns the name of a row for the text of a mismatch.
func (l *Ledger) rowName(row int) string {
	return l.handlers[row/frontendCount] + " over " + Frontend(row%frontendCount).String()
}

// Layout of the key of an encoded cell, in bits: the handler in the high bits, then the front end, then the reason.
const (
	keyHandlerShift  = 12
	keyFrontendShift = 8
	keyFrontendMask  = 0xf
	keyReasonMask    = 0xff
)

// maxCellSize is the largest size of an encoded cell in bytes. A cell is encoded as the varints of its key and its
// count.
const maxCellSize = 14

// appendCells appends a message Cells with the cells that are not zero.
func appendCells(b []byte, number protowire.Number, cells []int64) []byte {
	return appendMessage(b, number, func(b []byte) []byte {
		return appendMessage(b, cellsPairs, func(b []byte) []byte {
			for cell, n := range cells {
				if n == 0 {
					continue
				}
				row, reason := cell/reasonCount, cell%reasonCount
				handler, frontend := row/frontendCount, row%frontendCount
				key := uint64(handler)<<keyHandlerShift | uint64(frontend)<<keyFrontendShift | uint64(reason)
				b = protowire.AppendVarint(b, key)
				b = protowire.AppendVarint(b, uint64(n))
			}
			return b
		})
	})
}

// forEachCell calls f for each cell of an encoded message Cells and stops at the first error. It returns ErrCorrupt if
// the message is not valid. The message does not contain the number of handlers, so the cell index may exceed the cells
// of the ledger.
func forEachCell(b []byte, f func(cell int, n int64) error) error {
	return forEachField(b, func(pairs field) error {
		for rest := pairs.bytes; len(rest) > 0; {
			key, keySize := protowire.ConsumeVarint(rest)
			if keySize < 0 {
				return ErrCorrupt
			}
			n, size := protowire.ConsumeVarint(rest[keySize:])
			if size < 0 || n > math.MaxInt64 {
				return ErrCorrupt
			}
			rest = rest[keySize+size:]
			cell, err := decodeCellKey(key)
			if err != nil {
				return err
			}
			if err := f(cell, int64(n)); err != nil {
				return err
			}
		}
		return nil
	})
}

// decodeCellKey returns the cell index of an encoded key, or ErrCorrupt if the handler, the front end or the reason is
// not valid.
func decodeCellKey(key uint64) (int, error) {
	handler := key >> keyHandlerShift
	frontend := key >> keyFrontendShift & keyFrontendMask
	reason := key & keyReasonMask
	if handler >= maxHandlerRows || frontend >= frontendCount || reason >= reasonCount {
		return 0, ErrCorrupt
	}
	if reason != uint64(NoReason) && Reason(reason).Category() == 0 {
		return 0, ErrCorrupt
	}
	return cellIndex(rowIndex(uint16(handler), Frontend(frontend)), Reason(reason)), nil
}

// addCells adds the counts of an encoded message Cells to cells. It returns ErrCorrupt if the message is not valid or
// has a cell beyond the end of cells.
func addCells(cells []int64, b []byte) error {
	return forEachCell(b, func(cell int, n int64) error {
		if cell >= len(cells) {
			return ErrCorrupt
		}
		cells[cell] += n
		return nil
	})
}
