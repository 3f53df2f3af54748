package model

import "time"

// Worker is what a worker says about itself in an announcement.
type Worker struct {
	Name             string `json:"name"`
	Address          string `json:"address"` // IP:port of the worker's HTTP interface
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Cores            int    `json:"cores"`
	MemoryMiB        int    `json:"memory_mib"`
	Accelerators     int    `json:"accelerators"`
	Slots            int    `json:"slots"`       // tasks at the same time
	Connections      int    `json:"connections"` // open connections it accepts
	Leaving          bool   `json:"leaving,omitempty"`
	// Incarnation grows with each start of the worker's process.
	Incarnation uint64 `json:"incarnation"`
	// Seq grows with each announcement of one incarnation, so that late
	// announcements are recognised.
	Seq uint64 `json:"seq"`
}

// WorkerHealth is the system's view of a worker.
type WorkerHealth struct {
	LastSeen time.Time `json:"last_seen"`
	// Suspended workers take no work until a probe succeeds.
	Suspended  bool      `json:"suspended,omitempty"`
	ProbeAfter time.Time `json:"probe_after,omitzero"`
}
