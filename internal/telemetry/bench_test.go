package telemetry

import (
	"io"
	"testing"
)

// BenchmarkLine measures the cost of logging the start of a run, the most frequent
// line.
func BenchmarkLine(b *testing.B) {
	w := NewAsyncWriter(io.Discard)
	defer w.Close(0)
	log := NewLogger(w, "info").WithName("dispatch").WithValues("instance", "core-astana-a-1", "epoch", 1)
	b.ReportAllocs()
	for i := range b.N {
		log.Info("run started", "job", "aa34cde44e4d4d77", "unit", "0.0.0", "run", i, "worker", "i-0bb8de11b0", "life", int64(1772120518612),
			"customer", "timi110", "accelerators", int64(1), "priority", 2, "guaranteed", false, "waitedMS", int64(15), "workerHeardMS", int64(3419))
	}
}
