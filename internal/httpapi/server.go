package httpapi

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Limits of the server for callers, workers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds what no handler reads; handlers set their own.
	readTimeout    = 15 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// writeTimeout is longer than the longest wait with the time limit of a
	// request.
	writeTimeout = maxWait + 30*time.Second
	// defaultMaxRequests applies if API.MaxRequests is 0.
	defaultMaxRequests = 1024
	// maxWorkerRequests are the requests of workers in work at the same time.
	maxWorkerRequests = 512
)

// NewServer returns a server with limits against slow clients.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// limit refuses requests beyond n at the same time.
func limit(n int) func(http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				next.ServeHTTP(w, r)
			default:
				refuse(w, overloaded("too many requests are in work"))
			}
		})
	}
}

// recovered answers a request whose handler panicked as an internal error.
func recovered(log logr.Logger) func(http.Handler) http.Handler {
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
				log.Info("handler panicked", "path", r.URL.Path, "panic", v, "stack", string(debug.Stack()))
				refuse(w, model.Refuse(model.ReasonInternal, "the request failed"))
			}()
			next.ServeHTTP(w, r)
		})
	}
}
