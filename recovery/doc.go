// Package recovery implements the recovery of a node after a restart. It decides which stored state the node trusts, which queries the node
// sends to other nodes, and when the node may again start requests that must not run twice.
//
// Checksums prove that the contents of a disk were written, but not that they are complete. A restored backup, a disk whose cache confirmed
// the last second of writes and then lost them, and an empty disk under the name of an old node all look intact. Therefore each node
// reports its incarnation and the sequence number of its last durable record to several peers, and the peers keep the highest reported
// values on their own disks (PeerStates). A node that restarts queries these peers (Node) before it concludes from its disk that a key was
// never used. A peer that has recorded more than the disk holds proves that the disk is outdated. From then on, a key that is not on the
// disk has an unknown outcome instead of none.
//
// A node whose history is lost in this way requests the records of all nodes that share keys with it, page by page (Refill), and queries
// other nodes about the runs whose outcomes it lacks (UnknownOutcomes).
//
// All types are state machines without I/O, clock or goroutines. Their methods take events and the current time, as an offset from one
// moment that the caller chooses, and return the actions for the caller to perform. The same calls with the same seed produce the same
// results. No type is safe for concurrent use.
package recovery
