package config

import (
	"crypto/sha256"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Publish is a request to change the accepted configuration, and the only
// command of the configuration group's log. It carries only the services that
// differ from version Expected.
type Publish struct {
	// At is the time of the proposal by the leader's clock. The leader sets it; it is
	// not part of the publisher's request.
	At        time.Time       `json:"-" cbor:"1,keyasint"`
	Expected  uint64          `json:"expected_version" cbor:"2,keyasint,omitempty"`
	Key       string          `json:"publish_key" cbor:"3,keyasint"`
	Publisher string          `json:"publisher" cbor:"4,keyasint"`
	Changed   []model.Service `json:"changed,omitempty" cbor:"5,keyasint,omitempty"`
	Removed   []string        `json:"removed,omitempty" cbor:"6,keyasint,omitempty"`
}

// Encode returns the log entry.
func (p *Publish) Encode() ([]byte, error) { return codec.Marshal(p) }

// Digest returns a hash of the publisher's request, without the leader's time.
func (p *Publish) Digest() ([]byte, error) {
	q := *p
	q.At = time.Time{}
	b, err := codec.Marshal(&q)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(b)
	return sum[:], nil
}

// Record is the history's record of one accepted publish.
type Record struct {
	Version    uint64    `json:"version" cbor:"1,keyasint"`
	AcceptedAt time.Time `json:"accepted_at" cbor:"2,keyasint"`
	Publisher  string    `json:"publisher" cbor:"3,keyasint"`
	PublishKey string    `json:"publish_key" cbor:"4,keyasint"`
	Changed    []string  `json:"changed,omitempty" cbor:"5,keyasint,omitempty"`
	Removed    []string  `json:"removed,omitempty" cbor:"6,keyasint,omitempty"`
}

// Answer is the result of a publish: a record or a refusal.
type Answer struct {
	Record  *Record        `cbor:"1,keyasint,omitempty"`
	Refusal *model.Refusal `cbor:"2,keyasint,omitempty"`
	// Duplicate is set if this is the stored answer to an earlier publish with the
	// same key.
	Duplicate bool `cbor:"3,keyasint,omitempty"`
}

func refused(reason model.Reason, format string, args ...any) *Answer {
	return &Answer{Refusal: model.Refuse(reason, format, args...)}
}
