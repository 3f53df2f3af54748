package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

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

var statusOf = map[model.Reason]int{
	model.ReasonInvalid:          http.StatusBadRequest,
	model.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	model.ReasonNotFound:         http.StatusNotFound,
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
}

// writeError answers with a problem document. Errors that are not a Refusal are
// answered as internal errors.
func writeError(w http.ResponseWriter, err error) {
	var ref *model.Refusal
	if !errors.As(err, &ref) {
		ref = model.Refuse(model.ReasonInternal, "%v", err)
	}
	status := statusOf[ref.Reason]
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if ref.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(ref.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Code: ref.Reason, Detail: ref.Detail, Field: ref.Field, State: ref.State,
	})
}
