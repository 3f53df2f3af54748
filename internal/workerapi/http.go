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

// maxReplyBytes bounds a worker's reply: a task's output of 64 KiB and its
// JSON escaping, or the lists of a worker with thousands of units.
const maxReplyBytes = 4 << 20

// dialIdleTimeout closes idle connections to workers, so that a connection that
// went silent is not used again after a pause.
const dialIdleTimeout = 10 * time.Second

// HTTPClient sends commands as JSON over HTTP. Each worker has connections of its
// own: those of a worker that did not answer may have gone silent and are
// closed, which must not cost the other workers theirs.
type HTTPClient struct {
	mu      sync.Mutex // guards clients
	clients map[string]*http.Client
}

// NewHTTPClient returns a client; the context of each call bounds its time.
func NewHTTPClient() *HTTPClient { return &HTTPClient{clients: map[string]*http.Client{}} }

// client returns the client of a worker.
func (h *HTTPClient) client(address string) *http.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.clients[address]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4, IdleConnTimeout: dialIdleTimeout, DisableCompression: true,
		}}
		h.clients[address] = c
	}
	return c
}

// drop closes a worker's idle connections and forgets its client.
func (h *HTTPClient) drop(address string, c *http.Client) {
	h.mu.Lock()
	if h.clients[address] == c {
		delete(h.clients, address)
	}
	h.mu.Unlock()
	c.CloseIdleConnections()
}

// StatusError is an HTTP answer that is not a worker's reply.
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

// post sends a message and returns the status and the body of the answer. A
// worker that did not answer loses its connections.
func (h *HTTPClient) post(ctx context.Context, address, path string, v any) (int, []byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return 0, nil, err
	}
	client := h.client(address)
	status, data, err := exchange(ctx, client, "http://"+address+path, body)
	if err != nil {
		h.drop(address, client)
	}
	return status, data, err
}

func exchange(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte, error) {
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
