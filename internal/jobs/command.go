package jobs

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Kind is the kind of a command. It determines which of the command's fields
// are set.
type Kind uint8

// The kinds of commands.
const (
	KindSubmit Kind = iota + 1
	KindRecordIntent
	KindCommitStart
	KindMarkRunning
	KindTaskResult
	KindEndAttempt
	KindCancel
	KindConclude
	KindAdoptConfig
	KindExpire
)

// Outcome is the way in which an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// NotStarted means that certainly no task started, and that none can start
	// under the attempt's fencing token any more.
	NotStarted Outcome = iota + 1
	// Lost means that a task may have run and that its result is not known.
	Lost
	// Stopped means that tasks ran and that none runs any more.
	Stopped
	// TaskFailed means that a task failed and that no other one runs any more.
	TaskFailed
)

func (o Outcome) String() string {
	switch o {
	case NotStarted:
		return "not_started"
	case Lost:
		return "lost"
	case Stopped:
		return "stopped"
	case TaskFailed:
		return "task_failed"
	}
	return "invalid"
}

// Command is one entry of the zone's log. At is the time on the leader's clock;
// the state machine uses no other time.
type Command struct {
	Kind   Kind              `cbor:"1,keyasint"`
	At     time.Time         `cbor:"2,keyasint"`
	ID     model.JobID       `cbor:"3,keyasint,omitempty"`
	Fence  uint64            `cbor:"4,keyasint,omitempty"`
	Spec   *model.JobSpec    `cbor:"5,keyasint,omitempty"`
	Intent *Intent           `cbor:"6,keyasint,omitempty"`
	Result *model.TaskResult `cbor:"7,keyasint,omitempty"`
	// Submission identifies one submission of a request: all copies of a
	// submission have the same number, and a caller's retry has another. 0
	// means none.
	Submission uint64  `cbor:"12,keyasint,omitempty"`
	Outcome    Outcome `cbor:"8,keyasint,omitempty"`
	// State is Failed if KindEndAttempt with the outcome Stopped or Lost must not
	// queue the job again.
	State  model.JobState `cbor:"9,keyasint,omitempty"`
	Reason model.Reason   `cbor:"10,keyasint,omitempty"`
	// Crashed is set for KindEndAttempt with the outcome Lost if a worker has restarted under a
	// task.
	Crashed bool `cbor:"13,keyasint,omitempty"`
	// Config is set for KindAdoptConfig.
	Config *model.ConfigChange `cbor:"11,keyasint,omitempty"`
}

// Intent is the placement of a new attempt. It is committed before any command
// is sent to a worker.
type Intent struct {
	Placement []model.TaskPlacement `cbor:"1,keyasint"`
	Borrowed  bool                  `cbor:"2,keyasint,omitempty"`
	Claim     model.Claim           `cbor:"3,keyasint,omitempty"`
}

// Encode returns the command's log entry.
func (c *Command) Encode() ([]byte, error) { return codec.Marshal(c) }
