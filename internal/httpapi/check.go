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
	maxNameBytes    = 200
	maxTasks        = 128 // the largest gang
	maxAccelerators = 64  // per task
	maxCPU          = 1024
	maxMemoryMiB    = 16 << 20
	maxPayloadBytes = 64 << 10
	maxSeconds      = 90 * 24 * 3600
)

// Bounds on what workers send.
const (
	maxWorkerAccelerators = 1024
	maxWorkerCores        = 1 << 16
	maxWorkerMemoryMiB    = 1 << 30
	maxSlots              = 4096
	maxConnections        = 1 << 16
	// maxOutputBytes is more than a task's output may have: a result with a larger
	// one than that is taken and fails the task, since a worker would send a
	// refused report for ever.
	maxOutputBytes = 512 << 10
	maxErrorBytes  = 4 << 10
)

// checkName checks a name. Control characters are refused: a job's identity is
// hashed with a zero byte between customer and key.
func checkName(field, s string) *model.Refusal {
	if s == "" || len(s) > maxNameBytes {
		return model.RefuseField(field, "must have 1 to %d bytes, not %d", maxNameBytes, len(s))
	}
	if strings.ContainsFunc(s, unicode.IsControl) {
		return model.RefuseField(field, "must not have control characters")
	}
	return nil
}

// checkRange checks a whole number.
func checkRange(field string, n, low, high int, unit string) *model.Refusal {
	if n < low || n > high {
		return model.RefuseField(field, "must be between %d and %d %s, not %d", low, high, unit, n)
	}
	return nil
}

// checkText checks the length of a text.
func checkText(field, s string, limit int) *model.Refusal {
	if len(s) > limit {
		return model.RefuseField(field, "must have at most %d bytes, not %d", limit, len(s))
	}
	return nil
}

// first returns the first refusal that is not nil.
func first(list ...*model.Refusal) *model.Refusal {
	for _, r := range list {
		if r != nil {
			return r
		}
	}
	return nil
}

// checkSpec checks the bounds of a job's fields. Whether the deadline has passed
// is checked by the owner zone, since a request that is sent again after its
// deadline must find the first record.
func checkSpec(s *model.JobSpec) *model.Refusal {
	if s.EstimatedSeconds < 0 || s.EstimatedSeconds > maxSeconds {
		return model.RefuseField("estimated_seconds", "must be between 0 and %d seconds, not %g", maxSeconds, s.EstimatedSeconds)
	}
	return first(
		checkName("customer", s.Customer),
		checkName("key", s.Key),
		checkRange("tasks", s.Tasks, 1, maxTasks, "tasks"),
		checkRange("accelerators", s.Accelerators, 0, maxAccelerators, "accelerators per task"),
		checkRange("cpu", s.CPU, 0, maxCPU, "cores per task"),
		checkRange("memory_mib", s.MemoryMiB, 0, maxMemoryMiB, "MiB per task"),
		checkText("payload", s.Payload, maxPayloadBytes),
	)
}

// checkWorker checks an announcement.
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
	return first(
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
	if !a.knownID(r.Job) {
		return model.RefuseField("job", "must be the id of a job of this deployment, not %.200q", r.Job)
	}
	if r.Fence == 0 {
		return model.RefuseField("fence", "must be at least 1")
	}
	if r.Result == nil && r.Usage == nil {
		return model.RefuseField("result", "result or usage is required")
	}
	return first(checkName("worker", r.Worker), checkResult(r), checkUsage(r.Usage))
}

func checkResult(r *workerapi.Report) *model.Refusal {
	res := r.Result
	if res == nil {
		return nil
	}
	if res.Worker != r.Worker {
		return model.RefuseField("result.worker", "must be the reporting worker %.200q, not %.200q", r.Worker, res.Worker)
	}
	return first(
		checkRange("result.task", res.Task, 0, maxTasks-1, "(task number)"),
		checkText("result.output", res.Output, maxOutputBytes),
		checkText("result.error", res.Error, maxErrorBytes),
	)
}

func checkUsage(u *workerapi.Usage) *model.Refusal {
	if u == nil {
		return nil
	}
	if u.CPU < 0 || u.CPU > maxWorkerCores {
		return model.RefuseField("usage.cpu", "must be between 0 and %d cores, not %g", maxWorkerCores, u.CPU)
	}
	return first(
		checkRange("usage.task", u.Task, 0, maxTasks-1, "(task number)"),
		checkRange("usage.memory_mib", u.MemoryMiB, 0, maxWorkerMemoryMiB, "MiB"),
	)
}
