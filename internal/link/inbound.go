package link

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// record is a request that was received.
type record struct {
	running bool
	status  replyStatus
	body    []byte
	expires time.Time // set when it is finished
}

// inbound is the receiving side towards one instance: its newest connection and
// the requests of its process with their replies.
type inbound struct {
	l    *Links
	from string

	mu       sync.Mutex
	session  uint64
	lastConn uint64 // number of the newest connection
	conn     *conn  // nil if there is none
	floor    uint64 // every operation below is finished at the sender
	records  map[uint64]*record
	bytes    int // of the replies kept
	running  int
}

func newInbound(l *Links, from string) *inbound {
	return &inbound{l: l, from: from, records: map[uint64]*record{}}
}

// current returns the connection if there is one that is open.
func (in *inbound) current() *conn {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn == nil || in.conn.closed() {
		return nil
	}
	return in.conn
}

// Handler accepts the connections of other instances.
func (l *Links) Handler() http.Handler { return http.HandlerFunc(l.accept) }

func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	session, number := parseNumber(r.Header, headerSession), parseNumber(r.Header, headerConn)
	in := l.inboundFrom(from)
	switch {
	case r.URL.Path != linkPath:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Header.Get("Sec-WebSocket-Protocol") != l.cfg.version:
		l.log.Info("connection refused: other link version", "peer", from,
			"theirs", r.Header.Get("Sec-WebSocket-Protocol"), "ours", l.cfg.version)
		w.Header().Set(headerVersion, l.cfg.version)
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	case in == nil || session == 0 || number == 0:
		l.log.Info("connection refused: instance is not in the settings", "peer", from)
		w.WriteHeader(http.StatusForbidden)
		return
	case in.stale(session, number):
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.Header().Set(headerSession, formatNumber(l.session))
	w.Header().Set(headerLimit, strconv.Itoa(l.cfg.MaxMessage))
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{l.cfg.version}})
	if err != nil {
		l.log.V(1).Info("handshake failed", "peer", from, "error", err.Error())
		return
	}
	c := l.newConn(ws, from, false)
	c.remote = session
	c.limit = l.cfg.MaxMessage
	if !l.track(c) {
		return
	}
	defer l.untrack(c)
	if !in.attach(c, session, number) {
		return
	}
	in.serve(c)
}

// stale is true for a connection that was dialled before the newest one.
func (in *inbound) stale(session, number uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return session == in.session && number <= in.lastConn
}

// attach makes c the newest connection and closes the one before. A frame that
// is still on its way over an older connection must not be carried out after a
// resend over the newer one.
func (in *inbound) attach(c *conn, session, number uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if session == in.session && number <= in.lastConn {
		c.close(&SupersededError{Peer: in.from})
		return false
	}
	if in.conn != nil {
		in.conn.close(&SupersededError{Peer: in.from})
	}
	if session != in.session {
		// Another process numbers its operations anew.
		in.session, in.floor, in.bytes = session, 0, 0
		in.records = map[uint64]*record{}
	}
	in.conn, in.lastConn = c, number
	return true
}

func (in *inbound) serve(c *conn) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.writeLoop(writeSources{oneway: c.oneway, reply: c.reply})
	}()
	c.readLoop(func(e *envelope) error { return in.receive(c, e) })
	wg.Wait()
	in.l.log.V(1).Info("connection ended", "peer", in.from, "error", c.cause.Error())
	in.mu.Lock()
	if in.conn == c {
		in.conn = nil
	}
	in.mu.Unlock()
	c.oneway.drop(in.l.count)
}

func (in *inbound) receive(c *conn, e *envelope) error {
	switch e.Type {
	case frameRequest:
		in.request(c, e)
	case frameOneWay:
		in.l.dispatchOneWay(c, e)
	default:
		return &FrameError{Peer: in.from}
	}
	return nil
}

