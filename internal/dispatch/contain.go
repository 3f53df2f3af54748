package dispatch

import (
	"fmt"
	"runtime/debug"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// An unexpected error while the leader handles one worker must not end the process: the next leader
// would meet it as well, and the leadership would go round while nothing runs. The handler ends, its
// locks are released by deferred calls, and the next attempt follows after panicDelay.

// panicDelay is the time before a handler that has failed is called again.
const panicDelay = time.Second

// PanicError is an unexpected error in the handler of a worker or in the planner.
type PanicError struct {
	Handler string
	Value   any // passed to panic
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s panicked: %v", e.Handler, e.Value) }

// contain calls f. If f panics, it logs and counts that and returns a *PanicError.
func (l *Leadership) contain(handler string, f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Handler: handler, Value: v}
			telemetry.CountBy("teaselpaddle_handler_panics_total", "handler", handler)
			l.log.Error(err, "unexpected error", "stack", string(debug.Stack()))
		}
	}()
	f()
	return nil
}
