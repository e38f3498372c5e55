package accounting

// Counts holds the number of requests received, the numbers of those closed in each category, and the number of those
// still open. Received equals the sum of the other counts. Scripts read the JSON keys, so the keys must not change.
type Counts struct {
	Received int64 `json:"taken"`
	Served   int64 `json:"served"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Open     int64 `json:"open"`
}

// Sum returns the sum of all counts other than Received. It equals Received if the counts are correct.
func (c Counts) Sum() int64 { return c.Served + c.Rejected + c.Failed + c.Open }

// balanced reports whether Received equals the sum of the other counts.
func (c *Counts) balanced() bool { return c.Received == c.Sum() }

// Plus returns the sum of c and other.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Received: c.Received + other.Received,
		Served:   c.Served + other.Served,
		Rejected: c.Rejected + other.Rejected,
		Failed:   c.Failed + other.Failed,
		Open:     c.Open + other.Open,
	}
}

// Add adds n requests to the category of the reason, or to Received if the reason has no category, as is the case for
// NoReason. It does not change Open.
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

// addOpened counts a request that was received and is open.
func (c *Counts) addOpened() {
	c.Received++
	c.Open++
}

// addClosed counts an open request as closed for the given reason.
func (c *Counts) addClosed(reason Reason) {
	c.Add(reason, 1)
	c.Open--
}

// Reclassified returns the counts with one request moved from Failed to the given category. Requests whose delivery is
// unknown are counted as Failed; Reclassified corrects the counts once the actual category is determined.
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
