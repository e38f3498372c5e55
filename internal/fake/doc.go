// Package fake has test doubles of everything that a node talks to, for tests and measurements on loopback: clients that speak
// FastCGI and AJP and keep their own tally by request id, a processor with cores of a known capacity, the proxy and the AJP servers
// of an upstream tier, and a disk that loses power.
//
// Only tests and the laboratory may import it; CI checks that.
package fake
