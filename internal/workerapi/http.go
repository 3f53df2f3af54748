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

// maxReplyBytes bounds the size of a worker's reply. It covers a task's output
// of 64 KiB with its JSON escaping, and the lists of a worker with thousands of
// units.
const maxReplyBytes = 4 << 20

// idleConnTimeout closes idle connections to workers, so that a connection that
// was silently lost is not reused after a pause.
const idleConnTimeout = 10 * time.Second

// HTTPClient sends commands as JSON over HTTP.
type HTTPClient struct{ http *http.Client }

// NewHTTPClient returns a client. The context of each call sets its deadline.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{http: &http.Client{Transport: NewTransport(TransportOptions{IdleTimeout: idleConnTimeout})}}
}

// StatusError is an HTTP response with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// Do implements Client.
func (h *HTTPClient) Do(ctx context.Context, address string, c *Command) (*Reply, error) {
	status, data, err := h.post(ctx, address, "/v1/tasks/"+string(c.Op), c)
	if err == nil && status != http.StatusOK {
		err = &StatusError{Status: status}
	}
	var r Reply
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	return &r, nil
}

// post sends a message and returns the status and the body of the response.
func (h *HTTPClient) post(ctx context.Context, address, path string, v any) (int, []byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, data, err
}
