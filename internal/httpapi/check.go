package httpapi

import (
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Bounds on a job's fields.
const (
	maxNameBytes       = 200
	maxTasks           = 128 // size of the largest gang
	maxAccelerators    = 64  // per task
	maxCPU             = 1024
	maxMemoryMiB       = 16 << 20
	maxPayloadBytes    = 64 << 10
	maxEstimateSeconds = 90 * 24 * 3600
)

// Bounds on the fields of workers' announcements and reports.
const (
	maxWorkerAccelerators = 1024
	maxWorkerCores        = 1 << 16
	maxWorkerMemoryMiB    = 1 << 30
	maxSlots              = 4096
	maxConnections        = 1 << 16
	// maxOutputBytes exceeds the limit on a task's output. A result above that limit
	// is accepted and fails the task, because a worker would resend a refused report
	// forever.
	maxOutputBytes = 512 << 10
	maxErrorBytes  = 4 << 10
)

// checkName checks a name's length and characters. Control characters are refused
// because a job's id is a hash of customer and key with a zero byte between them.
func checkName(field, s string) *model.Refusal {
	if s == "" || len(s) > maxNameBytes {
		return model.RefuseField(field, "must have 1 to %d bytes, not %d", maxNameBytes, len(s))
	}
	if strings.ContainsFunc(s, unicode.IsControl) {
		return model.RefuseField(field, "must not have control characters")
	}
	return nil
}

// checkRange checks that an integer is between low and high.
func checkRange(field string, n, low, high int, unit string) *model.Refusal {
	if n < low || n > high {
		return model.RefuseField(field, "must be between %d and %d %s, not %d", low, high, unit, n)
	}
	return nil
}

// checkTextLength checks that a text has at most limit bytes.
func checkTextLength(field, s string, limit int) *model.Refusal {
	if len(s) > limit {
		return model.RefuseField(field, "must have at most %d bytes, not %d", limit, len(s))
	}
	return nil
}

// firstRefusal returns the first refusal that is not nil.
func firstRefusal(list ...*model.Refusal) *model.Refusal {
	for _, r := range list {
		if r != nil {
			return r
		}
	}
	return nil
}

// checkSpec checks the bounds of a job's fields. The owner zone checks whether the
// deadline has passed, because a request that is resent after its deadline must
// find the record of the first one.
func checkSpec(s *model.JobSpec) *model.Refusal {
	if s.EstimatedSeconds < 0 || s.EstimatedSeconds > maxEstimateSeconds {
		return model.RefuseField("estimated_seconds", "must be between 0 and %d seconds, not %g", maxEstimateSeconds, s.EstimatedSeconds)
	}
	return firstRefusal(
		checkName("customer", s.Customer),
		checkName("key", s.Key),
		checkRange("tasks", s.Tasks, 1, maxTasks, "tasks"),
		checkRange("accelerators", s.Accelerators, 0, maxAccelerators, "accelerators per task"),
		checkRange("cpu", s.CPU, 0, maxCPU, "cores per task"),
		checkRange("memory_mib", s.MemoryMiB, 0, maxMemoryMiB, "MiB per task"),
		checkTextLength("payload", s.Payload, maxPayloadBytes),
	)
}

// checkWorker checks a worker's announcement.
func checkWorker(w *model.Worker, zones []string) *model.Refusal {
	if !slices.Contains(zones, w.AvailabilityZone) {
		return model.RefuseField("availability_zone", "must be an availability zone of the deployment, not %.200q", w.AvailabilityZone)
	}
	if a, err := netip.ParseAddrPort(w.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return model.RefuseField("address", "must be an IP:port that can be dialled, not %.200q", w.Address)
	}
	if w.Incarnation == 0 || w.Seq == 0 {
		return model.RefuseField("incarnation", "incarnation and seq must be at least 1")
	}
	return firstRefusal(
		checkName("name", w.Name),
		checkName("rack", w.Rack),
		checkRange("cores", w.Cores, 1, maxWorkerCores, "cores"),
		checkRange("memory_mib", w.MemoryMiB, 1, maxWorkerMemoryMiB, "MiB"),
		checkRange("accelerators", w.Accelerators, 0, maxWorkerAccelerators, "accelerators"),
		checkRange("slots", w.Slots, 1, maxSlots, "slots"),
		checkRange("connections", w.Connections, 0, maxConnections, "connections"),
	)
}

// checkReport checks a worker's report.
func (a *API) checkReport(r *workerapi.Report) *model.Refusal {
	if !a.isDeploymentJobID(r.Job) {
		return model.RefuseField("job", "must be the id of a job of this deployment, not %.200q", r.Job)
	}
	if r.Fence == 0 {
		return model.RefuseField("fence", "must be at least 1")
	}
	if r.Result == nil && r.Usage == nil {
		return model.RefuseField("result", "result or usage is required")
	}
	return firstRefusal(checkName("worker", r.Worker), checkResult(r), checkUsage(r.Usage))
}

func checkResult(r *workerapi.Report) *model.Refusal {
	res := r.Result
	if res == nil {
		return nil
	}
	if res.Worker != r.Worker {
		return model.RefuseField("result.worker", "must be the reporting worker %.200q, not %.200q", r.Worker, res.Worker)
	}
	return firstRefusal(
		checkRange("result.task", res.Task, 0, maxTasks-1, "(task number)"),
		checkTextLength("result.output", res.Output, maxOutputBytes),
		checkTextLength("result.error", res.Error, maxErrorBytes),
	)
}

func checkUsage(u *workerapi.Usage) *model.Refusal {
	if u == nil {
		return nil
	}
	if u.CPU < 0 || u.CPU > maxWorkerCores {
		return model.RefuseField("usage.cpu", "must be between 0 and %d cores, not %g", maxWorkerCores, u.CPU)
	}
	return firstRefusal(
		checkRange("usage.task", u.Task, 0, maxTasks-1, "(task number)"),
		checkRange("usage.memory_mib", u.MemoryMiB, 0, maxWorkerMemoryMiB, "MiB"),
	)
}
