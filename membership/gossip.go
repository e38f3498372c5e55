package membership

const (
	// maxPiggybackedUpdates limits the updates on one message so that the message fits into one packet.
	maxPiggybackedUpdates = 12
	// retransmitFactor, times one plus the binary logarithm of the cluster size, rounded down, is SWIM's dissemination limit: an update that
	// was transmitted more often is dropped.
	retransmitFactor = 3
)

// selectGossip returns the updates to piggyback on a message: those with the fewest transmissions so far. If the receiver is recorded as
// suspected, dead or left, that update comes first, so that the receiver can refute it.
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

// gossipQueue orders the names of the nodes whose updates are still being disseminated. Names with the fewest transmissions come first;
// those over the dissemination limit are dropped. The queue holds names only, so that the sender looks up the latest update on a node at
// the time of sending. The zero value is empty and ready to use.
type gossipQueue struct {
	// latest maps each name to the sequence number of its valid entry.
	latest map[string]uint64
	// byTransmitCount holds the entries by their number of transmissions, each list in the order of insertion. An entry that is not the
	// latest of its name is skipped.
	byTransmitCount [][]gossipEntry
	sequence        uint64 // sequence number of the newest entry
}

// gossipEntry is a name in a gossipQueue.
type gossipEntry struct {
	name     string
	sequence uint64
}

// transmittedEntry is an entry that was just transmitted, with the number of its earlier transmissions.
type transmittedEntry struct {
	gossipEntry
	transmits int
}

// enqueue adds a name with no transmissions, and resets the count of one that is in the queue already.
func (q *gossipQueue) enqueue(name string) {
	if q.latest == nil {
		q.latest = map[string]uint64{}
		q.byTransmitCount = make([][]gossipEntry, 1)
	}
	q.sequence++
	q.latest[name] = q.sequence
	q.byTransmitCount[0] = append(q.byTransmitCount[0], gossipEntry{name: name, sequence: q.sequence})
}

// remove removes a name from the queue.
func (q *gossipQueue) remove(name string) { delete(q.latest, name) }

// take calls visit with the names in order until visit returns false. Each call counts as one transmission of the name; a name with more
// than limit transmissions is dropped.
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

// requeue returns a transmitted entry to the queue, or drops it if it is over the limit.
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
