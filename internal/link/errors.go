package link

import (
	"fmt"
	"time"
)

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

// NoReplyError says that a request was sent and no reply came. The other
// instance may have carried it out.
type NoReplyError struct {
	To    string
	Cause error
}

func (e *NoReplyError) Error() string {
	return fmt.Sprintf("no reply from instance %q: %v", e.To, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// RemoteError says that the other instance reported a failure.
type RemoteError struct {
	To     string
	Detail string
	// Busy is set if the other instance refused the request because of its
	// limits. The handler was not called.
	Busy bool
}

func (e *RemoteError) Error() string { return fmt.Sprintf("instance %q: %s", e.To, e.Detail) }

// VersionError says that two instances use different versions of the link
// protocol.
type VersionError struct {
	Peer   string
	Ours   string
	Theirs string
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("instance %q uses link version %q, this instance uses %q", e.Peer, e.Theirs, e.Ours)
}

// RefusedError says that the other instance refused the connection.
type RefusedError struct {
	Peer   string
	Status int // HTTP status
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("instance %q refused the connection with status %d", e.Peer, e.Status)
}

// UnknownPeerError says that an instance is not in the settings and was not added
// under Config.NamesAreAddresses.
type UnknownPeerError struct{ Peer string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("instance %q is not known", e.Peer) }

// TooLargeError says that a message exceeds the limit.
type TooLargeError struct {
	Bytes int
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// SilentError says that a connection received nothing for too long.
type SilentError struct {
	Peer string
	For  time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("connection with instance %q received nothing for %v", e.Peer, e.For)
}

// StalledError says that one write took too long.
type StalledError struct {
	Peer string
	For  time.Duration
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("write to instance %q did not finish within %v", e.Peer, e.For)
}

// PeerRestartedError says that the other instance restarted after a request was
// sent to it. The request is not sent again: the new process does not know
// whether the old one carried it out.
type PeerRestartedError struct{ Peer string }

func (e *PeerRestartedError) Error() string {
	return fmt.Sprintf("instance %q restarted", e.Peer)
}

// ReplyDiscardedError says that a request was carried out but its reply has been
// discarded.
type ReplyDiscardedError struct{ Peer string }

func (e *ReplyDiscardedError) Error() string {
	return fmt.Sprintf("instance %q has discarded the reply", e.Peer)
}

// ClosedError says that the links were closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "links are closed" }

// SupersededError says that the same instance opened a newer connection.
type SupersededError struct{ Peer string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("instance %q opened a newer connection", e.Peer)
}

// IdleError says that a connection was closed because it was not used.
type IdleError struct{ Peer string }

func (e *IdleError) Error() string {
	return fmt.Sprintf("connection with instance %q was not used", e.Peer)
}

// FrameError says that a received frame is not valid.
type FrameError struct {
	Peer  string
	Cause error // nil if the frame's type is not expected on the connection
}

func (e *FrameError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("unexpected type of frame from instance %q", e.Peer)
	}
	return fmt.Sprintf("invalid frame from instance %q: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

// TopicError says that a topic does not name a kind and an instance.
type TopicError struct{ Topic string }

func (e *TopicError) Error() string { return fmt.Sprintf("topic %q is not kind/instance", e.Topic) }
