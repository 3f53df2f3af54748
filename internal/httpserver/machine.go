package httpserver

// Machine is what a process may use. A zero field is unknown, and a default takes its place.
type Machine struct {
	MemoryBytes int
	Files       int // file descriptors
}

// Defaults of a machine.
const (
	defaultMemoryBytes = 256 << 20
	defaultFiles       = 4096
)

// Shares are the fractions of a machine that a server may use.
type Shares struct {
	Connections      float64 // of the descriptors
	ConnectionMemory float64 // of the memory, for connections without a request
	RequestMemory    float64 // of the memory, for requests
}

// minConnections is the lowest limit of connections.
const minConnections = 8

// Limits returns the limits of a server with some shares of the machine.
func (m Machine) Limits(s Shares, largeBytes int, r RequestLimits) Limits {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = defaultMemoryBytes
	}
	if m.Files <= 0 {
		m.Files = defaultFiles
	}
	byFiles := int(s.Connections * float64(m.Files))
	byMemory := int(s.ConnectionMemory * float64(m.MemoryBytes) / ConnectionCost)
	return Limits{
		Connections: max(min(byFiles, byMemory), minConnections), MemoryBytes: int(s.RequestMemory * float64(m.MemoryBytes)),
		LargeBytes: largeBytes, Request: r,
	}
}

// SmallLimits are the limits of a server whose clients are few and send no bodies.
func SmallLimits(r RequestLimits) Limits {
	return Limits{Connections: 32, MemoryBytes: 2 << 20, LargeBytes: 64 << 10, Request: r}
}
