package model

import (
	"fmt"
	"time"
)

// Refusal is a request that was refused. Its reason is the stable code of the
// problem document that the caller gets.
type Refusal struct {
	Reason Reason
	Detail string
	// Field names the offending field of the request, if there is one.
	Field string
	// RetryAfter is the time after which the same request may succeed; 0 if a
	// retry cannot help.
	RetryAfter time.Duration
	// State is NotRun if the job certainly did not run, Unknown if that cannot
	// be told, and empty if the request was not about running a job.
	State JobState
}

func (r *Refusal) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s: field %q: %s", r.Reason, r.Field, r.Detail)
	}
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// Refuse returns a Refusal with a formatted detail.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// RefuseField returns a Refusal of one field of a request.
func RefuseField(field, format string, args ...any) *Refusal {
	return &Refusal{Reason: ReasonInvalid, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// After sets the time after which a retry may succeed.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// With sets what is known about the job's run.
func (r *Refusal) With(s JobState) *Refusal {
	r.State = s
	return r
}
