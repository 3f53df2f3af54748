package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// maxMessageBytes bounds one message between daemons.
const maxMessageBytes = 16 << 20

// sendTimeout bounds a one-way message.
const sendTimeout = time.Second

// HTTP carries each message as one HTTP POST.
type HTTP struct {
	self      string
	addresses map[string]string // peer address by instance name
	client    *http.Client
	handlers  map[Kind]Handler
}

// NewHTTP returns peers reachable at the given addresses.
func NewHTTP(self string, addresses map[string]string) *HTTP {
	return &HTTP{self: self, addresses: addresses, client: &http.Client{}, handlers: map[Kind]Handler{}}
}

// Handle implements Peers.
func (h *HTTP) Handle(kind Kind, f Handler) { h.handlers[kind] = f }

// ServeHTTP answers a message of another instance.
func (h *HTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := h.handlers[Kind(r.URL.Query().Get("kind"))]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if f == nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, err := f(r.Context(), r.URL.Query().Get("from"), body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, err.Error())
		return
	}
	_, _ = w.Write(out)
}

// Call implements Peers.
func (h *HTTP) Call(ctx context.Context, to string, kind Kind, body []byte) ([]byte, error) {
	url := fmt.Sprintf("http://%s/?kind=%s&from=%s", h.addresses[to], kind, h.self)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{To: to, Cause: err}
	}
	resp, err := h.client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, &NotSentError{To: to, Cause: err}
		}
		return nil, &NoReplyError{To: to, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return nil, &NoReplyError{To: to, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &RemoteError{To: to, Detail: string(out)}
	}
	return out, nil
}

// Send implements Peers.
func (h *HTTP) Send(to string, kind Kind, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_, _ = h.Call(ctx, to, kind, body)
	}()
}
