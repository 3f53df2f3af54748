// Package membership detects which instances of a deployment are alive and
// disseminates the Facts of each instance to all others by gossip.
//
// Core is a deterministic state machine: its input are messages and ticks, its
// output are messages. Runner does the I/O. Probing, indirect probes, suspicion
// and piggybacked updates follow SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN
// 2002). Local health, suspicion times that shrink with independent
// confirmations, negative acknowledgements and notifying a suspect first follow
// Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for
// More Accurate Failure Detection", DSN-W 2018).
package membership

import "time"

// State is the liveness of an instance as another instance knows it.
type State uint8

// The states. At the same epoch and incarnation a higher one overrides a lower
// one.
const (
	Unknown State = iota // no record received yet
	Alive
	Suspect // a probe failed; declared dead unless it refutes the suspicion in time
	Dead
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead"}[s&3]
}

// Facts are the attributes that an instance publishes about itself.
type Facts struct {
	Zone     string
	Disk     bool
	Stopping bool
	// ConfigVersion is the version of the configuration in force. It never
	// decreases.
	ConfigVersion uint64
	// ConfigAge is the time since the instance last confirmed that this version is
	// the newest. Its resolution is one second.
	ConfigAge time.Duration
}

// Member is an instance as returned by Snapshot.
type Member struct {
	Name        string
	Incarnation uint64 // random number of the process; 0 if unknown
	State       State
	Facts       Facts
}

// Bits of Record.Flags.
const (
	flagDisk = 1 << iota
	flagStopping
)

// Record is the wire format of the state of an instance.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	// Epoch orders the records of an instance, including those of different
	// processes. Only the instance itself raises it: when its facts change, when it
	// refutes a suspicion, and when it receives a record of an earlier process.
	Epoch         uint32
	State         State
	Zone          string
	Flags         uint8
	ConfigVersion uint64
	ConfigAge     uint32 // seconds
	// Accuser identifies the instance whose probe failed. It is 0 unless State is
	// Suspect.
	Accuser uint32
}

// overrides reports whether r is newer than old and replaces it.
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

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	Ping      Kind = iota + 1 // direct probe, answered with Ack
	Ack                       // the target has answered, directly or through a relay
	PingReq                   // asks the receiver to ping Target as a relay
	Nack                      // the relay is alive, but has no answer from Target
	Sync                      // bucket digests of the sender
	SyncReply                 // records of the buckets that differ
	SyncPush                  // records of the same buckets that are newer at the sender or missing at the receiver
)

// Message is one message between two instances.
type Message struct {
	_           struct{} `cbor:",toarray"`
	Kind        Kind
	Seq         uint32
	Incarnation uint64 // of the sender
	Epoch       uint32 // of the sender
	Config      uint64 // configuration version in force at the sender
	ConfigAge   uint32 // seconds; of Config
	Digest      uint32 // of all records of the sender
	Target      string // of PingReq
	Records     []Record
	Buckets     []uint32 // of Sync
	Mask        uint32   // of SyncReply and SyncPush: the buckets that Records cover
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string
	Message *Message
}

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

func ticksToSeconds(ticks uint64) uint32 {
	return uint32(min(ticks*uint64(TickInterval)/uint64(time.Second), uint64(^uint32(0))))
}

func durationToTicks(d time.Duration) uint64 { return uint64(max(d, 0) / TickInterval) }
