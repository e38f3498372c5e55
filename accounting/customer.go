package accounting

// customerTable is a bounded table of customers by name. Who comes when it is full takes the place of the least heavy one
// that has nothing open, whose figures go to those of the others: no figure is ever lost. Its weight is inherited, as in
// the space-saving sketch, so that who comes often stays although ever new ones come.
type customerTable struct {
	list     []customerRow // the first is all others
	weights  []uint64      // of the same: apart, as a newcomer looks at all
	byName   map[CustomerName]uint16
	capacity int
}

type customerRow struct {
	Counts
	name CustomerName
}

// add gives a customer a place of its own.
func (c *customerTable) add(x customerRow, weight uint64) uint16 {
	i := uint16(len(c.list))
	c.list, c.weights = append(c.list, x), append(c.weights, weight)
	c.byName[x.name] = i
	return i
}

func (c *customerTable) init(most int) {
	c.capacity = most
	c.list = append(make([]customerRow, 0, most+1), customerRow{name: NewCustomerName([]byte(otherCustomers))})
	c.weights = append(make([]uint64, 0, most+1), 0)
	c.byName = make(map[CustomerName]uint16, most)
}

// find is the number of a customer, who may take another's place.
func (c *customerTable) find(name CustomerName) uint16 {
	if i, ok := c.byName[name]; ok {
		c.weights[i]++
		return i
	}
	if c.capacity == 0 || name.length == 0 {
		return 0
	}
	if len(c.list) <= c.capacity {
		return c.add(customerRow{name: name}, 1)
	}
	least := 0
	for i, w := range c.weights[1:] {
		if (least == 0 || w < c.weights[least]) && c.list[i+1].Open == 0 {
			least = i + 1
		}
	}
	if least == 0 {
		return 0 // all have something open
	}
	old := &c.list[least]
	c.list[0].Counts = c.list[0].Plus(old.Counts)
	delete(c.byName, old.name)
	*old = customerRow{name: name}
	c.weights[least]++
	c.byName[name] = uint16(least)
	return uint16(least)
}
