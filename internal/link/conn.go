package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// conn is one WebSocket connection, dialled or accepted.
type conn struct {
	links         *Links
	ws            *websocket.Conn
	peer          string
	dialed        bool
	maxMessage    int    // largest message that the other side accepts, bytes
	remoteSession uint64 // session number of the other process

	oneway  *queue        // one-way messages to the dialling side; accepted connections only
	replies chan outgoing // accepted connections only

	handlerQueues map[Kind]chan *envelope // owned by the read loop
	readEnded     chan struct{}           // closed when the read loop has returned

	// Times since Links.start, in nanoseconds.
	lastRecv   atomic.Int64 // last bytes received
	lastUse    atomic.Int64 // last frame that is not a heartbeat, either direction
	writeStart atomic.Int64 // start of the write in progress, 0 if there is none
	lastSent   int64        // owned by the write loop

	watchdog  *time.Timer
	closeOnce sync.Once
	done      chan struct{}
	cause     error // set before done is closed
}

func (l *Links) newConn(ws *websocket.Conn, peer string, dialed bool) *conn {
	c := &conn{
		links: l, ws: ws, peer: peer, dialed: dialed, done: make(chan struct{}),
		handlerQueues: map[Kind]chan *envelope{}, readEnded: make(chan struct{}),
	}
	if !dialed {
		c.oneway = newQueue(&l.cfg)
		c.replies = make(chan outgoing, l.cfg.PeerHandlers)
	}
	ws.SetReadLimit(int64(l.cfg.MaxMessage + frameOverhead))
	now := l.now()
	c.lastRecv.Store(now)
	c.lastUse.Store(now)
	c.lastSent = now
	c.watchdog = time.AfterFunc(l.silenceTimeout, c.checkTimeouts)
	return c
}

// close ends the connection. The first cause is kept.
func (c *conn) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.done)
		_ = c.ws.CloseNow()
	})
}

func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// checkTimeouts closes the connection when nothing was received or a write did
// not finish in time. It runs outside the write loop because a write blocks while
// the other side does not read.
func (c *conn) checkTimeouts() {
	if c.closed() {
		return
	}
	now := c.links.now()
	sinceReceived := time.Duration(now - c.lastRecv.Load())
	if sinceReceived >= c.links.silenceTimeout {
		c.links.stats.silent.Inc()
		c.close(&SilentError{Peer: c.peer, For: sinceReceived})
		return
	}
	if started := c.writeStart.Load(); started != 0 && time.Duration(now-started) >= c.links.cfg.WriteTimeout {
		c.close(&StalledError{Peer: c.peer, For: time.Duration(now - started)})
		return
	}
	c.watchdog.Reset(c.links.silenceTimeout - sinceReceived)
}

// write sends one frame; an empty one is a heartbeat.
func (c *conn) write(f outgoing) error {
	now := c.links.now()
	c.writeStart.Store(now)
	err := c.ws.Write(context.Background(), websocket.MessageBinary, f.data)
	c.writeStart.Store(0)
	c.lastSent = c.links.now()
	if err != nil {
		c.close(err)
		return err
	}
	c.links.stats.addSent(f.kind, frameSize(len(f.data), c.dialed))
	if len(f.data) > 0 {
		c.lastUse.Store(c.lastSent)
	}
	return nil
}

// readLoop calls f with each frame until the connection ends.
func (c *conn) readLoop(f func(*envelope) error) {
	defer close(c.readEnded)
	buf := make([]byte, websocketReadBufBytes)
	for {
		data, err := c.readFrame(buf)
		if err != nil {
			c.close(err)
			return
		}
		now := c.links.now()
		c.lastRecv.Store(now)
		if len(data) == 0 {
			c.links.stats.addReceived(kindHeartbeat, frameSize(0, !c.dialed))
			continue
		}
		c.lastUse.Store(now)
		e, err := decodeEnvelope(c.peer, data)
		if err == nil {
			c.links.stats.addReceived(c.links.metricKind(e), frameSize(len(data), !c.dialed))
			err = f(e)
		}
		if err != nil {
			c.links.log.Error(err, "connection closed: invalid frame", "peer", c.peer)
			c.close(err)
			return
		}
	}
}

// readFrame reads one frame. Each partial read updates lastRecv, because a large
// frame can take longer than three heartbeats. The result is valid until the next
// call.
func (c *conn) readFrame(buf []byte) ([]byte, error) {
	_, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	n := 0
	for {
		if n == len(buf) {
			buf = append(buf, make([]byte, len(buf))...)
		}
		m, err := r.Read(buf[n:])
		n += m
		c.lastRecv.Store(c.links.now())
		if err == io.EOF {
			return buf[:n], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// writeSources holds the sources of the frames that a write loop sends. A nil
// channel is never ready.
type writeSources struct {
	requests     <-chan *op
	writeRequest func(*op) error
	oneway       *queue
	replies      <-chan outgoing
	idle         func() bool // true if the connection may be closed when unused
}

// writeLoop sends frames and heartbeats until the connection ends.
func (c *conn) writeLoop(s writeSources) {
	timer := time.NewTimer(c.links.cfg.Heartbeat)
	defer timer.Stop()
	for {
		var err error
		select {
		case <-c.done:
			return
		case o := <-s.requests:
			err = s.writeRequest(o)
		case f := <-s.replies:
			err = c.write(f)
		case f := <-s.oneway.ch:
			s.oneway.release(f)
			err = c.write(f)
		case <-timer.C:
			err = c.sendHeartbeat(s.idle)
			timer.Reset(c.untilHeartbeat())
		}
		if err != nil {
			c.close(err)
			return
		}
	}
}

// sendHeartbeat sends a heartbeat if nothing else was sent, or closes an unused
// connection.
func (c *conn) sendHeartbeat(idle func() bool) error {
	now := c.links.now()
	if idle != nil && time.Duration(now-c.lastUse.Load()) >= c.links.cfg.Idle && idle() {
		return &IdleError{Peer: c.peer}
	}
	if time.Duration(now-c.lastSent) < c.links.cfg.Heartbeat {
		return nil
	}
	return c.write(outgoing{kind: kindHeartbeat})
}

func (c *conn) untilHeartbeat() time.Duration {
	left := c.links.cfg.Heartbeat - time.Duration(c.links.now()-c.lastSent)
	return max(left, time.Millisecond)
}
