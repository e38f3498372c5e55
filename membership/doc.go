// Package membership implements a failure detector. For each node of a cluster it reports whether the node is alive, suspected, dead or has
// left, and the incarnation of the node.
//
// It implements SWIM (Das, Gupta, Motivala, 2002) with extensions from Lifeguard (Dadgar, Phillips, Currey, 2018). In each protocol period
// a node probes one other node with a ping. If no ack arrives in time, the node sends ping requests to several relays, which ping the
// target on its behalf. A target that answers neither the direct nor the indirect probe becomes suspected. It is declared dead unless it
// refutes the suspicion in time. Nodes disseminate state updates by gossip, piggybacked on pings, acks and ping requests. Two parts of
// Lifeguard are implemented: with the local health multiplier, a node that appears to be slow itself waits longer before it suspects
// others; with the buddy system, each message to a suspected node carries the suspicion.
//
// # Incarnation and refutation
//
// The names of the two counters differ from those of the papers. Update.Incarnation numbers the processes of a node: each restart increases
// it. Update.Refutation corresponds to SWIM's incarnation number: a running node increases it to refute a false report about itself.
//
// # Concurrency and determinism
//
// A Detector is a state machine without I/O, clock or goroutines. Its methods take events and the current time; Ready returns the messages
// to send. The same calls with the same seed produce the same messages. All times are offsets from one moment that the caller chooses,
// taken from a monotonic clock.
//
// The states that a Detector reports are unreliable. A suspicion proves nothing: no operation that must not be executed twice may depend on
// it.
package membership
