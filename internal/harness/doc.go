// Package harness runs fleets of real node processes for tests: it starts, drains, kills and pauses them, injects planned faults, puts
// load on them, and judges from the clients' own record whether every request got one answer and every claim ran at most once.
//
// Only tests and the laboratory may import it; CI checks that.
package harness
