// Package peerproto implements the wire format of the connections between the nodes of a cluster.
//
// Each connection carries messages in one direction, as a sequence of frames. A frame is a big-endian length of four bytes, followed by a Batch
// of that many bytes in the Protocol Buffers encoding of the schema in peer.proto. The first batch of a connection has a Hello. The file
// fields.go names the field numbers of the schema.
//
// The encoder and decoder are written by hand with protowire, so that they work on the types of the state machines directly. As in proto3,
// fields with a zero value are omitted and unknown fields are skipped, so older and newer programs are compatible.
//
// Append and Parse may be called concurrently. A Parser is not safe for concurrent use.
package peerproto
