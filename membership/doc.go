// Package membership is a failure detector: it tells which nodes of a cluster are alive, suspected, dead or have left, and in which
// incarnation.
//
// It implements SWIM (Das, Gupta, Motivala, 2002) with refinements of Lifeguard (Dadgar, Phillips, Currey, 2018). In each protocol period a
// node probes one other node with a ping. If no ack arrives in time, it sends indirect ping requests to some helpers, which probe the target
// on its behalf. A target that does not answer either way becomes suspected, and dead unless it refutes the suspicion in time. What a node
// believes spreads by gossip, piggybacked on pings, acks and ping requests. Of Lifeguard it has the local health multiplier, by which a node
// that seems to be slow itself waits longer before it accuses others, and the buddy system, by which whoever sends a message to a suspected
// node tells it of the suspicion.
//
// # Incarnation and refutation
//
// The names of the two counters differ from those of the papers. Update.Incarnation numbers the process: a node that restarts has a higher
// one. Update.Refutation is what SWIM calls the incarnation number: a running node raises it to refute what is falsely said of it.
//
// # Concurrency and determinism
//
// A Detector is a state machine without I/O, clock or goroutines. Calls take events and the present time; Ready returns the messages to be
// sent. The same calls with the same seed give the same messages. All times are offsets from one moment that the caller chooses, taken from
// a clock that never goes back.
//
// A Detector's answers are guesses. A suspicion proves nothing, and nothing that must not happen twice may depend on one.
package membership
