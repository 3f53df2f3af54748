// Package telemetry provides the daemon's logger and the counters of refusals and
// retries.
package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Levels maps the names of log levels in the settings to zap's levels.
var Levels = map[string]zapcore.Level{
	"debug": zapcore.DebugLevel,
	"info":  zapcore.InfoLevel,
	"error": zapcore.ErrorLevel,
}

// NewLogger returns a structured logger that writes JSON lines to w.
func NewLogger(w io.Writer, level string) logr.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(w), Levels[level])
	return zapr.NewLogger(zap.New(core))
}

var (
	refusals = newReasonCounters("teaselpaddle_refusals_total", model.RefusalReasons)
	retries  = newReasonCounters("teaselpaddle_retries_total", model.RetryReasons)
)

// newReasonCounters creates a counter for each reason, so that the metric is
// exported with the value 0 before its first increment.
func newReasonCounters(name string, reasons []model.Reason) map[model.Reason]*metrics.Counter {
	out := map[model.Reason]*metrics.Counter{}
	for _, r := range reasons {
		out[r] = reasonCounter(name, r)
	}
	return out
}

func reasonCounter(name string, r model.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(Labeled(name, "reason", string(r)))
}

// CountRefusal increments the counter of refusals for a reason.
func CountRefusal(r model.Reason) {
	if c := refusals[r]; c != nil {
		c.Inc()
		return
	}
	reasonCounter("teaselpaddle_refusals_total", r).Inc()
}

// CountRetry increments the counter of retries for a reason.
func CountRetry(r model.Reason) {
	if c := retries[r]; c != nil {
		c.Inc()
		return
	}
	reasonCounter("teaselpaddle_retries_total", r).Inc()
}

// Count increments the counter with the given name, which must not contain any text from outside.
func Count(name string) { metrics.GetOrCreateCounter(name).Inc() }

// CountBy increments the counter with the given name and one label.
func CountBy(name, label, value string) { Count(Labeled(name, label, value)) }
