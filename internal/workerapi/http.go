package workerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxReplyBytes bounds the size of a worker's reply. It covers a task's output
// of 64 KiB with its JSON escaping, and the lists of a worker with thousands of
// units.
const maxReplyBytes = 4 << 20

// idleConnTimeout closes idle connections to workers, so that a connection that
// was silently lost is not reused after a pause.
const idleConnTimeout = 10 * time.Second

// HTTPClient sends commands as JSON over HTTP. Each worker has its own
// connection pool: the connections of a worker that did not answer may be dead
// and are closed, which must not close those of other workers.
type HTTPClient struct {
	mu      sync.Mutex // guards clients
	clients map[string]*http.Client
}

// NewHTTPClient returns a client. The context of each call sets its deadline.
func NewHTTPClient() *HTTPClient { return &HTTPClient{clients: map[string]*http.Client{}} }

// client returns the HTTP client of a worker and creates it if needed.
func (h *HTTPClient) client(address string) *http.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.clients[address]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		}}
		h.clients[address] = c
	}
	return c
}

// dropClient removes a worker's HTTP client and closes its idle connections.
func (h *HTTPClient) dropClient(address string, c *http.Client) {
	h.mu.Lock()
	if h.clients[address] == c {
		delete(h.clients, address)
	}
	h.mu.Unlock()
	c.CloseIdleConnections()
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

// post sends a message and returns the status and the body of the response. If
// the worker did not answer, its connections are closed.
func (h *HTTPClient) post(ctx context.Context, address, path string, v any) (int, []byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return 0, nil, err
	}
	client := h.client(address)
	status, data, err := postAndRead(ctx, client, "http://"+address+path, body)
	if err != nil {
		h.dropClient(address, client)
	}
	return status, data, err
}

func postAndRead(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, data, err
}
