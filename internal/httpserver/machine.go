package httpserver

// Machine is what a process may use. A zero field is unknown, and a default takes its place.
type Machine struct {
	Files int // file descriptors
}

const defaultFiles = 4096

// Shares are the fractions of a machine that a server may use.
type Shares struct {
	Connections float64 // of the descriptors
}

// minConnections is the lowest limit of connections.
const minConnections = 8

// Limits returns the limits of a server with some shares of the machine.
func (m Machine) Limits(s Shares, r RequestLimits) Limits {
	if m.Files <= 0 {
		m.Files = defaultFiles
	}
	return Limits{Connections: max(int(s.Connections*float64(m.Files)), minConnections), Request: r}
}

// SmallLimits are the limits of a server whose clients are few and send no bodies.
func SmallLimits(r RequestLimits) Limits {
	return Limits{Connections: 32, Request: r}
}
