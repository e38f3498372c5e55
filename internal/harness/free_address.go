package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// ErrNoFreeAddress is returned by FreeAddress if it finds no free address.
var ErrNoFreeAddress = errors.New("no free loopback address found")

// Range of the ports of FreeAddress. It lies below the system's ephemeral ports, because an outgoing connection or a listener on port 0
// could take an ephemeral port before the test listens on it.
const (
	minPort = 10000
	maxPort = 32000
)

// freeAddressAttempts is the maximum number of ports that FreeAddress tries.
const freeAddressAttempts = 1000

// issuedAddresses are the addresses that FreeAddress has returned.
var (
	issuedMu        sync.Mutex
	issuedAddresses = map[string]bool{}
)

// FreeAddress returns a loopback address that is not in use and that no earlier call has returned. It returns ErrNoFreeAddress if it
// finds none. It is safe for concurrent use.
func FreeAddress() (string, error) {
	issuedMu.Lock()
	defer issuedMu.Unlock()
	for range freeAddressAttempts {
		address := fmt.Sprint("127.0.0.1:", minPort+rand.IntN(maxPort-minPort))
		if issuedAddresses[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		issuedAddresses[address] = true
		return address, listener.Close()
	}
	return "", ErrNoFreeAddress
}
