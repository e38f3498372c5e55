package accounting

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxNameLength is the length in bytes of the longest name that is stored unchanged. With this length an encoded entry
// takes 64 bytes.
const maxNameLength = 24

// CustomerName is the name of a customer. It is comparable and contains no pointers. A name that is too long is
// truncated and ends in a hash of the whole name, which distinguishes it from other names with the same beginning.
type CustomerName struct {
	length uint8
	bytes  [maxNameLength]byte
}

// NewCustomerName converts text to a customer name. It truncates text that is longer than maxNameLength.
func NewCustomerName(text []byte) CustomerName {
	var name CustomerName
	if len(text) <= maxNameLength {
		name.length = uint8(copy(name.bytes[:], text))
		return name
	}
	const (
		hashDigits = 8
		prefix     = maxNameLength - hashDigits - 1
		topBit     = 1 << 31 // always set, so that the hash has eight hexadecimal digits
	)
	copy(name.bytes[:prefix], text)
	name.bytes[prefix] = '~'
	hash := xxhash.Sum64(text)>>32 | topBit
	digits := strconv.AppendUint(name.bytes[prefix+1:prefix+1:maxNameLength], hash, 16)
	name.length = uint8(prefix + 1 + len(digits))
	return name
}

// String returns the name as text, truncated if the original was too long.
func (n CustomerName) String() string { return string(n.bytes[:n.length]) }

// otherCustomers is the name of the row that counts all customers without a row of their own.
const otherCustomers = "(others)"

// otherCustomersRow is the index of the row named otherCustomers.
const otherCustomersRow = 0

// customerTable counts requests by customer in a bounded number of rows with the space-saving algorithm. When the table
// is full, a new customer replaces the customer that has the lowest weight and no open request. The counts of the
// replaced customer are added to the row of all others, so that no count is lost. The new customer inherits the weight,
// so that frequent customers keep their rows while new customers keep arriving.
type customerTable struct {
	rows     []customerRow // the first row counts all customers without a row of their own
	weights  []uint64      // by row; a separate slice because replacing a customer scans all weights
	byName   map[CustomerName]uint16
	capacity int // maximum number of rows, not counting the first
}

type customerRow struct {
	Counts
	name CustomerName
}

func newCustomerTable(capacity int) customerTable {
	t := customerTable{
		rows:     make([]customerRow, 1, capacity+1),
		weights:  make([]uint64, 1, capacity+1),
		byName:   make(map[CustomerName]uint16, capacity),
		capacity: capacity,
	}
	t.rows[otherCustomersRow].name = NewCustomerName([]byte(otherCustomers))
	return t
}

// add appends a row and returns its index.
func (t *customerTable) add(row customerRow, weight uint64) uint16 {
	index := uint16(len(t.rows))
	t.rows = append(t.rows, row)
	t.weights = append(t.weights, weight)
	t.byName[row.name] = index
	return index
}

// full reports whether the table has no room for another row.
func (t *customerTable) full() bool { return len(t.rows) > t.capacity }

// assign returns the index of the row that counts a customer. A customer without a row gets a new one or replaces
// another customer. If neither is possible, assign returns the row of all others.
func (t *customerTable) assign(name CustomerName) uint16 {
	if index, ok := t.byName[name]; ok {
		t.weights[index]++
		return index
	}
	if t.capacity == 0 || name.length == 0 {
		return otherCustomersRow
	}
	if !t.full() {
		return t.add(customerRow{name: name}, 1)
	}
	index := t.evictionCandidate()
	if index == otherCustomersRow {
		return otherCustomersRow
	}
	row := &t.rows[index]
	t.addToOthers(row.Counts)
	delete(t.byName, row.name)
	*row = customerRow{name: name}
	t.weights[index]++
	t.byName[name] = uint16(index)
	return uint16(index)
}

// evictionCandidate returns the index of the row with the lowest weight among the customers without open requests, or
// otherCustomersRow if every customer has an open request.
func (t *customerTable) evictionCandidate() int {
	candidate := otherCustomersRow
	for i, weight := range t.weights[1:] {
		index := i + 1
		lighter := candidate == otherCustomersRow || weight < t.weights[candidate]
		if lighter && t.rows[index].Open == 0 {
			candidate = index
		}
	}
	return candidate
}

// addToOthers adds the counts of a customer that loses its row to the row of all others.
func (t *customerTable) addToOthers(counts Counts) {
	others := &t.rows[otherCustomersRow]
	others.Counts = others.Plus(counts)
}
