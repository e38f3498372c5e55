// Package overload decides, inside one server, which requests are started, queued, rejected and cancelled.
//
// A Controller is a state machine without I/O, clocks or goroutines. The adapter in front of it turns what it
// observes into events, hands them to Controller.Handle in batches, and carries out the actions that Handle returns.
// Equal seeds, settings and events lead to equal actions.
//
// # The ordinary path
//
// The mechanism is search backpressure, as in the documentation of OpenSearch, with a companion limit on concurrency.
// An observer looks at the server every 100 ms. When the cores or the memory of requests have been over their
// thresholds for three observations in a row the server is under duress. Running requests that breach the limits of
// the trackers for elapsed time, CPU time and memory are then cancelled, the worst first, within the budgets for
// cancellations (backpressure.go). The concurrency limit grows while cores are free and requests are queued, and else
// shrinks by baseline over recent latency (concurrency.go).
//
// # Beside the design
//
// The design leaves open, or needs guards for, the following:
//
//   - Queues and admission. Each handler has a queue, and queues take turns by weight (queue.go). A newcomer that
//     can't be expected to end well before its target is rejected at once (admission.go).
//   - Advice to clients. Rejections say when to come back and whether to try another server (rejection.go). A load
//     signal rides on answers (signal.go), counted per edge node where it is an allowance (edgenodes.go). Idle
//     connections are closed early where there are too many (connections.go). Clients that give up before their
//     timeout teach how long they wait (patience.go).
//   - Deadlines. No request is left without an answer past its deadline, and no run that is worth nothing any more
//     keeps a core that others need (deadline.go).
//   - Idempotency. Requests that must run once, and reads whose results may be shared, are remembered; repeats are
//     answered from their original (repeats.go).
//   - Calls. The calls in flight to the dependency are bounded, timed out, and retried at most once (calls.go).
//   - Drain, warm-up and stalls. A server that is taken out of service, has just started cold, or hangs, wants fewer
//     requests or none (drain.go).
//
// # Reconciliation
//
// Events set the reported state of a request, decisions its wanted state, answer and idempotency entry. The end of
// Handle is the only place that acts: it turns the differences into actions. Counts and memory follow the wanted
// states, since rules apply to what holds once the actions of a batch are carried out. A cancellation has no wanted
// state: until it is confirmed the request keeps its core and memory. See request.go for the states.
package overload
