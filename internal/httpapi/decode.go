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
	// maxBodyMemory bounds the bytes of all bodies that are held at the same time.
	maxBodyMemory    = 64 << 20
	initialBodyBytes = 4 << 10
	// bodyTimeout bounds the time for reading one body.
	bodyTimeout = 10 * time.Second
	// overloadRetryAfter is the Retry-After of a request that was refused because
	// the instance is overloaded.
	overloadRetryAfter = time.Second
)

// memoryBudget is a semaphore that counts the bytes that may still be acquired.
type memoryBudget struct{ free atomic.Int64 }

func newMemoryBudget(n int64) *memoryBudget {
	b := &memoryBudget{}
	b.free.Store(n)
	return b
}

func (b *memoryBudget) acquire(n int) bool {
	if b.free.Add(-int64(n)) >= 0 {
		return true
	}
	b.free.Add(int64(n))
	return false
}

func (b *memoryBudget) release(n int) { b.free.Add(int64(n)) }

// bodyMemory is the memory budget of this process for request bodies.
var bodyMemory = newMemoryBudget(maxBodyMemory)

// decode reads one JSON value of bounded size and depth into v. The error is a
// *model.Refusal that has already been counted.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	ref := decodeBody(w, r, v)
	if ref == nil {
		return nil
	}
	telemetry.CountRefusal(ref.Reason)
	return ref
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) *model.Refusal {
	body, ref := readBody(w, r, bodyMemory)
	defer bodyMemory.release(cap(body))
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

// readBody reads a request body. It acquires memory from the budget as the body
// arrives, so that a slow client does not hold memory for bytes that it has not
// sent. The caller must release the capacity of the returned slice.
func readBody(w http.ResponseWriter, r *http.Request, b *memoryBudget) ([]byte, *model.Refusal) {
	// net/http removes the deadline at the end of the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	in := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.ContentLength > maxBodyBytes {
		return nil, tooLarge()
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			bigger, ref := growBody(body, b)
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

// growBody doubles the capacity of a body.
func growBody(body []byte, b *memoryBudget) ([]byte, *model.Refusal) {
	n := max(2*cap(body), initialBodyBytes)
	if !b.acquire(n) {
		return nil, overloaded("too many request bodies are being read")
	}
	bigger := make([]byte, len(body), n)
	copy(bigger, body)
	b.release(cap(body))
	return bigger, nil
}

func tooLarge() *model.Refusal {
	return model.Refuse(model.ReasonTooLarge, "the body is larger than %d bytes", maxBodyBytes)
}

func overloaded(detail string) *model.Refusal {
	return model.Refuse(model.ReasonOverloaded, "%s", detail).WithRetryAfter(overloadRetryAfter)
}

func readFailure(err error) *model.Refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return model.Refuse(model.ReasonTimeout, "the body did not arrive in %s", bodyTimeout)
	}
	return model.Refuse(model.ReasonInvalid, "the body is incomplete: %v", err)
}
