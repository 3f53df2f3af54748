package httpapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Limits on request bodies.
const (
	maxBodyBytes = 1 << 20
	maxNesting   = 32
)

// decode reads one JSON value of a bounded size and depth into v. The error is
// a *model.Refusal.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return model.Refuse(model.ReasonTooLarge, "the body is larger than %d bytes", maxBodyBytes)
		}
		return model.Refuse(model.ReasonInvalid, "the body was cut off: %v", err)
	}
	if depth(body) > maxNesting {
		return model.Refuse(model.ReasonInvalid, "the body is nested deeper than %d levels", maxNesting)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return model.Refuse(model.ReasonInvalid, "the body is not valid: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return model.Refuse(model.ReasonInvalid, "the body has data after the JSON value")
	}
	return nil
}

// depth returns the deepest nesting of arrays and objects.
func depth(body []byte) int {
	deepest, level := 0, 0
	inString, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			level++
			deepest = max(deepest, level)
		case b == '}' || b == ']':
			level--
		}
	}
	return deepest
}
