// Package failover decides which node of a cluster executes a request that
// must not run twice, and which node goes on with it when the one that read it
// is lost.
//
// The package is a state machine without I/O, clock or goroutines. Callers
// feed events into a [Node] (requests, messages of peers, completed disk
// writes, the passing of time) and collect the results with [Node.Ready]:
// messages to send and decisions on requests.
//
// # Protocol
//
// Every idempotency key is served by a group of nodes, chosen by rendezvous
// hashing over the member list ([Group]), so that all nodes agree on it without
// asking. A group works like the acceptors of a single-decree consensus
// protocol:
//
//  1. The node that reads a request claims its key: it asks the group under a
//     fresh [Ballot] and holds the key once a majority has granted it.
//  2. Before it runs the request, it asks the group to record the start. A
//     member confirms only under the ballot that it granted last, and only
//     when the record is durable. The request runs once a majority has
//     confirmed.
//  3. When the request has finished, the group records its outcome. Duplicates
//     anywhere in the cluster are answered from it.
//
// Two majorities of a group share a member, so two ballots never both start.
// Safety doesn't depend on clocks or on a failure detector: these only tell
// when to try. When a holder seems lost before it started, a member
// of the group claims the key under a higher ballot and goes on with the
// request ("takes it over"). When it seems lost afterwards, nobody may run the
// request again: its outcome is looked for in the group and at the processor
// that executed it, and is unknown if neither has it.
//
// While the member list changes, a node asks the groups of the previous and of
// the new list and needs a majority of each ([Roster]).
//
// A node whose disk has lost records counts for neither side until its peers
// have transferred what it lacks ([Node.BuildPage], [Node.ReceivePage]). A
// [Fence] then voids the votes that it cast before it lost them.
package failover
