// Package link carries messages between the daemons over WebSocket connections
// with CBOR frames.
//
// The sender of a message dials. A connection is opened on first use and closed
// when it was not used for a while, so that hundreds of daemons do not hold a
// connection between every pair. Each side sends an empty frame when it sent
// nothing else for one heartbeat; a side that received nothing for three
// heartbeats closes the connection. A request without a reply is sent again over
// the next connection under its operation number, and the receiver keeps the
// numbers with their replies, so that it is carried out at most once.
package link

import "context"

// Kind selects the handler of a message.
type Kind string

// The message kinds.
const (
	KindRaft     Kind = "raft"     // consensus messages; one-way
	KindRequest  Kind = "request"  // a caller's request for the zone's leader
	KindAnnounce Kind = "announce" // a worker's announcement; one-way
	KindProbe    Kind = "probe"    // failure detection between instances
	KindConfig   Kind = "config"   // configuration from the configuration group
	KindEvent    Kind = "event"    // notice to other instances; one-way
)

// Handler answers a message. Its error reaches the caller as *RemoteError.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Peers sends messages to other instances.
type Peers interface {
	// Call sends a request and waits for its reply until ctx ends. It returns
	// *NotSentError if the request certainly did not reach the other instance,
	// *NoReplyError if it may have, and *RemoteError if the handler failed.
	Call(ctx context.Context, to string, kind Kind, body []byte) ([]byte, error)
	// Send sends a one-way message, opening a link if there is none. The message
	// is dropped and counted if the queue is full or the instance could not be
	// reached a moment ago.
	Send(to string, kind Kind, body []byte)
	// Handle sets the handler of a kind. It is called before the first message.
	Handle(kind Kind, h Handler)
}
