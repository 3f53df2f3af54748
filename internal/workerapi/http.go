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
// JSON escaping.
const maxReplyBytes = 1 << 20

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
	body, err := json.Marshal(c)
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	client := h.client(address)
	r, err := post(ctx, client, "http://"+address+"/v1/tasks/"+string(c.Op), body)
	if err != nil {
		h.drop(address, client)
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	return r, nil
}

func post(ctx context.Context, client *http.Client, url string, body []byte) (*Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
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
