// Package recovery decides how a node comes back after a loss: which of its state it trusts, what it asks other nodes, and when it may again
// begin work that must not run twice.
//
// Checksums prove that what a disk holds was written; they can't prove that it is complete. A backup that was restored, a last second of
// writes that a cache confirmed and lost, an empty disk under an old name: each looks intact. Therefore nodes tell some peers their
// incarnation and the number of their last durable record, and the peers keep the highest of them on their own disks (PeerStates). A node
// that restarts asks them what they remember (Node) before it concludes from its disk that a key was never seen. A peer that remembers more
// than the disk holds proves the disk outdated: from then on, a key that is not on the disk has an unknown outcome rather than none.
//
// A node whose history is lost in this way asks all nodes that share keys with it to send what they know, page by page (Refill), and asks
// how those runs ended whose outcome it does not know (UnknownOutcomes).
//
// All types are state machines without I/O, clock or goroutines. Calls take events and the present time, as an offset from one moment that
// the caller chooses, and return what is to be done. The same calls with the same seed give the same results. No type is safe for
// concurrent use.
package recovery
