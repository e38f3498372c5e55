package accounting

// Counts are the numbers of requests by what became of them. Received is always the sum of the others. The JSON keys are
// read by scripts.
type Counts struct {
	Received int64 `json:"taken"`
	Served   int64 `json:"served"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Open     int64 `json:"open"`
}

// Sum returns what Received must be: the sum of the other counts.
func (c Counts) Sum() int64 { return c.Served + c.Rejected + c.Failed + c.Open }

// balanced reports whether the counts add up.
func (c *Counts) balanced() bool { return c.Received == c.Sum() }

// Plus returns the sum of both.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Received: c.Received + other.Received,
		Served:   c.Served + other.Served,
		Rejected: c.Rejected + other.Rejected,
		Failed:   c.Failed + other.Failed,
		Open:     c.Open + other.Open,
	}
}

// Add adds n requests that were closed for a reason, or received if the reason is None. It leaves Open alone.
func (c *Counts) Add(reason Reason, n int64) {
	switch reason.Category() {
	case Served:
		c.Served += n
	case Rejected:
		c.Rejected += n
	case Failed:
		c.Failed += n
	default:
		c.Received += n
	}
}

// addOpened counts a request that was received.
func (c *Counts) addOpened() {
	c.Received++
	c.Open++
}

// addClosed counts a request that was open and is closed.
func (c *Counts) addClosed(reason Reason) {
	c.Add(reason, 1)
	c.Open--
}

// Reclassified returns the counts with one request moved from Failed, where requests of uncertain delivery are counted, to
// the category it turned out to belong to.
func (c Counts) Reclassified(to Category) Counts {
	c.Failed--
	switch to {
	case Served:
		c.Served++
	case Rejected:
		c.Rejected++
	default:
		c.Failed++
	}
	return c
}
