// Package faultproxy carries TCP connections between the processes of a test and fails as it is told: resets, stalls, delays, and
// cuts in the middle of a message.
//
// Only tests and the laboratory may import it; CI checks that.
package faultproxy
