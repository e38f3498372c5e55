package membership

const (
	// maxPiggybackedUpdates bounds the updates on one message, to keep it within a packet.
	maxPiggybackedUpdates = 12
	// retransmitFactor, times the logarithm of the cluster's size, is SWIM's dissemination limit: an update is dropped once it was passed on
	// more often.
	retransmitFactor = 3
)

// selectGossip returns the updates to piggyback on a message: those that were passed on least often so far. A node that is not believed to
// be alive hears of that first, so that it can refute it.
func (d *Detector) selectGossip(to string) []Update {
	var updates []Update
	if p := d.peers[to]; p != nil && p.State >= Suspect {
		updates = append(updates, p.Update)
	}
	disseminationLimit := int(d.scaleByClusterSize(retransmitFactor))
	d.gossip.take(disseminationLimit, func(name string) bool {
		alreadyIncluded := name == to && len(updates) > 0
		if u := d.Lookup(name); u.Incarnation > 0 && !alreadyIncluded {
			updates = append(updates, u)
		}
		return len(updates) < maxPiggybackedUpdates
	})
	return updates
}

// gossipQueue orders the names of the nodes whose updates are still to be passed on: those that were passed on least often come first, and
// those that reached the dissemination limit are dropped. It holds names alone, so that the latest update on a node is what is sent. The
// zero value is empty and ready to use.
type gossipQueue struct {
	// latest has the sequence number of the valid entry of each name.
	latest map[string]uint64
	// byTransmits has the entries by how often they were passed on, each list in the order of its arrivals. Entries that are not the latest
	// of their name are skipped when they are reached.
	byTransmitCount [][]gossipEntry
	sequence        uint64 // of the newest entry
}

// gossipEntry is a name in the queue.
type gossipEntry struct {
	name     string
	sequence uint64
}

// takenEntry is an entry that was passed on, and how often that was so before.
type transmittedEntry struct {
	gossipEntry
	transmits int
}

// enqueue puts a name at the start of its dissemination, also if it was in the queue already.
func (q *gossipQueue) enqueue(name string) {
	if q.latest == nil {
		q.latest = map[string]uint64{}
		q.byTransmitCount = make([][]gossipEntry, 1)
	}
	q.sequence++
	q.latest[name] = q.sequence
	q.byTransmitCount[0] = append(q.byTransmitCount[0], gossipEntry{name: name, sequence: q.sequence})
}

// remove takes a name from the queue.
func (q *gossipQueue) remove(name string) { delete(q.latest, name) }

// take passes names to use, in order, until it returns false. Each name that was passed to it counts as passed on once more, and is dropped
// when that was more often than limit.
func (q *gossipQueue) take(limit int, visit func(name string) bool) {
	var taken []transmittedEntry
	more := true
	for transmits := 0; transmits < len(q.byTransmitCount) && more; transmits++ {
		entries := q.byTransmitCount[transmits]
		for len(entries) > 0 && more {
			entry := entries[0]
			entries = entries[1:]
			if q.latest[entry.name] != entry.sequence {
				continue
			}
			more = visit(entry.name)
			taken = append(taken, transmittedEntry{gossipEntry: entry, transmits: transmits})
		}
		q.byTransmitCount[transmits] = entries
	}
	for _, entry := range taken {
		q.requeue(entry, limit)
	}
}

// requeue puts back an entry that was passed on, or drops it.
func (q *gossipQueue) requeue(entry transmittedEntry, limit int) {
	transmits := entry.transmits + 1
	if transmits > limit {
		q.remove(entry.name)
		return
	}
	if transmits == len(q.byTransmitCount) {
		q.byTransmitCount = append(q.byTransmitCount, nil)
	}
	q.byTransmitCount[transmits] = append(q.byTransmitCount[transmits], entry.gossipEntry)
}
