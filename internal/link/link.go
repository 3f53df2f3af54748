// Package link carries messages between the daemons over WebSocket connections
// with CBOR frames.
//
// The sender of a message dials. A connection is opened on first use and closed
// after an idle time, so that hundreds of daemons do not hold a connection between
// every pair. Each side sends an empty frame as a heartbeat when it has sent
// nothing else for one heartbeat interval; a side that has received nothing for
// three intervals closes the connection. A request without a reply is sent again
// over the next connection under its operation number. The receiver deduplicates
// by operation number and keeps the replies, so that a request is carried out at
// most once.
package link

import "context"

// Kind selects the handler of a message.
type Kind string

// The message kinds.
const (
	KindRaft     Kind = "raft"     // consensus messages; one-way
	KindRequest  Kind = "request"  // a request that one instance forwards to another
	KindAnnounce Kind = "announce" // a worker's announcement; one-way
	KindProbe    Kind = "probe"    // failure detection between instances; one-way
	KindConfig   Kind = "config"   // configuration from the configuration group
	KindEvent    Kind = "event"    // notification to other instances; one-way
)

// Handler answers a message. Its error reaches the caller as *RemoteError.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Peers sends messages to other instances.
type Peers interface {
	// Call sends a request and waits for its reply until ctx ends. It returns
	// *NotSentError if the request certainly did not reach the other instance,
	// *NoReplyError if it may have reached it, and *RemoteError if the handler
	// failed.
	Call(ctx context.Context, to string, kind Kind, body []byte) ([]byte, error)
	// Send sends a one-way message and opens a connection if there is none. The
	// message is dropped and counted if the queue is full, or if the last dial
	// failed and its back-off is not over.
	Send(to string, kind Kind, body []byte)
	// Handle sets the handler of a kind. It must be called before the first
	// message arrives.
	Handle(kind Kind, h Handler)
}
