// Package harness runs fleets of real node processes for tests: it starts, drains, kills and pauses them, injects planned faults, puts
// load on them, and verifies by the clients' own record that each request got one response and each claim ran at most once. It also has
// the event queue of the simulations and the linearizability check that they share with it.
//
// Only tests and the laboratory may import it; CI checks that.
package harness
