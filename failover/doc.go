// Package failover decides which node of a cluster executes a request that must
// not run more than once, and which node continues the request when the node
// that read it fails.
//
// The package is a state machine without I/O, clock or goroutines. Callers pass
// events to a [Node] (requests, messages of peers, completed disk writes, the
// passing of time) and collect the results with [Node.Ready]: messages to send
// and decisions on requests.
//
// # Protocol
//
// Every idempotency key is served by a group of nodes. Rendezvous hashing over
// the member list selects the group ([Group]), so that all nodes compute the
// same group without communication. A group acts as the acceptors of a
// single-decree consensus protocol:
//
//  1. The node that reads a request claims its key: it sends the group a new
//     [Ballot], and holds the key once a majority has granted it.
//  2. Before the node runs the request, it sends the start to the group for
//     recording. A member confirms the start only under the ballot that it
//     granted last, and only when the record is durable. The request runs once
//     a majority has confirmed.
//  3. When the request has finished, the group records its outcome. Every node
//     of the cluster answers duplicates with this outcome.
//
// Two majorities of a group share a member, so at most one ballot starts the
// request. Safety does not depend on clocks or on a failure detector: they only
// determine when a node acts. If a holder is suspected before it has started
// the request, a member of the group claims the key under a higher ballot and
// continues the request (take-over). If the holder is suspected after the
// start, no node may run the request again: the group and the processor that
// executed the request are queried for its outcome, and the outcome is unknown
// if neither has it.
//
// During a membership change, a node sends its messages to the groups of both
// the previous and the new member list and needs a majority of each ([Roster]).
//
// A node whose disk has lost records abstains from votes until its peers have
// transferred the missing records ([Node.BuildPage], [Node.ReceivePage]). A
// [Fence] then voids the votes that the node cast before the loss.
package failover
