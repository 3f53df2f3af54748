package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Problem is an RFC 9457 problem document with a stable code.
type Problem struct {
	Type   string         `json:"type"`
	Title  string         `json:"title"`
	Status int            `json:"status"`
	Code   model.Reason   `json:"code"`
	Detail string         `json:"detail,omitempty"`
	Field  string         `json:"field,omitempty"`
	State  model.JobState `json:"state,omitempty"`
}

var statusByReason = map[model.Reason]int{
	model.ReasonInvalid:          http.StatusBadRequest,
	model.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	model.ReasonNotFound:         http.StatusNotFound,
	model.ReasonUnknownKey:       http.StatusUnauthorized,
	model.ReasonNotSupported:     http.StatusNotImplemented,
	model.ReasonMethodNotAllowed: http.StatusMethodNotAllowed,
	model.ReasonKeyConflict:      http.StatusConflict,
	model.ReasonVersionConflict:  http.StatusConflict,
	model.ReasonPublishKeyReuse:  http.StatusConflict,
	model.ReasonGuaranteesTooBig: http.StatusUnprocessableEntity,
	model.ReasonUnknownCustomer:  http.StatusUnprocessableEntity,
	model.ReasonNeverFits:        http.StatusUnprocessableEntity,
	model.ReasonDeadlineUnmet:    http.StatusUnprocessableEntity,
	model.ReasonQueueFull:        http.StatusTooManyRequests,
	model.ReasonInternal:         http.StatusInternalServerError,
	model.ReasonTimeout:          http.StatusRequestTimeout,
	model.ReasonStaleFence:       http.StatusConflict,
	model.ReasonStaleTerm:        http.StatusConflict,
	model.ReasonUnknownZone:      http.StatusNotFound,
}

// defaultRetryAfter is the Retry-After of refusals that carry none of their own.
var defaultRetryAfter = map[model.Reason]time.Duration{
	model.ReasonQueueFull:        5 * time.Second, // until jobs have left the queue
	model.ReasonNoConfiguration:  2 * time.Second,
	model.ReasonNoDurableReplica: 5 * time.Second, // until a voter with a disk is back
	model.ReasonOverloaded:       overloadRetryAfter,
	model.ReasonStopping:         time.Second, // another instance takes over
	model.ReasonOutcomeUnknown:   2 * time.Second,
	model.ReasonNoLeader:         2 * time.Second, // longer than an election
	model.ReasonOvertaken:        time.Second,     // until the opposite order is acknowledged
}

// withoutState removes the job state from a refusal of a request that does not
// submit, read or cancel a job.
func withoutState(err error) error {
	var ref *model.Refusal
	if !errors.As(err, &ref) || ref.State == "" {
		return err
	}
	out := *ref
	out.State = ""
	return &out
}

// writeError answers with a problem document for a refusal that has already been
// counted. An error that is not a Refusal is counted and answered as an internal
// error without its text, which may disclose internals.
func writeError(w http.ResponseWriter, err error) {
	var ref *model.Refusal
	if !errors.As(err, &ref) {
		refuse(w, model.Refuse(model.ReasonInternal, "the request failed"))
		return
	}
	status := statusByReason[ref.Reason]
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	after := ref.RetryAfter
	if after == 0 {
		after = defaultRetryAfter[ref.Reason]
	}
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Code: ref.Reason, Detail: ref.Detail, Field: ref.Field, State: ref.State,
	})
}
