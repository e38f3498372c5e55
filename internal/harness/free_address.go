package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// ErrNoFreeAddress is returned by FreeAddress if it finds none.
var ErrNoFreeAddress = errors.New("no free address")

// Range of the ports of FreeAddress. It lies below the ports that the system gives to connections, and to listeners that ask for none:
// those may take an address before the test listens on it.
const (
	minPort = 10000
	maxPort = 32000
)

// freeAddressAttempts is the number of ports that FreeAddress tries.
const freeAddressAttempts = 1000

// issuedAddresses are the addresses that FreeAddress has returned.
var (
	issuedMu        sync.Mutex
	issuedAddresses = map[string]bool{}
)

// FreeAddress returns a loopback address that nobody listens on and that no earlier call has returned. It is safe for concurrent use.
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
