package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/retry"
)

// Limits of one exchange with one server.
const (
	dialTimeout    = 2 * time.Second
	answerTimeout  = 10 * time.Second // longer than a daemon's own limit of 6 s
	maxAnswerBytes = 256 << 20
	retryPause     = time.Second // if the server names none
)

// client talks to the first server that answers. Every request of the interface
// is idempotent, so a request whose answer was lost is sent to the next server.
type client struct {
	servers []string
	timeout time.Duration
	http    *http.Client
}

func newClient(servers []string, timeout time.Duration) *client {
	tr := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &client{servers: servers, timeout: timeout, http: &http.Client{Transport: tr}}
}

// request is one request to the interface.
type request struct {
	method string
	path   string // with the query
	body   any
	key    string // of the customer; "" sends none
	// wait is added to the time that a server has for its answer.
	wait time.Duration
}

func (r *request) changes() bool { return r.method != http.MethodGet }

// elsewhere are the refusals for which another server may do better.
var elsewhere = map[model.Reason]bool{
	model.ReasonStopping:         true,
	model.ReasonOverloaded:       true,
	model.ReasonNoLeader:         true,
	model.ReasonOwnerUnreachable: true,
	model.ReasonOutcomeUnknown:   true,
	model.ReasonInternal:         true,
}

// do sends a request to the servers in turn and decodes the answer into v. The
// error is the one that says most about the outcome: a change that may have
// happened goes before a refusal, and a refusal before an unreachable server.
func (c *client) do(ctx context.Context, r *request, v any) error {
	var worst error
	for _, server := range c.servers {
		err := c.exchange(ctx, server, r, v)
		var p *ProblemError
		if err == nil || (errors.As(err, &p) && !elsewhere[p.Problem.Code]) {
			return err
		}
		if worst == nil || weight(err) >= weight(worst) {
			worst = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return worst
}

func weight(err error) int {
	switch exitCode(err) {
	case exitUnknown:
		return 2
	case exitUnreachable:
		return 0
	}
	return 1
}

// exchange sends a request to one server.
func (c *client) exchange(ctx context.Context, server string, r *request, v any) error {
	ctx, cancel := context.WithTimeout(ctx, min(answerTimeout, c.timeout)+r.wait)
	defer cancel()
	var body io.Reader
	if r.body != nil {
		b, err := json.Marshal(r.body)
		if err != nil {
			return errors.Trace(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+server+r.path, body)
	if err != nil {
		return &UsageError{Detail: "server address " + strconv.Quote(server) + ": " + err.Error()}
	}
	if r.key != "" {
		req.Header.Set(httpapi.HeaderKey, r.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.noAnswer(server, r, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return c.noAnswer(server, r, err)
	}
	return read(server, resp, raw, v)
}

// noAnswer classifies a failed exchange. A request that changes nothing has no
// outcome to be unsure about.
func (c *client) noAnswer(server string, r *request, err error) error {
	var op *net.OpError
	if !r.changes() || (errors.As(err, &op) && op.Op == "dial") {
		return &UnreachableError{Servers: c.servers, Cause: err}
	}
	return &NoAnswerError{Server: server, Cause: err}
}

func read(server string, resp *http.Response, raw []byte, v any) error {
	if resp.StatusCode/100 != 2 {
		e := &ProblemError{}
		if err := json.Unmarshal(raw, &e.Problem); err != nil || e.Problem.Code == "" {
			return &AnswerError{Server: server, Status: resp.StatusCode, Detail: string(raw[:min(len(raw), 200)])}
		}
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			e.RetryAfter = time.Duration(s) * time.Second
		}
		return e
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &AnswerError{Server: server, Status: resp.StatusCode, Detail: err.Error()}
	}
	return nil
}

// persist repeats a change until its outcome is certain or the time limit has
// passed. progress is told of each failed try.
func (c *client) persist(ctx context.Context, r *request, v any, progress func(error)) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var doubt error
	for {
		err := c.do(ctx, r, v)
		if err == nil {
			return nil
		}
		switch {
		case exitCode(err) == exitUnknown:
			doubt = err
		case doubt == nil || exitCode(err) == exitRefused && !retryable(err):
			return err
		}
		progress(err)
		if !retry.Sleep(ctx, pauseAfter(err)) {
			return doubt
		}
	}
}

// retryable reports whether a refusal says nothing final about the change.
func retryable(err error) bool {
	var p *ProblemError
	return !errors.As(err, &p) || elsewhere[p.Problem.Code]
}

func pauseAfter(err error) time.Duration {
	var p *ProblemError
	if errors.As(err, &p) && p.RetryAfter > 0 {
		return p.RetryAfter
	}
	return retryPause
}
