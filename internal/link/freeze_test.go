package link

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// peerProcessEnv makes the test program run as a peer process. Its value is the
// parent's address.
const peerProcessEnv = "TEASELPADDLE_LINK_TEST_PARENT"

// runPeerProcess serves as instance b until its standard input ends. Each reply is
// the number of requests that it has carried out.
func runPeerProcess(parent string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	l := New(Config{Self: "b", Addresses: map[string]string{"a": parent, "b": ln.Addr().String()}})
	var runs atomic.Int32
	l.Handle(KindRequest, func(context.Context, string, []byte) ([]byte, error) {
		return fmt.Append(nil, runs.Add(1)), nil
	})
	go func() { _ = http.Serve(ln, l.Handler()) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// waitStopped waits until every thread of a process has stopped. SIGSTOP takes
// effect some time after it was sent, and a request could still be answered until
// then.
func waitStopped(t *testing.T, pid int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		if err != nil || time.Now().After(end) {
			t.Fatalf("process %d has not stopped: %v", pid, err)
		}
		stopped := len(stats) > 0
		for _, s := range stats {
			data, err := os.ReadFile(s)
			rest := string(data[bytes.LastIndexByte(data, ')')+1:])
			stopped = stopped && err == nil && strings.HasPrefix(rest, " T")
		}
		if stopped {
			return
		}
	}
}

// Guards against a request that is carried out twice: it is resent over a new
// connection, and the first copy is still in the old connection's buffer when a
// stopped process (SIGSTOP) continues.
func TestFrozenPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	la := listen(t, "127.0.0.1:0")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), peerProcessEnv+"="+la.Addr().String())
	in, err := cmd.StdinPipe()
	is.NoErr(err)
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = in.Close()
		_ = cmd.Wait()
	})
	addr, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	a := start(t, la, Config{Self: "a", Addresses: map[string]string{"b": strings.TrimSpace(addr)}})
	call := func() string {
		reply, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
		is.NoErr(err)
		return string(reply)
	}
	is.Equal(call(), "1")
	is.NoErr(cmd.Process.Signal(syscall.SIGSTOP))
	waitStopped(t, cmd.Process.Pid)
	time.AfterFunc(3*time.Second, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
	begin := time.Now()
	is.Equal(call(), "2") // sent before the silence is detected, answered after SIGCONT
	is.True(time.Since(begin) > 2*time.Second)
	is.Equal(call(), "3") // the previous request was carried out once
}
