package link

import (
	"net/http"
	"strconv"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// envelopeVersion is in every frame; protocolVersion is in every handshake.
const (
	envelopeVersion = 1
	protocolVersion = "teaselpaddle-link-1"
)

// linkPath is the path at which the peer listener accepts connections.
const linkPath = "/link"

// Handshake headers. They are short because links to hundreds of instances are
// opened for single probes.
const (
	headerFrom    = "Tp-From"    // name of the dialling instance
	headerSession = "Tp-Session" // random number of the process, base 36
	headerConn    = "Tp-Conn"    // number of the connection within the session
	headerLimit   = "Tp-Limit"   // largest message that the accepting side accepts, bytes
	headerVersion = "Tp-Version" // link version of the accepting side
)

type frameType uint8

const (
	frameOneWay frameType = iota
	frameRequest
	frameReply
)

type replyStatus uint8

const (
	replyOK        replyStatus = iota
	replyFailed                // the handler returned an error; the body is its text
	replyBusy                  // refused because of limits; the handler was not called
	replyDiscarded             // carried out, but the reply was discarded
)

// envelope is one frame. An empty frame is a heartbeat.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Type    frameType
	Kind    Kind
	// Op is the operation number of a request and its reply.
	Op uint64
	// Floor is set in requests. The sender has finished every operation below it,
	// so the receiver need not keep their replies.
	Floor uint64
	// Millis is the time until the deadline, in milliseconds. It is relative
	// because the clocks of two instances may differ.
	Millis uint32
	Group  string
	Status replyStatus
	Body   []byte
}

func (e *envelope) encode() ([]byte, error) {
	e.Version = envelopeVersion
	return codec.Marshal(e)
}

func decodeEnvelope(from string, data []byte) (*envelope, error) {
	var e envelope
	if err := codec.Unmarshal(data, &e); err != nil {
		return nil, &FrameError{Peer: from, Cause: err}
	}
	if e.Version != envelopeVersion {
		return nil, &FrameError{Peer: from, Cause: &VersionError{
			Peer: from, Ours: strconv.Itoa(envelopeVersion), Theirs: strconv.Itoa(int(e.Version)),
		}}
	}
	return &e, nil
}

func millisUntil(deadline time.Time) uint32 {
	left := time.Until(deadline)
	if left <= 0 {
		return 0
	}
	return uint32(min(left.Milliseconds()+1, int64(^uint32(0))))
}

func formatNumber(n uint64) string { return strconv.FormatUint(n, 36) }

// parseHeaderNumber returns 0 for a missing or malformed header; 0 is never sent.
func parseHeaderNumber(h http.Header, name string) uint64 {
	n, err := strconv.ParseUint(h.Get(name), 36, 64)
	if err != nil {
		return 0
	}
	return n
}

// frameSize returns the length of a WebSocket frame in bytes (RFC 6455, section
// 5.2). Frames of the dialling side are masked.
func frameSize(payload int, masked bool) int {
	n := payload + 2
	switch {
	case payload > 65535:
		n += 8
	case payload > 125:
		n += 2
	}
	if masked {
		n += 4
	}
	return n
}
