// Package codec encodes the messages between daemons and the commands of the
// replicated logs as CBOR (RFC 8949).
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Limits on decoded input, so that a damaged or hostile message cannot exhaust
// memory.
const (
	maxNesting  = 32
	maxElements = 1 << 20
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// DecodeError reports input that is not valid CBOR for its type.
type DecodeError struct{ Cause error }

func (e *DecodeError) Error() string { return "decode CBOR: " + e.Cause.Error() }

// Unwrap returns the error of the CBOR library.
func (e *DecodeError) Unwrap() error { return e.Cause }

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	m, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v deterministically.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Trace(err)
}

// Unmarshal decodes data into v. It returns *DecodeError if the input is invalid.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}
