// Package peerproto is the wire format of the connections between the nodes of a cluster.
//
// A connection carries one direction. It is a sequence of frames: a length of four bytes, big-endian, and a Batch of that many bytes in the
// encoding of Protocol Buffers, by the schema in peer.proto. The first batch of a connection has a Hello. The numbers of the schema's fields
// are named in fields.go.
//
// The encoding is written by hand with protowire, so that the state machines' own types are what is encoded. As in proto3, a field with its
// zero value is left out, and one that is unknown is skipped: older and newer programs understand each other.
//
// Append and Parse may be called concurrently. A Parser is not safe for concurrent use.
package peerproto
