// Package region implements a deployment in which one replication group spans all
// availability zones and owns all jobs. Control instances are members of the group:
// they store its state on disk, and one of them leads. Entry instances store no
// state and forward requests to the leader.
package region

import (
	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/dispatch"
)

// request is a request to the group's leader. Exactly one field is set. Every request
// is idempotent, so it may be retried.
type request struct {
	Submit   *batch.Submit     `cbor:"1,keyasint,omitempty"`
	Cancel   *batch.Cancel     `cbor:"2,keyasint,omitempty"`
	Job      *JobQuery         `cbor:"3,keyasint,omitempty"`
	Pending  *batch.Call       `cbor:"4,keyasint,omitempty"`
	Publish  *batch.Config     `cbor:"5,keyasint,omitempty"`
	Config   *struct{}         `cbor:"6,keyasint,omitempty"`
	Announce *Announcement     `cbor:"7,keyasint,omitempty"`
	Ping     *struct{}         `cbor:"8,keyasint,omitempty"`
	Workers  *struct{}         `cbor:"9,keyasint,omitempty"`
	Zone     *batch.ZoneChange `cbor:"10,keyasint,omitempty"`
	Zones    *ZoneQuery        `cbor:"11,keyasint,omitempty"`
	// Customers requests the customers as the leader's last plans found them.
	Customers *struct{} `cbor:"14,keyasint,omitempty"`
	// Signs are signs of life of workers from a control instance that does not lead.
	Signs *signBatch `cbor:"15,keyasint,omitempty"`
}

// JobQuery requests the state of a job.
type JobQuery struct {
	Call batch.Call `cbor:"1,keyasint"`
	ID   string     `cbor:"2,keyasint"`
	// Progress also requests the numbers of units by state. Counting them takes time in
	// proportion to the size of the job.
	Progress bool `cbor:"3,keyasint,omitempty"`
}

// WorkerView describes a worker to operators.
type WorkerView struct {
	Worker batch.Worker `cbor:"1,keyasint"`
	Runs   int          `cbor:"2,keyasint,omitempty"` // number of active runs recorded for it
}

// Announcement is a worker's description of itself, which also serves as its
// heartbeat.
type Announcement struct {
	Worker  batch.Worker `cbor:"1,keyasint"`
	Leaving bool         `cbor:"2,keyasint,omitempty"` // the worker is shutting down
	// RemainingMS is the least time for which a draining worker still runs, ms; 0 if it does
	// not tell.
	RemainingMS int64 `cbor:"3,keyasint,omitempty"`
	// ClockMS is the worker's steady clock when it sent the announcement, ms; 0 if it does
	// not tell.
	ClockMS int64 `cbor:"4,keyasint,omitempty"`
	// ColdMS is the time for which the worker will still be cold, ms; 0 if it is warm or does
	// not tell.
	ColdMS int64 `cbor:"5,keyasint,omitempty"`
}

// Check validates an announcement. Its error is a *batch.InvalidError.
func (a *Announcement) Check() error {
	for _, ms := range [...]int64{a.RemainingMS, a.ClockMS, a.ColdMS} {
		if ms < 0 || ms > batch.MaxTimeMS {
			return &batch.InvalidError{Detail: "a time in the announcement is out of range"}
		}
	}
	if a.Leaving { // only names the worker
		return a.Worker.CheckIdentity()
	}
	return a.Worker.Check()
}

// Reply answers a request.
type Reply struct {
	// NotLeader is set if the instance does not lead. Leader is then the leader that it
	// knows of, or "".
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Members are the group's current members, from which instances learn of new ones.
	Members []string `cbor:"3,keyasint,omitempty"`
	// OutcomeUnknown is set if the leader could not determine the outcome in time. The request
	// may have been carried out.
	OutcomeUnknown bool          `cbor:"4,keyasint,omitempty"`
	Verdict        batch.Verdict `cbor:"5,keyasint,omitempty"`
	State          batch.State   `cbor:"6,keyasint,omitempty"`
	// FailedBy tells why a job has failed; it is set with State.
	FailedBy batch.FailCause `cbor:"15,keyasint,omitempty"`
	Pending  int             `cbor:"7,keyasint,omitempty"`
	// Document is the configuration in the form that its operator published; nil if
	// there is none yet.
	Document  []byte                  `cbor:"8,keyasint,omitempty"`
	Progress  *batch.Progress         `cbor:"9,keyasint,omitempty"`
	Workers   []WorkerView            `cbor:"10,keyasint,omitempty"` // sorted by id
	Zones     []ZoneView              `cbor:"11,keyasint,omitempty"` // sorted by name
	Customers []dispatch.CustomerView `cbor:"14,keyasint,omitempty"` // sorted by name
	// SignsTaken is set if the leader has recorded signs of life. An earlier version ignores them.
	SignsTaken bool `cbor:"16,keyasint,omitempty"`
	// Limits are the limits of the configuration in force in the answer to a ping; nil if it has
	// none. An earlier version does not send them.
	Limits *RequestLimits `cbor:"17,keyasint,omitempty"`
}

// RequestLimits are limits of callers' requests. A limit of 0 is not set.
type RequestLimits struct {
	HeaderBytes     int64 `cbor:"1,keyasint,omitempty"`
	BodyBytes       int64 `cbor:"2,keyasint,omitempty"`
	HeaderTimeoutMS int64 `cbor:"3,keyasint,omitempty"`
	IdleTimeoutMS   int64 `cbor:"4,keyasint,omitempty"`
}
