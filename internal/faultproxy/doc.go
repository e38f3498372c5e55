// Package faultproxy provides TCP proxies that inject network faults between the processes of a test: resets, stalls, delays, and
// connections that end in the middle of a message.
//
// Only tests and the laboratory may import it; CI checks that.
package faultproxy
