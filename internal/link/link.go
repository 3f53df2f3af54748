// Package link carries messages between the daemons.
package link

import (
	"context"
	"fmt"
)

// Kind selects the handler of a message.
type Kind string

// The message kinds.
const (
	KindRaft     Kind = "raft"     // consensus messages; one-way
	KindRequest  Kind = "request"  // a caller's request for the zone's leader
	KindAnnounce Kind = "announce" // a worker's announcement; one-way
	KindProbe    Kind = "probe"    // failure detection between instances
	KindConfig   Kind = "config"   // configuration from the configuration group
)

// Handler answers a message. Its error reaches the caller as *RemoteError.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Peers sends messages to other instances.
type Peers interface {
	// Call sends a request and waits for its reply until ctx ends. It returns
	// *NotSentError if the request certainly did not reach the other instance,
	// *NoReplyError if it may have, and *RemoteError if the handler failed.
	Call(ctx context.Context, to string, kind Kind, body []byte) ([]byte, error)
	// Send sends a one-way message if a link is up and has room; otherwise the
	// message is dropped.
	Send(to string, kind Kind, body []byte)
	// Handle sets the handler of a kind. It is called before the first message.
	Handle(kind Kind, h Handler)
}

// NotSentError says that a request did not reach the other instance.
type NotSentError struct {
	To    string
	Cause error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("request to instance %q was not sent: %v", e.To, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoReplyError says that a request was sent and no reply came.
type NoReplyError struct {
	To    string
	Cause error
}

func (e *NoReplyError) Error() string {
	return fmt.Sprintf("no reply from instance %q: %v", e.To, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// RemoteError is a failure that the other instance's handler reported.
type RemoteError struct {
	To     string
	Detail string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("instance %q: %s", e.To, e.Detail) }
