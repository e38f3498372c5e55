package membership

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages. The numbers are part of the wire format.
const (
	Ping        MessageKind = 1 // requests an Ack from the receiver
	Ack         MessageKind = 2 // answers a Ping, or a PingRequest whose target has answered
	PingRequest MessageKind = 3 // requests the receiver to ping Target on the sender's behalf
)

// Message is a message between two nodes. The transport carries the names of sender and receiver and the sender's incarnation.
type Message struct {
	Kind MessageKind
	// Number identifies the probe to the node that started it. The Ack returns it.
	Number uint64
	// Target is the node to ping in a PingRequest and the node that answered in an Ack.
	Target string
	// Updates are the state updates that the sender piggybacks on the message.
	Updates []Update
}

// Envelope is a message with the name of its receiver.
type Envelope struct {
	To string
	Message
}
