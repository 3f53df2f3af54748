package config

import "teaselpaddle.example/teaselpaddle/internal/model"

// sinceRequest asks a configuration voter for the changes after a version.
type sinceRequest struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
}

// sinceReply is the answer. Without a change it has about 5 bytes.
type sinceReply struct {
	// Version is the voter's current version.
	Version uint64              `cbor:"1,keyasint,omitempty"`
	Change  *model.ConfigChange `cbor:"2,keyasint,omitempty"`
}
