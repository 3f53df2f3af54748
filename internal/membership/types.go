// Package membership detects which instances of a deployment are alive and
// carries the facts of each instance to all others.
//
// The core is a state machine that is fed with messages and ticks and hands out
// messages; Runner does the I/O. Probing, indirect probes, suspicion and
// piggybacked updates follow SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN
// 2002). Local health, suspicion times that shrink with independent
// confirmations, negative acknowledgements and telling a suspect first follow
// Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for
// More Accurate Failure Detection", DSN-W 2018).
package membership

import "time"

// State is what is known about an instance.
type State uint8

// The states, in the order in which they override each other at one epoch.
const (
	Unknown State = iota // never heard of
	Alive
	Suspect // a probe failed; dead unless it refutes in time
	Dead
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead"}[s&3]
}

// Facts are what an instance says about itself.
type Facts struct {
	Zone     string
	Disk     bool
	Stopping bool
	// ConfigVersion is the version of the configuration in force. It only grows.
	ConfigVersion uint64
	// ConfigAge is the time since the instance last knew that version to be the
	// newest. Its resolution is one second.
	ConfigAge time.Duration
}

// Member is what a reader sees of an instance.
type Member struct {
	Name        string
	Incarnation uint64 // random number of the process; 0 if unknown
	State       State
	Facts       Facts
}

// Flags of a record.
const (
	flagDisk = 1 << iota
	flagStopping
)

// Record is an instance's state as it is sent.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	// Epoch orders the records of a name, also those of different processes. Only
	// the named instance raises it: when its facts change, when it refutes a
	// suspicion, and when it finds a record of an earlier process.
	Epoch         uint32
	State         State
	Zone          string
	Flags         uint8
	ConfigVersion uint64
	ConfigAge     uint32 // seconds
	// Accuser identifies the instance whose probe failed; it goes with Suspect.
	Accuser uint32
}

// overrides is true if r replaces old.
func (r *Record) overrides(old *Record) bool {
	switch {
	case r.Epoch != old.Epoch:
		return r.Epoch > old.Epoch
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	default:
		return r.State > old.State
	}
}

// Kind is the kind of a message.
type Kind uint8

// The message kinds.
const (
	Ping      Kind = iota + 1 // answered with Ack
	Ack                       // the target answered, directly or through a relay
	PingReq                   // asks a relay to ping Target
	Nack                      // the relay is alive, but Target has not answered it
	Sync                      // bucket digests of the sender
	SyncReply                 // records of the buckets that differ
	SyncPush                  // records of the same buckets that are newer at the other side
)

// Message is one message between two instances.
type Message struct {
	_           struct{} `cbor:",toarray"`
	Kind        Kind
	Seq         uint32
	Incarnation uint64 // of the sender
	Epoch       uint32 // of the sender
	Config      uint64 // version in force at the sender
	ConfigAge   uint32 // seconds
	Digest      uint32 // of all records of the sender
	Target      string // of PingReq
	Records     []Record
	Buckets     []uint32 // of Sync
	Mask        uint32   // of SyncReply and SyncPush: the buckets that Records cover
}

// Out is a message to send.
type Out struct {
	To      string
	Message *Message
}

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

func seconds(ticks uint64) uint32 {
	return uint32(min(ticks*uint64(TickInterval)/uint64(time.Second), uint64(^uint32(0))))
}

func ticksOf(d time.Duration) uint64 { return uint64(max(d, 0) / TickInterval) }
