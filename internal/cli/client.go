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

// Limits of one request to one server.
const (
	dialTimeout       = 2 * time.Second
	responseTimeout   = 10 * time.Second // longer than the daemons' own limit of 6 s
	maxResponseBytes  = 256 << 20
	defaultRetryDelay = time.Second // if the server sends no Retry-After
)

// client sends requests to the servers of a list in turn until one answers. Every
// request of the API is idempotent, so a request whose answer was lost is sent to the
// next server.
type client struct {
	servers []string
	timeout time.Duration
	http    *http.Client
}

func newClient(servers []string, timeout time.Duration) *client {
	tr := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &client{servers: servers, timeout: timeout, http: &http.Client{Transport: tr}}
}

// request is one request to the API.
type request struct {
	method string
	path   string // including the query
	body   any
	apiKey string // of the customer; not sent if empty
	// extraWait is added to the timeout of the answer, for requests on which the server
	// waits.
	extraWait time.Duration
}

func (r *request) mutates() bool { return r.method != http.MethodGet }

// retryableReasons are the refusals after which the same request may succeed on
// another server.
var retryableReasons = map[model.Reason]bool{
	model.ReasonStopping:         true,
	model.ReasonOverloaded:       true,
	model.ReasonNoLeader:         true,
	model.ReasonOwnerUnreachable: true,
	model.ReasonOutcomeUnknown:   true,
	model.ReasonInternal:         true,
}

// do sends a request to the servers in turn and decodes the answer into v. If all
// fail, it returns the error with the highest rank: a change that may have happened
// ranks above a refusal, and a refusal above an unreachable server.
func (c *client) do(ctx context.Context, r *request, v any) error {
	var highest error
	for _, server := range c.servers {
		err := c.exchange(ctx, server, r, v)
		var p *ProblemError
		if err == nil || (errors.As(err, &p) && !retryableReasons[p.Problem.Code]) {
			return err
		}
		if highest == nil || errorRank(err) >= errorRank(highest) {
			highest = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return highest
}

// errorRank orders errors by what they say about the outcome of a request.
func errorRank(err error) int {
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
	ctx, cancel := context.WithTimeout(ctx, min(responseTimeout, c.timeout)+r.extraWait)
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
	if r.apiKey != "" {
		req.Header.Set(httpapi.HeaderAPIKey, r.apiKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.classifyFailure(server, r, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.classifyFailure(server, r, err)
	}
	return decodeResponse(server, r, resp, raw, v)
}

// classifyFailure returns the error of an exchange without an answer. The outcome is
// unknown only if the request makes a change and may have reached the server.
func (c *client) classifyFailure(server string, r *request, err error) error {
	var opErr *net.OpError
	if !r.mutates() || (errors.As(err, &opErr) && opErr.Op == "dial") {
		return &UnreachableError{Servers: c.servers, Cause: err}
	}
	return &NoAnswerError{Server: server, Cause: err}
}

// decodeResponse decodes a successful answer into v, and any other answer into an
// error.
func decodeResponse(server string, r *request, resp *http.Response, raw []byte, v any) error {
	if resp.StatusCode/100 != 2 {
		e := &ProblemError{}
		if err := json.Unmarshal(raw, &e.Problem); err != nil || e.Problem.Code == "" {
			return &InvalidAnswerError{Server: server, Status: resp.StatusCode, Detail: string(raw[:min(len(raw), 200)]), Change: r.mutates()}
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
		return &InvalidAnswerError{Server: server, Status: resp.StatusCode, Detail: err.Error(), Change: r.mutates()}
	}
	return nil
}

// doWithRetries repeats a change until its outcome is certain or the client's timeout
// has passed. It calls progress with the error of each failed attempt.
func (c *client) doWithRetries(ctx context.Context, r *request, v any, progress func(error)) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var uncertainErr error
	for {
		err := c.do(ctx, r, v)
		if err == nil {
			return nil
		}
		switch {
		case exitCode(err) == exitUnknown:
			uncertainErr = err
		case uncertainErr == nil || exitCode(err) == exitRefused && !retryable(err):
			return err
		}
		progress(err)
		if !retry.Sleep(ctx, retryDelay(err)) {
			return uncertainErr
		}
	}
}

// retryable reports whether a later attempt may succeed.
func retryable(err error) bool {
	var p *ProblemError
	return !errors.As(err, &p) || retryableReasons[p.Problem.Code]
}

// retryDelay returns the delay that the server asked for, or the default.
func retryDelay(err error) time.Duration {
	var p *ProblemError
	if errors.As(err, &p) && p.RetryAfter > 0 {
		return p.RetryAfter
	}
	return defaultRetryDelay
}
