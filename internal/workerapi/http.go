package workerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxReplyBytes bounds a worker's reply: a task's output of 64 KiB and its
// JSON escaping.
const maxReplyBytes = 1 << 20

// dialIdleTimeout closes idle connections to workers, so that a connection that
// went silent is not used again after a pause.
const dialIdleTimeout = 10 * time.Second

// HTTPClient sends commands as JSON over HTTP.
type HTTPClient struct{ c *http.Client }

// NewHTTPClient returns a client; the context of each call bounds its time.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{c: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     dialIdleTimeout,
	}}}
}

// StatusError is an HTTP answer that is not a worker's reply.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// Do implements Client.
func (h *HTTPClient) Do(ctx context.Context, address string, c *Command) (*Reply, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	r, err := h.post(ctx, "http://"+address+"/v1/tasks/"+string(c.Op), body)
	if err != nil {
		// A connection that went silent must not be used for the next try.
		h.c.CloseIdleConnections()
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	return r, nil
}

func (h *HTTPClient) post(ctx context.Context, url string, body []byte) (*Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.c.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	var r Reply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&r); err != nil {
		return nil, err
	}
	return &r, nil
}
