package httpapi

import "teaselpaddle.example/teaselpaddle/internal/model"

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

// checkSpec checks the bounds of a job's fields.
func checkSpec(s *model.JobSpec) error {
	if s.Customer == "" || len(s.Customer) > maxNameBytes {
		return model.RefuseField("customer", "must have 1 to %d bytes", maxNameBytes)
	}
	if s.Key == "" || len(s.Key) > maxNameBytes {
		return model.RefuseField("key", "must have 1 to %d bytes", maxNameBytes)
	}
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return model.RefuseField("tasks", "must be between 1 and %d", maxTasks)
	}
	if s.Accelerators < 0 || s.Accelerators > maxAccelerators {
		return model.RefuseField("accelerators", "must be between 0 and %d per task", maxAccelerators)
	}
	if s.CPU < 0 || s.CPU > maxCPU {
		return model.RefuseField("cpu", "must be between 0 and %d cores per task", maxCPU)
	}
	if s.MemoryMiB < 0 || s.MemoryMiB > maxMemoryMiB {
		return model.RefuseField("memory_mib", "must be between 0 and %d MiB per task", maxMemoryMiB)
	}
	if s.EstimatedSeconds < 0 || s.EstimatedSeconds > maxSeconds {
		return model.RefuseField("estimated_seconds", "must be between 0 and %d seconds", maxSeconds)
	}
	if len(s.Payload) > maxPayloadBytes {
		return model.RefuseField("payload", "must have at most %d bytes", maxPayloadBytes)
	}
	return nil
}
