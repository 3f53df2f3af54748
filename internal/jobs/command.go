package jobs

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Kind selects the command's body.
type Kind uint8

// The commands of the state machine.
const (
	KindSubmit Kind = iota + 1
	KindIntend
	KindCommitStart
	KindMarkRunning
	KindTaskResult
	KindEndAttempt
	KindCancel
	KindConclude
	KindAdoptConfig
	KindExpire
)

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// NotStarted means that every worker asked has said, or it is certain, that
	// no task started and the attempt's fencing number can start none.
	NotStarted Outcome = iota + 1
	// Lost means that a task may have run and its end is not known.
	Lost
	// Stopped means that the tasks ran and every one has stopped.
	Stopped
	// TaskFailed means that a task failed and every other one has stopped.
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

// Command is one entry of the zone's log. At is the leader's clock; it is the
// only time that the state machine sees.
type Command struct {
	Kind   Kind              `cbor:"1,keyasint"`
	At     time.Time         `cbor:"2,keyasint"`
	ID     model.JobID       `cbor:"3,keyasint,omitempty"`
	Fence  uint64            `cbor:"4,keyasint,omitempty"`
	Spec   *model.JobSpec    `cbor:"5,keyasint,omitempty"`
	Intend *Intend           `cbor:"6,keyasint,omitempty"`
	Result *model.TaskResult `cbor:"7,keyasint,omitempty"`
	// Submission tells the submissions of one request apart: all copies of one have
	// the same number, and a caller's next try has another; 0 is none.
	Submission uint64         `cbor:"12,keyasint,omitempty"`
	Outcome    Outcome        `cbor:"8,keyasint,omitempty"`
	State      model.JobState `cbor:"9,keyasint,omitempty"`
	Reason     model.Reason   `cbor:"10,keyasint,omitempty"`
	// Config goes with KindAdoptConfig.
	Config *model.ConfigChange `cbor:"11,keyasint,omitempty"`
}

// Intend is the placement of a new attempt.
type Intend struct {
	Placement []model.TaskPlacement `cbor:"1,keyasint"`
	Borrowed  bool                  `cbor:"2,keyasint,omitempty"`
	Claim     model.Claim           `cbor:"3,keyasint,omitempty"`
}

// Encode returns the command's log entry.
func (c *Command) Encode() ([]byte, error) { return codec.Marshal(c) }
