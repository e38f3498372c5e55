package faultinject

// Call is a kind of system call that can be made to fail.
type Call uint8

// The system calls.
const (
	Accept Call = iota
	Connect
	Write
	Send     // sends a datagram
	ReadFile // reads a configuration file
	callCount
)

// callNames are the names of the calls in the faults file.
var callNames = [callCount]string{
	Accept:   "accept",
	Connect:  "connect",
	Write:    "write",
	Send:     "send",
	ReadFile: "read",
}

// String returns the name of the call in the faults file.
func (c Call) String() string { return callNames[c] }
