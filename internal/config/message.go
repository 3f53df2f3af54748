package config

import "teaselpaddle.example/teaselpaddle/internal/model"

// changeRequest requests the changes after a version from a configuration voter.
type changeRequest struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
}

// changeReply is the answer to a changeRequest. Without a change it takes about
// 5 bytes.
type changeReply struct {
	// Version is the voter's current version.
	Version uint64              `cbor:"1,keyasint,omitempty"`
	Change  *model.ConfigChange `cbor:"2,keyasint,omitempty"`
}
