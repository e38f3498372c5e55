// Package harness runs fleets of real node processes for tests: it starts, drains, kills and pauses them, injects planned faults and
// generates load. From the clients' own records it verifies that each request got one response and that each claim ran at most once. It
// also provides the event queue and the linearizability check that the simulations use.
//
// Only tests and the laboratory may import it; CI checks that.
package harness
