// Package fake provides test doubles of the processes and devices that a node communicates with, for tests and measurements on loopback:
// FastCGI and AJP clients that record the outcome of each request, a processor of known capacity, the proxy and the AJP servers of an
// upstream tier, and a disk that loses power.
//
// Only tests and the laboratory may import it; CI checks that.
package fake
