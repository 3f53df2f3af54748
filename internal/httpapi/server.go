package httpapi

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Limits of the server for callers, workers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds reads outside handlers; handlers set their own deadline.
	readTimeout    = 15 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// writeTimeout exceeds the longest wait of a request plus the request's own time
	// limit.
	writeTimeout = maxWait + 30*time.Second
	// defaultMaxRequests applies if API.MaxRequests is 0.
	defaultMaxRequests = 1024
	// maxWorkerRequests is the limit of concurrent requests from workers.
	maxWorkerRequests = 512
)

// NewServer returns a server with limits against slow clients.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
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
