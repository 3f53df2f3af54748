package httpserver

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

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

const (
	minConnections = 8
	// minQueue is the shortest queue of connections that are not accepted. A caller that meets a full
	// queue tries again after a second.
	minQueue = 128
)

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
		LargeBytes: largeBytes, ReceiveBufferBytes: receiveBufferBytes, Request: r,
	}
}

// SmallLimits are the limits of a server whose clients are few and send no bodies.
func SmallLimits(r RequestLimits) Limits {
	return Limits{Connections: 32, MemoryBytes: 2 << 20, LargeBytes: 64 << 10, ReceiveBufferBytes: receiveBufferBytes, Request: r}
}

// Listen listens on a TCP address for a server with some limits. By default, the kernel would hold
// megabytes of unread bytes for each connection, and thousands of connections that are not accepted
// while the process is suspended.
func Listen(address string, l Limits) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		if l.ReceiveBufferBytes == 0 {
			return nil
		}
		return control(rc, func(fd int) error {
			// Accepted connections inherit the size. The kernel doubles it for its own use.
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.ReceiveBufferBytes)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	// Listening again changes the length of the queue, for which net has no setting.
	if rc, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		err = control(rc, func(fd int) error { return syscall.Listen(fd, max(l.Connections, minQueue)) })
		if err != nil {
			_ = ln.Close()
			return nil, errors.Annotatef(err, "queue of connections on %s", address)
		}
	}
	return ln, nil
}

// control calls f with the descriptor of a socket.
func control(rc syscall.RawConn, f func(fd int) error) error {
	var err error
	if cerr := rc.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return errors.Trace(cerr)
	}
	return errors.Trace(err)
}