// request carries out a new request and answers a repeated one from its record.
func (in *inbound) request(c *conn, e *envelope) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn != c {
		return // superseded since the frame was read
	}
	in.raiseFloor(e.Floor)
	if e.Op < in.floor {
		return
	}
	if r := in.records[e.Op]; r != nil {
		in.l.count.duplicates.Inc()
		if !r.running {
			in.l.goSend(c, e.Op, r.status, r.body)
		}
		return
	}
	h := in.l.handler(e.Kind)
	switch {
	case h == nil:
		in.l.goSend(c, e.Op, replyFailed, []byte("no handler for messages of kind "+strconv.Quote(string(e.Kind))))
	case len(in.records) >= in.l.cfg.MaxReplies || in.running >= in.l.cfg.PeerHandlers || !in.l.acquire():
		in.l.goSend(c, e.Op, replyBusy, []byte("too many requests"))
	default:
		r := &record{running: true}
		in.records[e.Op] = r
		in.running++
		in.l.wg.Add(1)
		go in.carryOut(h, r, e, in.session)
	}
}

// raiseFloor drops the records that the sender no longer needs.
func (in *inbound) raiseFloor(floor uint64) {
	if floor <= in.floor {
		return
	}
	in.floor = floor
	for n, r := range in.records {
		if n < floor {
			in.bytes -= len(r.body)
			delete(in.records, n)
		}
	}
}

func (in *inbound) carryOut(h Handler, r *record, e *envelope, session uint64) {
	defer in.l.wg.Done()
	defer in.l.release()
	ctx, cancel := context.WithTimeout(in.l.ctx, time.Duration(e.Millis)*time.Millisecond)
	defer cancel()
	if e.Group != "" {
		ctx = WithGroup(ctx, e.Group)
	}
	body, err := h(ctx, in.from, e.Body)
	status := replyOK
	if err != nil {
		status, body = replyFailed, []byte(err.Error())
	}
	if len(body) > in.l.cfg.MaxMessage {
		tooLarge := &TooLargeError{Bytes: len(body), Limit: in.l.cfg.MaxMessage}
		status, body = replyFailed, []byte("reply: "+tooLarge.Error())
	}
	if c := in.finished(r, e, session, status, body); c != nil {
		in.l.sendReply(c, e.Op, status, body)
	}
}

// finished records a reply and returns the connection to send it over, if any.
func (in *inbound) finished(r *record, e *envelope, session uint64, status replyStatus, body []byte) *conn {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.running--
	r.running = false
	if session != in.session || in.records[e.Op] != r {
		return nil // the sender's process is gone or does not wait
	}
	r.expires = time.Now().Add(time.Duration(e.Millis)*time.Millisecond + replyMargin)
	if in.bytes+len(body) > in.l.cfg.MaxReplyBytes {
		r.status = replyDiscarded
	} else {
		r.status, r.body = status, body
		in.bytes += len(body)
	}
	return in.conn
}

// expire drops the records whose requests are past their deadlines.
func (in *inbound) expire(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for n, r := range in.records {
		if !r.running && now.After(r.expires) {
			in.bytes -= len(r.body)
			delete(in.records, n)
		}
	}
}

func (l *Links) acquire() bool {
	select {
	case l.workers <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l *Links) release() { <-l.workers }

// goSend sends a reply without blocking the reader.
func (l *Links) goSend(c *conn, number uint64, status replyStatus, body []byte) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.sendReply(c, number, status, body)
	}()
}

// sendReply waits for room in the connection's queue. If the connection ends,
// the reply goes out when the request is sent again.
func (l *Links) sendReply(c *conn, number uint64, status replyStatus, body []byte) {
	e := envelope{Type: frameReply, Op: number, Status: status, Body: body}
	data, err := e.encode()
	if err != nil {
		l.log.Error(err, "reply not encoded", "peer", c.peer)
		return
	}
	select {
	case c.reply <- outgoing{kind: kindReply, data: data}:
	case <-c.done:
	}
}
