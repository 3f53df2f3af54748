package batch

import "slices"

// Command is one entry of the group's log. Exactly one field besides Epoch is set.
// Epoch fences commands that only the current leader may issue: a command with an
// earlier leader's epoch has no effect. It is 0 for other commands.
type Command struct {
	Epoch   uint64        `cbor:"1,keyasint,omitempty"`
	Lead    *Lead         `cbor:"2,keyasint,omitempty"`
	Publish *Config       `cbor:"3,keyasint,omitempty"`
	Submit  *Submit       `cbor:"4,keyasint,omitempty"`
	Cancel  *Cancel       `cbor:"5,keyasint,omitempty"`
	Starts  *Starts       `cbor:"6,keyasint,omitempty"`
	Ends    *Ends         `cbor:"7,keyasint,omitempty"`
	Worker  *WorkerChange `cbor:"8,keyasint,omitempty"`
	Zone    *ZoneChange   `cbor:"9,keyasint,omitempty"`
	Speeds  *WorkerSpeeds `cbor:"10,keyasint,omitempty"`
}

// Lead starts the leadership of an instance under a new epoch. Its result is the
// epoch, uint64.
type Lead struct {
	Instance string `cbor:"1,keyasint"`
}

// Call identifies the queue and the customer of a caller's request.
type Call struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	Key  string `cbor:"3,keyasint,omitempty"`
}

// Submit submits a job. Its result is a Verdict.
type Submit struct {
	Call Call   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	Spec Spec   `cbor:"3,keyasint"`
	AtMS int64  `cbor:"4,keyasint"` // Unix ms; set by the leader
}

// Cancel cancels a job. Its result is a Verdict.
type Cancel struct {
	Call Call   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	AtMS int64  `cbor:"3,keyasint"` // Unix ms; set by the leader
}

// Start records a run of a unit before it is started on a worker.
type Start struct {
	Unit        UnitRef `cbor:"1,keyasint"`
	Run         int     `cbor:"2,keyasint"`
	Worker      string  `cbor:"3,keyasint"`
	Incarnation int64   `cbor:"4,keyasint"`
}

// Starts records runs before they are started on their workers. Its result is a []bool
// that tells which starts were accepted. The starts of a gang are accepted together
// or not at all.
type Starts struct {
	Starts []Start `cbor:"1,keyasint"`
	AtMS   int64   `cbor:"2,keyasint"` // Unix ms
}

// Ending is the way in which a run ended.
type Ending uint8

// The ways in which a run ends.
const (
	EndDone           Ending = iota
	EndFailed                // the unit or its worker failed; counts as an attempt
	EndStopped               // the leader ordered a stop
	EndLeaseExpired          // the lease expired
	EndGangBroken            // another unit of the gang ended
	EndGangIncomplete        // the other units of the gang did not start in time
	EndLost                  // the worker disappeared or never began the run
	EndCrashed               // the worker crashed
)

var endingNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "crashed"}

func (e Ending) String() string { return nameOf(endingNames[:], uint8(e)) }

// ParseEnding returns the ending with the given name.
func ParseEnding(name string) (Ending, bool) {
	i := slices.Index(endingNames[:], name)
	return Ending(max(i, 0)), i >= 0
}

// End is the end of a run.
type End struct {
	Unit       UnitRef `cbor:"1,keyasint"`
	Run        int     `cbor:"2,keyasint"`
	How        Ending  `cbor:"3,keyasint,omitempty"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"` // last checkpoint; "" keeps the previous one
	Blame      Blame   `cbor:"5,keyasint,omitempty"` // of a run that crashed with its worker
	// Silent is set if the lease of the run expired while its worker did not answer.
	Silent bool `cbor:"6,keyasint,omitempty"`
}

// Ends records ends of runs. Ends of runs that are not active are ignored.
type Ends struct {
	Ends []End `cbor:"1,keyasint"`
	AtMS int64 `cbor:"2,keyasint"` // Unix ms
}

// WorkerChange records a worker, or removes it if Removed is set.
type WorkerChange struct {
	Worker  Worker `cbor:"1,keyasint"`
	Removed bool   `cbor:"2,keyasint,omitempty"`
}

// ZoneChange cordons or uncordons an availability zone. Its result is a Verdict.
type ZoneChange struct {
	Zone   string `cbor:"1,keyasint"`
	Cordon bool   `cbor:"2,keyasint,omitempty"`
	// Generation is the zone's generation on which the change was decided. A change that
	// was delayed until after another one has no effect.
	Generation uint64 `cbor:"3,keyasint,omitempty"`
	AtMS       int64  `cbor:"4,keyasint"`           // Unix ms; set by the leader
	By         string `cbor:"5,keyasint,omitempty"` // who asked for the change
}

// WorkerSpeeds records measured speeds of workers, so that a new leader knows them.
type WorkerSpeeds struct {
	Speeds []SpeedOfWorker `cbor:"1,keyasint"`
}

// SpeedOfWorker is the speed of one incarnation of a worker.
type SpeedOfWorker struct {
	Worker      string      `cbor:"1,keyasint"`
	Incarnation int64       `cbor:"2,keyasint"`
	Speed       WorkerSpeed `cbor:"3,keyasint"`
}

// Verdict is the outcome of a caller's request.
type Verdict uint8

// The verdicts.
const (
	OK Verdict = iota
	NoConfig
	NoQueue
	UnknownKey
	NoJob
	IDInUse     // the id is in use by another job, or the version by another configuration
	QueueClosed // the queue rejects all jobs
	ZoneChanged // the zone has changed since the order was given
	UnknownZone
)

var verdictNames = [...]string{"ok", "no_configuration", "no_such_queue", "unknown_key", "no_such_job", "id_in_use", "not_supported", "overtaken", "unknown_zone"}

func (v Verdict) String() string { return nameOf(verdictNames[:], uint8(v)) }
