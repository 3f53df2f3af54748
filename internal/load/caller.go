package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Limits of calls and retries.
const (
	submitTimeout  = 8 * time.Second        // slightly more than the daemons' own limit
	getWait        = 5 * time.Second        // how long a get waits for the final state
	dropAfter      = 3 * time.Millisecond   // time until the connection of a dropped answer is closed
	retryPause     = 100 * time.Millisecond // shortest pause before a retry
	maxRetryAfter  = 2 * time.Second        // a longer Retry-After is cut to this
	maxAnswerBytes = 32 << 20
	stormRounds    = 3 // submissions of each request to each entry in mode storm
)

// Answer is the state of a job as a daemon answers it.
type Answer struct {
	ID      model.JobID        `json:"id"`
	State   model.JobState     `json:"state"`
	Reason  model.Reason       `json:"reason"`
	Results []model.TaskResult `json:"results"`
	// At is when the answer arrived.
	At time.Time `json:"-"`
}

// Problem is a problem document, the body of an error response.
type Problem struct {
	Status int            `json:"status"`
	Code   model.Reason   `json:"code"`
	Detail string         `json:"detail"`
	State  model.JobState `json:"state"`
	// RetryAfter is 0 if the response had no Retry-After.
	RetryAfter time.Duration `json:"-"`
	At         time.Time     `json:"-"`
}

func (p *Problem) Error() string { return fmt.Sprintf("%d %s: %s", p.Status, p.Code, p.Detail) }

// Outcome holds all answers to one request.
type Outcome struct {
	Spec      model.JobSpec
	Submitted time.Time
	// Final holds the answers with a final state, in order of arrival.
	Final []Answer
	// Problems holds the problem documents that carry a state or are final.
	Problems []Problem
	// Refusals counts all problem documents by code. Calls without an answer count
	// as NotConnected or NoAnswer.
	Refusals map[model.Reason]int
}

// Codes in Outcome.Refusals of calls without an answer.
const (
	NotConnected model.Reason = "not connected" // the request was not sent
	NoAnswer     model.Reason = "no answer"     // the request was sent
)

func (o *Outcome) countRefusal(code model.Reason) {
	if o.Refusals == nil {
		o.Refusals = map[model.Reason]int{}
	}
	o.Refusals[code]++
}

// Answer returns the first final answer, or nil.
func (o *Outcome) Answer() *Answer {
	if len(o.Final) == 0 {
		return nil
	}
	return &o.Final[0]
}

// State returns the state in the first final answer. Without one it returns the
// state in a permanent refusal, and "" if there is neither.
func (o *Outcome) State() model.JobState {
	if a := o.Answer(); a != nil {
		return a.State
	}
	if n := len(o.Problems); n > 0 && o.Problems[n-1].RetryAfter == 0 {
		return o.Problems[n-1].State
	}
	return ""
}

func (o *Outcome) String() string {
	if a := o.Answer(); a != nil {
		return fmt.Sprintf("job %s customer %s key %s state %s reason %q tasks answered %d of %d in %s",
			a.ID, o.Spec.Customer, o.Spec.Key, a.State, a.Reason, len(a.Results), o.Spec.Tasks,
			a.At.Sub(o.Submitted).Round(time.Millisecond))
	}
	if n := len(o.Problems); n > 0 {
		return fmt.Sprintf("customer %s key %s refused: %v", o.Spec.Customer, o.Spec.Key, &o.Problems[n-1])
	}
	return fmt.Sprintf("customer %s key %s has no answer", o.Spec.Customer, o.Spec.Key)
}

// Caller sends requests through several entry instances.
type Caller struct {
	Entries []string
	// DropAnswer reports whether the answer of the next submission is dropped. nil
	// means never.
	DropAnswer func() bool
	client     *http.Client
}

// NewCaller returns a caller that sends requests to the given client addresses.
func NewCaller(entries []string) *Caller {
	return &Caller{Entries: entries, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: 5 * time.Second,
	}}}
}

