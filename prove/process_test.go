//go:build prove

package prove

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// process is a program that can be restarted after it has ended.
type process struct {
	name     string
	args     []string
	logPath  string
	cmd      *exec.Cmd
	done     chan struct{} // closed when the current process has ended
	exitCode int
}

// start starts the program; its output is appended to the log.
func (p *process) start() error {
	f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = f, f
	// The kernel kills the child when its parent dies, also when the parent is
	// killed. The parent in this sense is the thread that started the child, so
	// that thread must live as long as the test.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnLockedThread(cmd); err != nil {
		return err
	}
	p.cmd = cmd
	done := make(chan struct{})
	p.done = done
	go func() {
		_ = cmd.Wait()
		p.exitCode = cmd.ProcessState.ExitCode()
		close(done)
	}()
	return nil
}

// startRequests carries functions to the locked thread that starts all processes.
var startRequests = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for f := range startRequests {
			f()
		}
	}()
}

// startOnLockedThread starts cmd on the locked thread, which never exits.
func startOnLockedThread(cmd *exec.Cmd) error {
	result := make(chan error)
	startRequests <- func() { result <- cmd.Start() }
	return <-result
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// terminate sends SIGTERM and reports whether the process ended with code 0
// within limit.
func (p *process) terminate(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitCode == 0
	case <-time.After(limit):
		return false
	}
}

// programPath returns the path of a program in bin/.
func programPath(name string) string {
	abs, _ := filepath.Abs(filepath.Join("..", "bin", name))
	return abs
}
