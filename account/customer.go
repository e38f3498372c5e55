package account

// customers is a bounded table of customers by name. Who comes when it is full takes the place of the least heavy one
// that has nothing open, whose figures go to those of the others: no figure is ever lost. Its weight is inherited, as in
// the space-saving sketch, so that who comes often stays although ever new ones come.
type customers struct {
	list   []customer // the first is all others
	byName map[Name]uint16
	most   int
}

type customer struct {
	Figures
	name   Name
	weight uint64
}

func (c *customers) init(most int) {
	c.most = most
	c.list = append(make([]customer, 0, most+1), customer{name: NameOf([]byte(others))})
	c.byName = make(map[Name]uint16, most)
}

// find is the number of a customer, who may take another's place.
func (c *customers) find(name Name) uint16 {
	if i, ok := c.byName[name]; ok {
		c.list[i].weight++
		return i
	}
	if c.most == 0 || name.length == 0 {
		return 0
	}
	if len(c.list) <= c.most {
		c.list = append(c.list, customer{name: name, weight: 1})
		i := uint16(len(c.list) - 1)
		c.byName[name] = i
		return i
	}
	least := 0
	for i := 1; i < len(c.list); i++ {
		if c.list[i].Open == 0 && (least == 0 || c.list[i].weight < c.list[least].weight) {
			least = i
		}
	}
	if least == 0 {
		return 0 // all have something open
	}
	old := &c.list[least]
	c.list[0].Figures = c.list[0].Plus(old.Figures)
	delete(c.byName, old.name)
	*old = customer{name: name, weight: old.weight + 1}
	c.byName[name] = uint16(least)
	return uint16(least)
}
