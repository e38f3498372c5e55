package faultinject

// Call is a kind of call of the system that may be told to fail.
type Call uint8

// The calls.
const (
	Accept Call = iota
	Connect
	Write
	Send     // a datagram
	ReadFile // a configuration
	calls
)

// String is the call's word in the file.
func (c Call) String() string { return [...]string{"accept", "connect", "write", "send", "read"}[c] }
