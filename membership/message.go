package membership

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages. The numbers go over the wire.
const (
	Ping        MessageKind = 1 // asks the receiver for an Ack
	Ack         MessageKind = 2 // answers a Ping, or a PingRequest once its target has answered
	PingRequest MessageKind = 3 // asks the receiver to ping Target on the sender's behalf
)

// Message is what nodes send each other. The names of sender and receiver and the sender's incarnation travel outside of it.
type Message struct {
	Kind MessageKind
	// Number identifies the probe to the node that began it; an Ack repeats it.
	Number uint64
	// Target is the node to be probed in a PingRequest, and the node that answered in an Ack.
	Target string
	// Updates are the sender's beliefs that are piggybacked on the message.
	Updates []Update
}

// Envelope is a message with the name of the node that it is for.
type Envelope struct {
	To string
	Message
}
