package httpapi

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/strictjson"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Limits on request bodies.
const (
	maxBodyBytes = 1 << 20
	maxNesting   = 32
	maxTokens    = 200000 // keys and values; decoding this many takes about 50 ms
	// bodyBudget bounds the bodies that are held at the same time.
	bodyBudget = 64 << 20
	firstRead  = 4 << 10
	// bodyTimeout bounds the reading of one body.
	bodyTimeout = 10 * time.Second
	// overloadRetry is the Retry-After of a request that found no room.
	overloadRetry = time.Second
)

// budget counts the bytes that may still be held.
type budget struct{ free atomic.Int64 }

func newBudget(n int64) *budget {
	b := &budget{}
	b.free.Store(n)
	return b
}

func (b *budget) take(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.free.Add(int64(n))
	return false
}

func (b *budget) give(n int) { b.free.Add(int64(n)) }

// bodies is the budget of this process.
var bodies = newBudget(bodyBudget)

// decode reads one JSON value of a bounded size and depth into v. The error is
// a *model.Refusal that has been counted already.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	ref := decodeBody(w, r, v)
	if ref == nil {
		return nil
	}
	telemetry.Refused(ref.Reason)
	return ref
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) *model.Refusal {
	body, ref := readBody(w, r, bodies)
	defer bodies.give(cap(body))
	if ref != nil {
		return ref
	}
	err := strictjson.Decode(body, v, strictjson.Limits{Nesting: maxNesting, Tokens: maxTokens})
	if err == nil {
		return nil
	}
	ref = model.Refuse(model.ReasonInvalid, "the body is not valid: %v", err)
	var list *strictjson.Error
	if errors.As(err, &list) {
		ref.Field = list.Problems[0].Path
	}
	return ref
}

// readBody reads a body. Memory is taken from the budget as the body arrives, so
// a slow client holds no more than it has sent. The caller gives back the
// capacity of the returned slice.
func readBody(w http.ResponseWriter, r *http.Request, b *budget) ([]byte, *model.Refusal) {
	// net/http removes the deadline once it has seen the end of the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	in := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength > maxBodyBytes {
		return nil, tooLarge()
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			bigger, ref := grow(body, b)
			if ref != nil {
				return body, ref
			}
			body = bigger
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, readFailure(err)
		}
	}
}

// grow doubles the capacity of a body.
func grow(body []byte, b *budget) ([]byte, *model.Refusal) {
	n := max(2*cap(body), firstRead)
	if !b.take(n) {
		return nil, overloaded("too many request bodies are being read")
	}
	bigger := make([]byte, len(body), n)
	copy(bigger, body)
	b.give(cap(body))
	return bigger, nil
}

func tooLarge() *model.Refusal {
	return model.Refuse(model.ReasonTooLarge, "the body is larger than %d bytes", maxBodyBytes)
}

func overloaded(detail string) *model.Refusal {
	return model.Refuse(model.ReasonOverloaded, "%s", detail).After(overloadRetry)
}

func readFailure(err error) *model.Refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return model.Refuse(model.ReasonTimeout, "the body did not arrive in %s", bodyTimeout)
	}
	return model.Refuse(model.ReasonInvalid, "the body was cut off: %v", err)
}
