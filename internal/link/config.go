package link

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Defaults of Config.
const (
	defaultHeartbeat      = 500 * time.Millisecond
	defaultIdle           = time.Second // keeping an unused connection for 4 s costs more in heartbeats than a new handshake
	defaultDialTimeout    = time.Second
	defaultWriteTimeout   = 5 * time.Second // 16 MiB at 27 Mbit/s
	defaultCallTimeout    = 30 * time.Second
	defaultBackoffMin     = 50 * time.Millisecond
	defaultBackoffMax     = time.Second
	defaultMaxMessage     = 16 << 20 // bytes; a snapshot of a zone's group must fit
	defaultQueueLength    = 256
	defaultQueueBytes     = 32 << 20
	defaultMaxRequests    = 1024
	defaultMaxHandlers    = 1024
	defaultHandlerBytes   = 64 << 20
	defaultPeerHandlers   = 256
	defaultMaxPeers       = 1024 // above the largest deployment of docs/CAPACITY.md with its replaced instances
	defaultMaxReplies     = 8192
	defaultMaxReplyBytes  = 8 << 20
	maxMissedHeartbeats   = 3
	replyRetention        = 10 * time.Second // after a request's deadline; longer than a connection can delay a resend
	sweepInterval         = 5 * time.Second
	frameOverhead         = 256 // bytes; an envelope without its body, with a kind and group of usual length
	websocketReadBufBytes = 32 << 10
)

// Config holds the settings of the links of one daemon. Zero values select the
// defaults.
type Config struct {
	Self      string            // this instance's name
	Addresses map[string]string // IP:port by instance name
	// NamesAreAddresses admits instances that are not in Addresses: their names
	// are the IP:port at which they can be dialled.
	NamesAreAddresses bool
	MaxPeers          int // most instances known at the same time
	Logger            logr.Logger
	Metrics           *metrics.Set // nil: the default set

	Heartbeat    time.Duration // a frame is sent at least this often
	Idle         time.Duration // an unused connection is closed after this time
	DialTimeout  time.Duration // for the connection and its handshake
	WriteTimeout time.Duration // for one frame
	CallTimeout  time.Duration // for a call whose context has no deadline
	BackoffMin   time.Duration // pause after a failed dial, doubled with each failure
	BackoffMax   time.Duration

	MaxMessage  int // bytes of one message
	QueueLength int // one-way messages queued for one instance
	QueueBytes  int // bytes of those messages
	MaxRequests int // requests in flight to one instance
	MaxHandlers int // requests being handled, for all instances
	// MaxHandlerBytes bounds the bytes of the requests being handled, for all instances. It does not
	// apply to a single request.
	MaxHandlerBytes int
	PeerHandlers    int // requests being handled, for one instance
	MaxReplies      int // operation numbers kept for one instance
	MaxReplyBytes   int // bytes of replies kept for one instance

	// version is offered and accepted in handshakes; tests change it.
	version string
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Heartbeat, defaultHeartbeat)
	setDefault(&c.Idle, defaultIdle)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.BackoffMin, defaultBackoffMin)
	setDefault(&c.BackoffMax, defaultBackoffMax)
	setDefault(&c.MaxMessage, defaultMaxMessage)
	setDefault(&c.QueueLength, defaultQueueLength)
	setDefault(&c.QueueBytes, defaultQueueBytes)
	setDefault(&c.MaxRequests, defaultMaxRequests)
	setDefault(&c.MaxHandlers, defaultMaxHandlers)
	setDefault(&c.MaxHandlerBytes, defaultHandlerBytes)
	setDefault(&c.PeerHandlers, defaultPeerHandlers)
	setDefault(&c.MaxPeers, defaultMaxPeers)
	setDefault(&c.MaxReplies, defaultMaxReplies)
	setDefault(&c.MaxReplyBytes, defaultMaxReplyBytes)
	if c.Metrics == nil {
		c.Metrics = metrics.GetDefaultSet()
	}
	if c.Logger.GetSink() == nil {
		c.Logger = logr.Discard()
	}
	if c.version == "" {
		c.version = protocolVersion
	}
}
