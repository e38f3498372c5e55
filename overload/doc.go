// Package overload implements the overload control of one server: it decides which requests to start, queue, reject
// and cancel.
//
// A Controller is a state machine without I/O, clocks or goroutines. An adapter converts its observations to events,
// passes them to Controller.Handle in batches and executes the returned actions. Equal seeds, settings and events
// yield equal actions.
//
// # Backpressure and concurrency limit
//
// The core mechanism is search backpressure as documented by OpenSearch, combined with a concurrency limit. An
// observer samples the server every 100 ms. The server is under duress once CPU usage or the memory held by requests
// has breached its threshold in three consecutive observations. The controller then cancels running requests that
// breach the limits of the trackers for elapsed time, CPU time and memory, those with the most breaches first, within
// the cancellation budgets (backpressure.go). The concurrency limit grows while cores are idle and requests are
// queued. While the cores are busy it shrinks with the ratio of baseline to recent latency (concurrency.go).
//
// # Additions
//
// The following parts cover what that mechanism leaves open or needs as safeguards:
//
//   - Queues and admission. Each handler has a queue, and the queues are served in turn by weight (queue.go). A new
//     request that is not expected to end by a safety margin before its response target is rejected at once
//     (admission.go).
//   - Client advice. A rejection carries a delay before the next attempt and whether to try another server
//     (rejection.go). Responses carry a load signal (signal.go); where the signal is an allowance, it is computed per
//     edge node (edgenodes.go). Idle connections are closed early when there are too many (connections.go). How
//     long clients wait for an answer is estimated from the attempts that they give up before the client timeout
//     (client_wait.go).
//   - Deadlines. Every request is answered by its deadline, and a run whose result has no value left is stopped when
//     other requests need its core (deadline.go).
//   - Idempotency. Requests that must run only once, and reads whose results may be shared, get an entry in the
//     idempotency table. Repeats are answered from their original (repeats.go).
//   - Calls. Calls in flight to the dependency are limited in number and time, and retried at most once (calls.go).
//   - Drain, warm-up and stalls. A server that is being taken out of service, has just started with cold caches or has
//     stalled requests less traffic or none (drain.go).
//
// # Reconciliation
//
// Events set the reported state of a request. Decisions set its wanted state, answer and idempotency entry. Only the
// end of Handle emits actions: it derives them from the differences. Counts and memory follow the wanted states,
// because rules apply to the situation after the actions of the batch have been executed. A cancellation has no
// wanted state: until it is confirmed, the request occupies its core and memory. See request.go for the states.
package overload