// WithoutKeepAlive makes each call use its own connection. A stopping instance
// closes idle connections, and a call on such a connection cannot distinguish
// that from an interrupted request.
func (c *Caller) WithoutKeepAlive() *Caller {
	c.client.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

// entryAt returns entry instance i, counted modulo their number.
func (c *Caller) entryAt(i int) string { return c.Entries[i%len(c.Entries)] }

// Follow submits a request and follows it until a final answer, a permanent
// refusal, or the end of ctx. It begins with entry instance i and moves to the
// next one after each failure.
func (c *Caller) Follow(ctx context.Context, i int, out *Outcome) {
	if out.Submitted.IsZero() {
		out.Submitted = time.Now()
	}
	for ; ctx.Err() == nil; i++ {
		if c.DropAnswer != nil && c.DropAnswer() {
			c.submitAndDrop(ctx, c.entryAt(i), &out.Spec)
			continue
		}
		a, err := c.Submit(ctx, c.entryAt(i), &out.Spec)
		for err == nil && !a.State.Final() {
			a, err = c.Get(ctx, c.entryAt(i), a.ID, getWait)
		}
		if err == nil {
			out.Final = append(out.Final, *a)
			return
		}
		if c.handleFailure(ctx, out, err) {
			return
		}
	}
}

// handleFailure records a failed call and waits before the retry. It reports
// whether the request was refused permanently, in which case it does not wait.
func (c *Caller) handleFailure(ctx context.Context, out *Outcome, err error) bool {
	var p *Problem
	if !errors.As(err, &p) {
		out.countRefusal(failureCode(err))
		pause(ctx, retryPause)
		return false
	}
	out.countRefusal(p.Code)
	final := p.RetryAfter == 0 && p.Status/100 == 4 && p.Code != model.ReasonNotFound
	if final || p.State != "" {
		out.Problems = append(out.Problems, *p)
	}
	if !final {
		pause(ctx, min(max(p.RetryAfter, retryPause), maxRetryAfter))
	}
	return final
}

// failureCode returns the code of a call without an answer.
func failureCode(err error) model.Reason {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotConnected
	}
	return NoAnswer
}

// submitAndDrop sends a request and closes the connection after dropAfter,
// usually before the answer arrives.
func (c *Caller) submitAndDrop(ctx context.Context, entry string, spec *model.JobSpec) {
	ctx, cancel := context.WithTimeout(ctx, dropAfter)
	defer cancel()
	_, _ = c.Submit(ctx, entry, spec)
}

// Storm sends the same request several times through every entry instance
// concurrently and ignores the answers.
func (c *Caller) Storm(ctx context.Context, out *Outcome) {
	out.Submitted = time.Now()
	var wg sync.WaitGroup
	for range stormRounds {
		for _, e := range c.Entries {
			wg.Go(func() { _, _ = c.Submit(ctx, e, &out.Spec) })
		}
	}
	wg.Wait()
}

// CrossCheck reads the final answer again through entry instance i.
func (c *Caller) CrossCheck(ctx context.Context, i int, out *Outcome) {
	a := out.Answer()
	if a == nil {
		return
	}
	again, err := c.Get(ctx, c.entryAt(i), a.ID, 0)
	if err == nil && again.State.Final() {
		out.Final = append(out.Final, *again)
	}
}

// Submit posts a job. The error is a *Problem if the daemon gave one.
func (c *Caller) Submit(ctx context.Context, entry string, spec *model.JobSpec) (*Answer, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return c.call(ctx, http.MethodPost, "http://"+entry+"/v1/jobs", body)
}

// Get reads a job. The daemon waits up to wait for the job's final state.
func (c *Caller) Get(ctx context.Context, entry string, id model.JobID, wait time.Duration) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout+wait)
	defer cancel()
	return c.call(ctx, http.MethodGet, "http://"+entry+"/v1/jobs/"+string(id)+"?wait="+wait.String(), nil)
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, entry string, id model.JobID) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return c.call(ctx, http.MethodDelete, "http://"+entry+"/v1/jobs/"+string(id), nil)
}

// CancelUntilAnswered cancels the job of a request. It retries through the next
// entry instance after each failure, until a cancellation is answered or ctx ends.
func (c *Caller) CancelUntilAnswered(ctx context.Context, i int, spec *model.JobSpec) {
	for ; ctx.Err() == nil; i++ {
		// Submissions are idempotent: resubmitting returns the job and with it the
		// ID.
		a, err := c.Submit(ctx, c.entryAt(i), spec)
		if err == nil {
			_, err = c.Cancel(ctx, c.entryAt(i), a.ID)
		}
		if err == nil {
			return
		}
		pause(ctx, retryPause)
	}
}

// call sends a request. A response other than 2xx is returned as a *Problem.
func (c *Caller) call(ctx context.Context, method, url string, body []byte) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, problemOf(resp, raw)
	}
	a := &Answer{At: time.Now()}
	if err := json.Unmarshal(raw, a); err != nil {
		return nil, errors.Trace(err)
	}
	return a, nil
}

// problemOf returns the problem in an error response. A body that is not a problem
// document becomes its Detail.
func problemOf(resp *http.Response, raw []byte) *Problem {
	p := &Problem{At: time.Now()}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") || json.Unmarshal(raw, p) != nil {
		p.Detail = string(raw)
	}
	p.Status = resp.StatusCode
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		p.RetryAfter = time.Duration(n) * time.Second
	}
	return p
}
