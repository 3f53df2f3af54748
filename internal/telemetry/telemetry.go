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

// Refused counts a refusal.
func Refused(r model.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("teaselpaddle_refusals_total{reason=%q}", string(r))).Inc()
}

// Retried counts a retry.
func Retried(r model.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("teaselpaddle_retries_total{reason=%q}", string(r))).Inc()
}

// Count adds one to the named counter.
func Count(name string) { metrics.GetOrCreateCounter(name).Inc() }
