package httpapi

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/httpserver"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/strictjson"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Limits on request bodies.
const (
	maxBodyBytes = 1 << 20
	maxNesting   = 32
	maxTokens    = 200000 // keys and values; decoding this many takes about 50 ms
	// overloadRetryAfter is the Retry-After of a request that was refused because
	// the instance is overloaded.
	overloadRetryAfter = time.Second
)

// decode reads one JSON value of bounded size and depth into v. The error is a
// *model.Refusal that has already been counted. end must be called after the request.
func decode(w http.ResponseWriter, r *http.Request, v any) (end func(), err error) {
	end, ref := decodeBody(w, r, v)
	if ref == nil {
		return end, nil
	}
	telemetry.CountRefusal(ref.Reason)
	return nil, ref
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) (end func(), ref *model.Refusal) {
	body, err := httpserver.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	end, err = httpserver.BeginLarge(r, len(body))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	err = strictjson.Decode(body, v, strictjson.Limits{Nesting: maxNesting, Tokens: maxTokens})
	if err == nil {
		return end, nil
	}
	end()
	ref = model.Refuse(model.ReasonInvalid, "the body is not valid: %v", err)
	var list *strictjson.Error
	if errors.As(err, &list) {
		ref.Field = list.Problems[0].Path
	}
	return nil, ref
}

func overloaded(detail string) *model.Refusal {
	return model.Refuse(model.ReasonOverloaded, "%s", detail).WithRetryAfter(overloadRetryAfter)
}

// bodyRefusal returns the refusal of a request whose body was not read or which was not passed on.
func bodyRefusal(err error) *model.Refusal {
	var large *httpserver.TooLargeError
	var slow *httpserver.SlowError
	var busy *httpserver.OverloadedError
	switch {
	case errors.As(err, &large):
		return model.Refuse(model.ReasonTooLarge, "%v", err)
	case errors.As(err, &slow):
		return model.Refuse(model.ReasonTimeout, "%v", err)
	case errors.As(err, &busy):
		return overloaded(busy.Detail)
	}
	return model.Refuse(model.ReasonInvalid, "%v", err)
}
