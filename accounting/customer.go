package accounting

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxNameLength is the longest name that is kept unchanged: with it an encoded entry has 64 bytes.
const maxNameLength = 24

// CustomerName is the name of a customer, comparable and without a pointer. A name that is too long is cut and ends in a
// hash of the whole, which tells it apart.
type CustomerName struct {
	length uint8
	bytes  [maxNameLength]byte
}

// NewCustomerName returns the customer name of the given text.
func NewCustomerName(text []byte) CustomerName {
	var name CustomerName
	if len(text) <= maxNameLength {
		name.length = uint8(copy(name.bytes[:], text))
		return name
	}
	const (
		hashDigits = 8
		prefix     = maxNameLength - hashDigits - 1
		topBit     = 1 << 31 // set, so that the hash always has all its digits
	)
	copy(name.bytes[:prefix], text)
	name.bytes[prefix] = '~'
	hash := xxhash.Sum64(text)>>32 | topBit
	digits := strconv.AppendUint(name.bytes[prefix+1:prefix+1:maxNameLength], hash, 16)
	name.length = uint8(prefix + 1 + len(digits))
	return name
}

// String returns the name as text.
func (n CustomerName) String() string { return string(n.bytes[:n.length]) }

// otherCustomers is the name of the row of all customers without a row of their own.
const otherCustomers = "(others)"

// otherCustomersRow is the number of that row.
const otherCustomersRow = 0

// customerTable counts requests by customer in a bounded number of rows. A new customer who finds the table full takes the
// row of the customer of least weight without an open request, whose counts are added to those of all others, so that no
// count is lost. The newcomer inherits the weight, as in the space-saving sketch: frequent customers keep their row although
// there are ever new ones.
type customerTable struct {
	rows     []customerRow // the first is that of all others
	weights  []uint64      // by row: apart from the rows, as a newcomer looks at all of them
	byName   map[CustomerName]uint16
	capacity int // rows beside the first
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

// add appends a row and returns its number.
func (t *customerTable) add(row customerRow, weight uint64) uint16 {
	number := uint16(len(t.rows))
	t.rows = append(t.rows, row)
	t.weights = append(t.weights, weight)
	t.byName[row.name] = number
	return number
}

// full reports whether there is no room for another row.
func (t *customerTable) full() bool { return len(t.rows) > t.capacity }

// assign returns the row of a customer, and makes one or takes over another's if there is none.
func (t *customerTable) assign(name CustomerName) uint16 {
	if number, ok := t.byName[name]; ok {
		t.weights[number]++
		return number
	}
	if t.capacity == 0 || name.length == 0 {
		return otherCustomersRow
	}
	if !t.full() {
		return t.add(customerRow{name: name}, 1)
	}
	number := t.lightest()
	if number == otherCustomersRow {
		return otherCustomersRow
	}
	row := &t.rows[number]
	t.addToOthers(row.Counts)
	delete(t.byName, row.name)
	*row = customerRow{name: name}
	t.weights[number]++
	t.byName[name] = uint16(number)
	return uint16(number)
}

// lightest returns the row of least weight that has no open request, or that of all others if each has one.
func (t *customerTable) lightest() int {
	lightest := otherCustomersRow
	for i, weight := range t.weights[1:] {
		number := i + 1
		lighter := lightest == otherCustomersRow || weight < t.weights[lightest]
		if lighter && t.rows[number].Open == 0 {
			lightest = number
		}
	}
	return lightest
}

// addToOthers adds the counts of a customer who has no row any more.
func (t *customerTable) addToOthers(counts Counts) {
	others := &t.rows[otherCustomersRow]
	others.Counts = others.Plus(counts)
}
