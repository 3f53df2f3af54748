package link

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// requestRecord holds the state of a received request and its reply. Records
// deduplicate requests that are sent again.
type requestRecord struct {
	running bool
	status  replyStatus
	body    []byte
	expires time.Time // set when the handler has returned
}

// inbound is the receiving side for one instance. It holds the newest connection
// that the instance dialled and the records of the requests that its current
// process has sent.
type inbound struct {
	links *Links
	from  string

	mu         sync.Mutex // guards the fields below
	session    uint64     // of the sender's process
	lastConn   uint64     // number of the newest connection
	conn       *conn      // nil if there is none
	floor      uint64     // the sender has finished every operation below
	records    map[uint64]*requestRecord
	replyBytes int // total length of the replies kept
	running    int // handlers that have not returned
}

func newInbound(l *Links, from string) *inbound {
	return &inbound{links: l, from: from, records: map[uint64]*requestRecord{}}
}

// current returns the newest connection if it is open, or nil.
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
	session, number := parseHeaderNumber(r.Header, headerSession), parseHeaderNumber(r.Header, headerConn)
	in := l.inboundFrom(from)
	switch {
	case r.URL.Path != linkPath:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Header.Get("Sec-WebSocket-Protocol") != l.cfg.version:
		l.log.Info("connection refused: link versions differ", "peer", from,
			"theirs", r.Header.Get("Sec-WebSocket-Protocol"), "ours", l.cfg.version)
		w.Header().Set(headerVersion, l.cfg.version)
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	case in == nil || session == 0 || number == 0:
		l.log.Info("connection refused: instance is not known or its handshake is malformed", "peer", from)
		w.WriteHeader(http.StatusForbidden)
		return
	case in.superseded(session, number):
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
	c.remoteSession = session
	c.maxMessage = l.cfg.MaxMessage
	if !l.track(c) {
		return
	}
	defer l.untrack(c)
	if !in.attach(c, session, number) {
		return
	}
	in.serve(c)
}

// superseded reports whether a connection was dialled before the newest one.
func (in *inbound) superseded(session, number uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return session == in.session && number <= in.lastConn
}

// attach makes c the newest connection and closes the previous one. It returns
// false if c is superseded already. A frame that is in flight on an older
// connection must not be carried out after a resend over the newer one.
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
		// A new process numbers its operations from the start.
		in.session, in.floor, in.replyBytes = session, 0, 0
		in.records = map[uint64]*requestRecord{}
	}
	in.conn, in.lastConn = c, number
	return true
}

func (in *inbound) serve(c *conn) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.writeLoop(writeSources{oneway: c.oneway, replies: c.replies})
	}()
	c.readLoop(func(e *envelope) error { return in.handleFrame(c, e) })
	wg.Wait()
	in.links.log.V(1).Info("connection ended", "peer", in.from, "error", c.cause.Error())
	in.mu.Lock()
	if in.conn == c {
		in.conn = nil
	}
	in.mu.Unlock()
	c.oneway.dropAll(in.links.stats)
}

func (in *inbound) handleFrame(c *conn, e *envelope) error {
	switch e.Type {
	case frameRequest:
		in.handleRequest(c, e)
	case frameOneWay:
		in.links.dispatchOneWay(c, e)
	default:
		return &FrameError{Peer: in.from}
	}
	return nil
}

// handleRequest carries out a new request and answers a resent one from its
// record.
func (in *inbound) handleRequest(c *conn, e *envelope) {
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
		in.links.stats.duplicates.Inc()
		if !r.running {
			in.links.sendReplyAsync(c, e.Op, r.status, r.body)
		}
		return
	}
	h := in.links.handler(e.Kind)
	switch {
	case h == nil:
		in.links.sendReplyAsync(c, e.Op, replyFailed, []byte("no handler for messages of kind "+strconv.Quote(string(e.Kind))))
	case len(in.records) >= in.links.cfg.MaxReplies || in.running >= in.links.cfg.PeerHandlers || !in.links.acquireHandlerSlot(len(e.Body)):
		in.links.sendReplyAsync(c, e.Op, replyBusy, []byte("too many requests"))
	default:
		r := &requestRecord{running: true}
		in.records[e.Op] = r
		in.running++
		in.links.wg.Add(1)
		go in.runHandler(h, r, e, in.session)
	}
}

