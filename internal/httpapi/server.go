package httpapi

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/httpserver"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// requestLimits are the limits of the requests of callers, workers and operators.
var requestLimits = httpserver.RequestLimits{
	HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second, BodyTimeout: 10 * time.Second,
}

// serverShares are the fractions of the machine that the server may use.
var serverShares = httpserver.Shares{Connections: 0.5, ConnectionMemory: 0.25, RequestMemory: 0.2}

const (
	// largeBytes is the sum of the large bodies that are worked on at the same time.
	largeBytes = maxBodyBytes
	// defaultMaxRequests applies if API.MaxRequests is 0.
	defaultMaxRequests = 1024
	// maxWorkerRequests is the limit of concurrent requests from workers.
	maxWorkerRequests = 512
)

// Limits returns the limits of the server for callers, workers and operators.
func Limits(m httpserver.Machine) httpserver.Limits {
	return m.Limits(serverShares, largeBytes, requestLimits)
}

// NewServer returns a server for callers, workers and operators.
func NewServer(h http.Handler, m httpserver.Machine, log logr.Logger) *httpserver.Server {
	return httpserver.New("clients", Limits(m), h, log)
}

// limitConcurrency returns middleware that refuses a request while n others are in
// progress.
func limitConcurrency(n int) func(http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				next.ServeHTTP(w, r)
			default:
				refuse(w, overloaded("too many requests are in progress"))
			}
		})
	}
}

// recoverPanics returns middleware that answers with an internal error when a
// handler panics.
func recoverPanics(log logr.Logger) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				v := recover()
				if v == nil {
					return
				}
				if v == http.ErrAbortHandler {
					panic(v)
				}
				log.Info("handler panicked", "path", telemetry.Cut(r.URL.Path), "panic", v, "stack", string(debug.Stack()))
				refuse(w, model.Refuse(model.ReasonInternal, "the request failed"))
			}()
			next.ServeHTTP(w, r)
		})
	}
}
