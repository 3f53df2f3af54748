// Package region runs the parts of a deployment whose jobs belong to one group
// over all availability zones: control instances, which hold the group's state
// on disk and lead it in turn, and entry instances, which hold none and forward.
package region

import (
	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// request is a request for the group's leader; exactly one field is set. Every
// request may be sent again: it has the effect of one.
type request struct {
	Submit   *batch.Submit `cbor:"1,keyasint,omitempty"`
	Cancel   *batch.Cancel `cbor:"2,keyasint,omitempty"`
	Job      *JobQuery     `cbor:"3,keyasint,omitempty"`
	Pending  *batch.Call   `cbor:"4,keyasint,omitempty"`
	Publish  *batch.Config `cbor:"5,keyasint,omitempty"`
	Config   *struct{}     `cbor:"6,keyasint,omitempty"`
	Announce *Announcement `cbor:"7,keyasint,omitempty"`
	Ping     *struct{}     `cbor:"8,keyasint,omitempty"`
	Workers  *struct{}     `cbor:"9,keyasint,omitempty"`
}

// JobQuery asks for a job's state.
type JobQuery struct {
	Call batch.Call `cbor:"1,keyasint"`
	ID   string     `cbor:"2,keyasint"`
	// Progress asks for the number of units too, which takes time in proportion to
	// the size of the job.
	Progress bool `cbor:"3,keyasint,omitempty"`
}

// WorkerView is a worker as operators see it.
type WorkerView struct {
	Worker batch.Worker `cbor:"1,keyasint"`
	Runs   int          `cbor:"2,keyasint,omitempty"` // that are recorded on it
}

// Announcement is what a worker says of itself.
type Announcement struct {
	Worker  batch.Worker `cbor:"1,keyasint"`
	Leaving bool         `cbor:"2,keyasint,omitempty"` // it ends now
}

// Reply answers a request.
type Reply struct {
	// NotLeader is set if the instance asked does not lead; Leader is the one it
	// knows of, or "".
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Members are the group's members, so that an instance learns of new ones.
	Members []string `cbor:"3,keyasint,omitempty"`
	// Unsure is set if the leader could not confirm its answer in time. The
	// request may have been carried out.
	Unsure  bool          `cbor:"4,keyasint,omitempty"`
	Verdict batch.Verdict `cbor:"5,keyasint,omitempty"`
	State   batch.State   `cbor:"6,keyasint,omitempty"`
	Pending int           `cbor:"7,keyasint,omitempty"`
	// Document is the configuration as its operator published it; nil if there is
	// none yet.
	Document []byte          `cbor:"8,keyasint,omitempty"`
	Progress *batch.Progress `cbor:"9,keyasint,omitempty"`
	Workers  []WorkerView    `cbor:"10,keyasint,omitempty"` // by name
}