// raiseFloor drops the records of operations that the sender has finished.
func (in *inbound) raiseFloor(floor uint64) {
	if floor <= in.floor {
		return
	}
	in.floor = floor
	for n, r := range in.records {
		if n < floor {
			in.replyBytes -= len(r.body)
			delete(in.records, n)
		}
	}
}

func (in *inbound) runHandler(h Handler, r *requestRecord, e *envelope, session uint64) {
	defer in.links.wg.Done()
	defer in.links.releaseHandlerSlot(len(e.Body))
	ctx, cancel := context.WithTimeout(in.links.ctx, time.Duration(e.Millis)*time.Millisecond)
	defer cancel()
	if e.Group != "" {
		ctx = WithGroup(ctx, e.Group)
	}
	body, err := h(ctx, in.from, e.Body)
	status := replyOK
	if err != nil {
		status, body = replyFailed, []byte(err.Error())
	}
	if len(body) > in.links.cfg.MaxMessage {
		tooLarge := &TooLargeError{Bytes: len(body), Limit: in.links.cfg.MaxMessage}
		status, body = replyFailed, []byte("reply: "+tooLarge.Error())
	}
	if c := in.storeReply(r, e, session, status, body); c != nil {
		in.links.sendReply(c, e.Op, status, body)
	}
}

// storeReply stores a reply in its record and returns the connection to send it
// over, or nil.
func (in *inbound) storeReply(r *requestRecord, e *envelope, session uint64, status replyStatus, body []byte) *conn {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.running--
	r.running = false
	if session != in.session || in.records[e.Op] != r {
		return nil // the sender has restarted or no longer waits
	}
	r.expires = time.Now().Add(time.Duration(e.Millis)*time.Millisecond + replyRetention)
	if in.replyBytes+len(body) > in.links.cfg.MaxReplyBytes {
		r.status = replyDiscarded
	} else {
		r.status, r.body = status, body
		in.replyBytes += len(body)
	}
	return in.conn
}

// dropExpired drops the records of finished requests whose retention time is over.
func (in *inbound) dropExpired(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for n, r := range in.records {
		if !r.running && now.After(r.expires) {
			in.replyBytes -= len(r.body)
			delete(in.records, n)
		}
	}
}

// acquireHandlerSlot takes the slot of a request of n bytes. It returns false if too many requests, or
// too many bytes of them, are being handled.
func (l *Links) acquireHandlerSlot(n int) bool {
	if held := l.handlerBytes.Add(int64(n)); held > int64(max(n, l.cfg.MaxHandlerBytes)) {
		l.handlerBytes.Add(int64(-n))
		return false
	}
	select {
	case l.handlerSlots <- struct{}{}:
		return true
	default:
		l.handlerBytes.Add(int64(-n))
		return false
	}
}

func (l *Links) releaseHandlerSlot(n int) {
	l.handlerBytes.Add(int64(-n))
	<-l.handlerSlots
}

// sendReplyAsync sends a reply without blocking the read loop.
func (l *Links) sendReplyAsync(c *conn, number uint64, status replyStatus, body []byte) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.sendReply(c, number, status, body)
	}()
}

// sendReply queues a reply on the connection and blocks while the queue is full.
// If the connection ends, the reply is sent when the request is sent again.
func (l *Links) sendReply(c *conn, number uint64, status replyStatus, body []byte) {
	e := envelope{Type: frameReply, Op: number, Status: status, Body: body}
	data, err := e.encode()
	if err != nil {
		l.log.Error(err, "reply cannot be encoded", "peer", c.peer)
		return
	}
	select {
	case c.replies <- outgoing{kind: kindReply, data: data}:
	case <-c.done:
	}
}
