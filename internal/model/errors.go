package model

import (
	"fmt"
	"time"
)

// Refusal is the error of a request that was refused. Reason is the stable code
// in the problem document sent to the caller.
type Refusal struct {
	Reason Reason
	Detail string
	// Field names the invalid field of the request, if there is one.
	Field string
	// RetryAfter is the time after which the same request may succeed; 0 if
	// retrying cannot help.
	RetryAfter time.Duration
	// State is NotRun if the job certainly did not run, Unknown if that is not
	// known, and empty if the request was not for running a job.
	State JobState
}

func (r *Refusal) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s: field %q: %s", r.Reason, r.Field, r.Detail)
	}
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// Refuse returns a Refusal with a formatted detail text.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// RefuseField returns a Refusal for an invalid field of a request.
func RefuseField(field, format string, args ...any) *Refusal {
	return &Refusal{Reason: ReasonInvalid, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithState sets State, what is known about whether the job ran, and returns r.
func (r *Refusal) WithState(s JobState) *Refusal {
	r.State = s
	return r
}
