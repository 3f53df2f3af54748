// Package telemetry makes the daemon's logger and counts refusals and retries.
package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Levels maps the names of log levels to zap's.
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
	refusals = counters("teaselpaddle_refusals_total", model.RefusalReasons)
	retries  = counters("teaselpaddle_retries_total", model.RetryReasons)
)

// counters makes one counter for each reason, at 0.
func counters(name string, reasons []model.Reason) map[model.Reason]*metrics.Counter {
	out := map[model.Reason]*metrics.Counter{}
	for _, r := range reasons {
		out[r] = counter(name, r)
	}
	return out
}

func counter(name string, r model.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", name, string(r)))
}

// Refused counts a refusal.
func Refused(r model.Reason) {
	if c := refusals[r]; c != nil {
		c.Inc()
		return
	}
	counter("teaselpaddle_refusals_total", r).Inc()
}

// Retried counts a retry.
func Retried(r model.Reason) {
	if c := retries[r]; c != nil {
		c.Inc()
		return
	}
	counter("teaselpaddle_retries_total", r).Inc()
}

// Count adds one to the named counter.
func Count(name string) { metrics.GetOrCreateCounter(name).Inc() }
