package batch

import "slices"

// Command is one entry of the group's log; exactly one field is set besides
// Epoch. Epoch is the leader's, for commands that only the present leader may
// give; a command of an earlier leader has no effect.
type Command struct {
	Epoch   uint64        `cbor:"1,keyasint,omitempty"`
	Lead    *Lead         `cbor:"2,keyasint,omitempty"`
	Publish *Config       `cbor:"3,keyasint,omitempty"`
	Submit  *Submit       `cbor:"4,keyasint,omitempty"`
	Cancel  *Cancel       `cbor:"5,keyasint,omitempty"`
	Starts  *Starts       `cbor:"6,keyasint,omitempty"`
	Ends    *Ends         `cbor:"7,keyasint,omitempty"`
	Worker  *WorkerChange `cbor:"8,keyasint,omitempty"`
}

// Lead begins the leadership of an instance. Its result is the new epoch, uint64.
type Lead struct {
	Instance string `cbor:"1,keyasint"`
}

// Call is what every request of a caller carries.
type Call struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// Submit hands a job in. Its result is a Verdict.
type Submit struct {
	Call Call   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	Spec Spec   `cbor:"3,keyasint"`
	AtMS int64  `cbor:"4,keyasint"` // Unix ms
}

// Cancel cancels a job. Its result is a Verdict.
type Cancel struct {
	Call Call   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	AtMS int64  `cbor:"3,keyasint"` // Unix ms
}

// Start records that a run may be started.
type Start struct {
	Unit   UnitRef `cbor:"1,keyasint"`
	Run    int     `cbor:"2,keyasint"`
	Worker string  `cbor:"3,keyasint"`
	Life   int64   `cbor:"4,keyasint"`
}

// Starts records runs before their workers are told. Its result is []bool: which
// of them hold. The starts of a gang hold all or none.
type Starts struct {
	Starts []Start `cbor:"1,keyasint"`
	AtMS   int64   `cbor:"2,keyasint"` // Unix ms
}

// Ending says how a run ended.
type Ending uint8

// The ways in which a run ends.
const (
	EndDone    Ending = iota
	EndFailed         // by its own fault or the worker's; counts as an attempt
	EndStopped        // on our order
	EndLapsed         // the lease ended
	EndBroken         // another unit of the gang ended
	EndAlone          // the rest of the gang did not arrive in time
	EndLost           // the worker is gone, or never began the run
)

var endingNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

func (e Ending) String() string { return endingNames[e] }

// ParseEnding returns the ending with the given name.
func ParseEnding(name string) (Ending, bool) {
	i := slices.Index(endingNames[:], name)
	return Ending(max(i, 0)), i >= 0
}

// End is the end of a run.
type End struct {
	Unit  UnitRef `cbor:"1,keyasint"`
	Run   int     `cbor:"2,keyasint"`
	How   Ending  `cbor:"3,keyasint,omitempty"`
	Saved string  `cbor:"4,keyasint,omitempty"` // last checkpoint; "" leaves the one before
}

// Ends records ends of runs. Ends of runs that are not active change nothing.
type Ends struct {
	Ends []End `cbor:"1,keyasint"`
	AtMS int64 `cbor:"2,keyasint"` // Unix ms
}

// WorkerChange records a worker, or with Gone that it has left.
type WorkerChange struct {
	Worker Worker `cbor:"1,keyasint"`
	Gone   bool   `cbor:"2,keyasint,omitempty"`
}

// Verdict answers a caller's request.
type Verdict uint8

// The verdicts.
const (
	OK Verdict = iota
	NoConfig
	NoQueue
	BadKey
	NoJob
	Conflict // the id names another job
	Closed   // the queue takes no jobs
)

var verdictNames = [...]string{"ok", "no_configuration", "no_such_queue", "unknown_key", "no_such_job", "id_in_use", "not_supported"}

func (v Verdict) String() string { return verdictNames[v] }
