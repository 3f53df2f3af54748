// Package crowd opens many connections at once whose clients send large, incomplete or
// oversized requests, for tests of a server's limits.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Target is where the clients of a crowd connect, and what they ask for.
type Target struct {
	Address string
	// Head holds the request line and the header lines that the server needs, each with
	// its line end, without those that frame the body.
	Head string
	Body []byte
}

// Kind is what the clients of a crowd do.
type Kind struct {
	Name string
	// run sends requests on one connection until the server closes it or the kind's
	// request has been sent as far as it goes.
	run func(c net.Conn, t *Target)
	// holds is set if the client keeps the connection open and silent after that.
	holds bool
}

const (
	// sentHeadBytes is how much a client sends of a head without end, and of empty lines.
	sentHeadBytes = 1 << 20
	// oversizedHeadBytes is the size of a whole head above the limits of all programs.
	oversizedHeadBytes = 128 << 10
	pieces             = 8
	pieceInterval      = 5 * time.Millisecond
	largeChunkBytes    = 64 << 10
	tinyChunkBytes     = 2
	// requestsPerConnection is how many whole requests a client sends on a connection.
	requestsPerConnection = 2
	answerTimeout         = 30 * time.Second
)

// Kinds of crowds. In those with an incomplete body, the last bytes of the body are missing.
var (
	WholeBodies    = Kind{Name: "whole bodies", run: sendWholeBodies}
	PartialBodies  = Kind{Name: "bodies in pieces, incomplete", run: sendPartialBody, holds: true}
	LargeChunks    = Kind{Name: "large chunks, incomplete", run: sendChunks(largeChunkBytes), holds: true}
	TinyChunks     = Kind{Name: "tiny chunks, incomplete", run: sendChunks(tinyChunkBytes), holds: true}
	OversizedHeads = Kind{Name: "oversized heads", run: sendOversizedHead, holds: true}
	EndlessHeads   = Kind{Name: "heads without end", run: sendEndlessHead, holds: true}
	LeadingLines   = Kind{Name: "empty lines before the first request", run: sendLeadingLines, holds: true}
	EmptyLines     = Kind{Name: "empty lines after a request", run: sendEmptyLines, holds: true}
)

// missingBytes is how much of an incomplete body is never sent.
const missingBytes = 2

func sendWholeBodies(c net.Conn, t *Target) {
	answers := make(chan struct{})
	go func() { // the server may answer before it has read the body
		_, _ = io.Copy(io.Discard, c)
		close(answers)
	}()
	for range requestsPerConnection {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", t.Head, len(t.Body)); err != nil {
			return
		}
		if _, err := c.Write(t.Body); err != nil {
			return
		}
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	<-answers
}

func sendPartialBody(c net.Conn, t *Target) {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", t.Head, len(t.Body)); err != nil {
		return
	}
	body := t.Body[:len(t.Body)-missingBytes]
	for size := len(body)/pieces + 1; len(body) > 0; time.Sleep(pieceInterval) {
		n := min(size, len(body))
		if _, err := c.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}

func sendChunks(size int) func(net.Conn, *Target) {
	return func(c net.Conn, t *Target) {
		var out bytes.Buffer
		out.WriteString(t.Head + "Transfer-Encoding: chunked\r\n\r\n")
		for body := t.Body[:len(t.Body)-missingBytes]; len(body) > 0; {
			n := min(size, len(body))
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
			if out.Len() >= largeChunkBytes || len(body) == 0 {
				if _, err := c.Write(out.Bytes()); err != nil {
					return
				}
				out.Reset()
			}
		}
	}
}

// headerLines returns about n bytes of short header lines with different names. Each line
// occupies more of the server's memory than its length.
func headerLines(n int) []byte {
	var out bytes.Buffer
	for i := 0; out.Len() < n; i++ {
		fmt.Fprintf(&out, "x%x:\r\n", i)
	}
	return out.Bytes()
}

func sendOversizedHead(c net.Conn, t *Target) {
	_, _ = fmt.Fprintf(c, "%s%s\r\n", t.Head, headerLines(oversizedHeadBytes))
}

func sendEndlessHead(c net.Conn, t *Target) {
	_, _ = fmt.Fprintf(c, "%s%s", t.Head, headerLines(sentHeadBytes))
}

func sendLeadingLines(c net.Conn, _ *Target) {
	_, _ = c.Write(bytes.Repeat([]byte("\r\n"), sentHeadBytes/2))
}

// sendEmptyLines sends a whole request first, after which a server may accept an empty line.
func sendEmptyLines(c net.Conn, t *Target) {
	if _, err := fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\n{}", t.Head); err != nil {
		return
	}
	_, _ = c.Write(bytes.Repeat([]byte("\r\n"), sentHeadBytes/2))
}

// Crowd is a number of clients that send requests of one kind, in turn to each of its targets.
type Crowd struct {
	kind    Kind
	targets []Target
	rounds  int

	open    atomic.Int64
	ctx     context.Context // ends with Stop
	cancel  context.CancelFunc
	settled sync.WaitGroup
	ended   sync.WaitGroup
}

// Start starts a crowd of n clients. A client whose connection is closed connects again, until
// it has used rounds connections.
func Start(kind Kind, n, rounds int, targets ...Target) *Crowd {
	cr := &Crowd{kind: kind, targets: targets, rounds: rounds}
	cr.ctx, cr.cancel = context.WithCancel(context.Background())
	cr.settled.Add(n)
	cr.ended.Add(n)
	for i := range n {
		go cr.runClient(&targets[i%len(targets)])
	}
	return cr
}

// WaitSettled waits until each client holds its connection, or has used all of them.
func (cr *Crowd) WaitSettled() { cr.settled.Wait() }

// Open returns the number of connections that the clients have open.
func (cr *Crowd) Open() int { return int(cr.open.Load()) }

// Stop closes all connections and waits for the clients.
func (cr *Crowd) Stop() {
	cr.cancel()
	cr.ended.Wait()
}

func (cr *Crowd) runClient(t *Target) {
	defer cr.ended.Done()
	settle := sync.OnceFunc(cr.settled.Done)
	defer settle()
	for range cr.rounds {
		if cr.ctx.Err() != nil {
			return
		}
		cr.useConnection(t, settle)
	}
}

// useConnection runs the crowd's kind on one connection. It calls settle when the client holds
// the connection after that and the server has not closed it.
func (cr *Crowd) useConnection(t *Target, settle func()) {
	dialer := net.Dialer{Timeout: answerTimeout}
	c, err := dialer.DialContext(cr.ctx, "tcp", t.Address)
	if err != nil {
		return
	}
	cr.open.Add(1)
	defer cr.open.Add(-1)
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(cr.ctx, func() { _ = c.Close() })()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	cr.kind.run(c, t)
	if !cr.kind.holds {
		return
	}
	_ = c.SetDeadline(time.Time{})
	held := time.AfterFunc(holdTime, settle)
	defer held.Stop()
	_, _ = io.Copy(io.Discard, c)
}

// holdTime is the time after which a connection that the server has not closed counts as held.
const holdTime = time.Second
