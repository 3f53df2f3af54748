package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// UsageError reports an invalid command line.
type UsageError struct{ Detail string }

func (e *UsageError) Error() string { return e.Detail }

// UnreachableError reports that no server answered and that nothing was changed: no
// connection could be made, or the request was a read.
type UnreachableError struct {
	Servers []string
	Cause   error // of the last server
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no server can be reached (%s): %v", strings.Join(e.Servers, ", "), e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoAnswerError reports that a change was sent and no answer was received, so that its
// outcome is unknown.
type NoAnswerError struct {
	Server string
	Cause  error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer from %s, the outcome is not known: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// ProblemError reports a refusal by a server.
type ProblemError struct {
	Problem    httpapi.Problem
	RetryAfter time.Duration // 0 if the server sent none, because a retry cannot help
}

func (e *ProblemError) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Problem.Code))
	if e.Problem.Field != "" {
		fmt.Fprintf(&b, ": field %q", e.Problem.Field)
	}
	if e.Problem.Detail != "" {
		b.WriteString(": " + e.Problem.Detail)
	}
	if e.Problem.State != "" {
		fmt.Fprintf(&b, " (state %s)", e.Problem.State)
	}
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, "; retry after %s", e.RetryAfter)
	}
	return b.String()
}

// uncertain reports whether the refused change may still happen.
func (e *ProblemError) uncertain() bool {
	return e.Problem.Code == model.ReasonOutcomeUnknown || e.Problem.State == model.Unknown
}

// InvalidAnswerError reports an answer that could not be decoded.
type InvalidAnswerError struct {
	Server string
	Status int
	Detail string
	// Change is set if the request makes a change, whose outcome is then unknown.
	Change bool
}

func (e *InvalidAnswerError) Error() string {
	return fmt.Sprintf("%s answered with status %d and an unexpected body: %s", e.Server, e.Status, e.Detail)
}

// NotDoneError reports that a job ended in a state other than done or completed, or
// that the wait for its end was cancelled.
type NotDoneError struct {
	ID     model.JobID
	State  model.JobState
	Reason model.Reason
}

func (e *NotDoneError) Error() string { return fmt.Sprintf("job %s: %s, %s", e.ID, e.State, e.Reason) }

// NotConfirmedError reports that the operator did not confirm a publish.
type NotConfirmedError struct{}

func (*NotConfirmedError) Error() string { return "not confirmed; nothing was published" }

// exitCode returns the tool's exit code for an error.
func exitCode(err error) int {
	var usage *UsageError
	var unreachable *UnreachableError
	var noAnswer *NoAnswerError
	var problem *ProblemError
	var notDone *NotDoneError
	var invalid *InvalidAnswerError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &noAnswer), errors.As(err, &invalid) && invalid.Change:
		return exitUnknown
	case errors.As(err, &problem) && problem.uncertain():
		return exitUnknown
	case errors.As(err, &notDone) && notDone.State == model.Unknown:
		return exitUnknown
	}
	return exitRefused
}
