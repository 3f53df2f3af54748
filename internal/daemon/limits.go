package daemon

import (
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/httpserver"
	"teaselpaddle.example/teaselpaddle/internal/settings"
)

// memoryLimitShare is the fraction of max_memory_mb that is set as the Go runtime's soft limit. The
// rest is for the program itself and for the kernel's buffers of its connections.
const memoryLimitShare = 0.75

// setMemoryLimit sets the soft limit of the Go runtime's memory. Without it, the garbage of refused
// requests exceeds the memory before it is collected.
func setMemoryLimit(s *settings.Settings) {
	if s.MaxMemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MaxMemoryMB<<20)))
	}
}

// machine returns what the process may use.
func machine(s *settings.Settings) httpserver.Machine {
	m := httpserver.Machine{MemoryBytes: s.MaxMemoryMB << 20, Files: s.MaxFiles}
	var limit syscall.Rlimit
	if m.Files == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		m.Files = int(min(limit.Cur, maxFilesUsed))
	}
	return m
}

// maxFilesUsed bounds the descriptors that are planned with where the system sets no limit.
const maxFilesUsed = 1 << 20

// Limits of the handshakes of other instances' connections.
var (
	handshakeShares        = httpserver.Shares{Connections: 0.1, ConnectionMemory: 0.05, RequestMemory: 0.02}
	handshakeRequestLimits = httpserver.RequestLimits{
		HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second, BodyTimeout: 5 * time.Second,
	}
)

// maxHandshakeBody bounds the bodies of handshakes, which have none.
const maxHandshakeBody = 64 << 10

// peerLimits returns the limits of the server for the connections of other instances.
func peerLimits(s *settings.Settings) httpserver.Limits {
	l := machine(s).Limits(handshakeShares, maxHandshakeBody, handshakeRequestLimits)
	l.ReceiveBufferBytes = 0 // snapshots pass over the connections
	return l
}

// newPeerServer returns the server for the connections of other instances.
func newPeerServer(h http.Handler, s *settings.Settings, log logr.Logger) *httpserver.Server {
	return httpserver.New("peers", peerLimits(s), h, log)
}
