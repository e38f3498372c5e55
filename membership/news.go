package membership

// item is a box of which there is news.
type item struct {
	name string
	born uint64 // one that is not the name's last is of older news
}

// news are the boxes of which something is to be passed on: what was passed on least goes first, and what was often enough is dropped.
// The zero value has none.
type news struct {
	last  map[string]uint64
	times [][]item // by how often they were passed on, in the order in which they came there
	born  uint64
}

// fresh begins anew with a box.
func (n *news) fresh(name string) {
	if n.last == nil {
		n.last, n.times = map[string]uint64{}, make([][]item, 1)
	}
	n.born++
	n.last[name] = n.born
	n.times[0] = append(n.times[0], item{name, n.born})
}

// pick gives each box to take until that says no; those given were passed on once more, and one that was so more than most times goes.
func (n *news) pick(most int, take func(name string) bool) {
	more := true
	var given []int
	var items []item
	for times := 0; times < len(n.times) && more; times++ {
		all := n.times[times]
		for len(all) > 0 && more {
			i := all[0]
			all = all[1:]
			if n.last[i.name] != i.born {
				continue
			}
			more = take(i.name)
			given, items = append(given, times), append(items, i)
		}
		n.times[times] = all
	}
	for k, i := range items {
		times := given[k] + 1
		if times > most {
			delete(n.last, i.name)
			continue
		}
		if times == len(n.times) {
			n.times = append(n.times, nil)
		}
		n.times[times] = append(n.times[times], i)
	}
}
