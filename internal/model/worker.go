package model

import "time"

// Worker is what a worker reports about itself in an announcement.
type Worker struct {
	Name             string `json:"name"`
	Address          string `json:"address"` // IP:port of the worker's HTTP interface
	AvailabilityZone string `json:"availability_zone"`
	Rack             string `json:"rack"`
	Cores            int    `json:"cores"`
	MemoryMiB        int    `json:"memory_mib"`
	Accelerators     int    `json:"accelerators"`
	Slots            int    `json:"slots"`       // maximum number of concurrent tasks
	Connections      int    `json:"connections"` // maximum number of open connections
	Leaving          bool   `json:"leaving,omitempty"`
	// Incarnation increases with each start of the worker's process.
	Incarnation uint64 `json:"incarnation"`
	// Seq increases with each announcement of one incarnation, so that
	// announcements arriving out of order are recognised.
	Seq uint64 `json:"seq"`
}

// WorkerHealth is the system's view of a worker's health.
type WorkerHealth struct {
	LastSeen time.Time `json:"last_seen"`
	// Suspended workers get no work until they are probed.
	Suspended bool `json:"suspended,omitempty"`
}
