// Package faultproxy is a TCP proxy for tests and proofs. It delays, swallows,
// cuts or refuses the connections between real processes, per direction, under
// the control of Go calls.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Direction is the direction of bytes through the proxy.
type Direction int

// The directions.
const (
	ToTarget   Direction = iota // from the dialling side
	FromTarget                  // to the dialling side
	directions
)

const (
	chunkBytes  = 16 << 10
	chunkQueue  = 256 // chunks on their way in one direction
	dialTimeout = time.Second
)

// Proxy forwards connections to a target.
type Proxy struct {
	ln      net.Listener
	delay   [directions]atomic.Int64 // nanoseconds
	swallow [directions]atomic.Bool  // for new connections
	refuse  atomic.Bool
	total   atomic.Int64
	bytes   [directions]atomic.Int64
	wg      sync.WaitGroup

	mu     sync.Mutex
	target string
	closed bool
	pairs  map[*pair]struct{}
}

// pair is a connection from a dialling side with its connection to the target.
type pair struct {
	near, far *net.TCPConn
	swallow   [directions]atomic.Bool
	ended     atomic.Int32 // bit set of the directions that have ended
	done      chan struct{}
	once      sync.Once
}

// New listens on a loopback port that the system chooses and forwards to the
// target, an IP:port.
func New(target string) (*Proxy, error) { return NewAt("127.0.0.1:0", target) }

// NewAt is New on an address of the caller's choice.
func NewAt(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{ln: ln, target: target, pairs: map[*pair]struct{}{}}
	p.wg.Add(1)
	go p.serve()
	return p, nil
}

// Addr is the IP:port to dial.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget changes where new connections go, for example after a restart.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Delay holds back the bytes of a direction. It applies to bytes that arrive
// from now on.
func (p *Proxy) Delay(d Direction, by time.Duration) { p.delay[d].Store(int64(by)) }

// SwallowOpen silently drops the bytes of a direction on the connections that
// are open now. New connections work.
func (p *Proxy) SwallowOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.swallow[d].Store(true)
	}
}

// SwallowAll silently drops the bytes of a direction on all connections, also on
// new ones, until Heal.
func (p *Proxy) SwallowAll(d Direction) {
	p.swallow[d].Store(true)
	p.SwallowOpen(d)
}

// Cut closes the connections that are open now.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.close()
	}
}

// Refuse makes new connections end at once with a reset.
func (p *Proxy) Refuse(on bool) { p.refuse.Store(on) }

// Heal removes delays, refusals and the dropping of bytes. A connection whose
// bytes were dropped is cut, because its stream has a gap.
func (p *Proxy) Heal() {
	p.refuse.Store(false)
	for d := range directions {
		p.delay[d].Store(0)
		p.swallow[d].Store(false)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		if c.swallow[ToTarget].Load() || c.swallow[FromTarget].Load() {
			c.close()
		}
	}
}

// Accepted is the number of connections that were accepted so far.
func (p *Proxy) Accepted() int { return int(p.total.Load()) }

// Open is the number of connections that are open.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

// Bytes is the number of bytes received for a direction, dropped ones included.
func (p *Proxy) Bytes(d Direction) int64 { return p.bytes[d].Load() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.ln.Close()
	p.Cut()
	p.wg.Wait()
}

func (p *Proxy) serve() {
	defer p.wg.Done()
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.total.Add(1)
		p.wg.Add(1)
		go p.forward(near.(*net.TCPConn))
	}
}

func (p *Proxy) forward(near *net.TCPConn) {
	defer p.wg.Done()
	if p.refuse.Load() {
		reset(near)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(near)
		return
	}
	c := &pair{near: near, far: far.(*net.TCPConn), done: make(chan struct{})}
	for d := range directions {
		c.swallow[d].Store(p.swallow[d].Load())
	}
	if !p.add(c) {
		c.close()
		return
	}
	p.wg.Add(2)
	go p.pipe(c, ToTarget, c.near, c.far)
	go p.pipe(c, FromTarget, c.far, c.near)
	<-c.done
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

type chunk struct {
	data []byte
	due  time.Time
}

// pipe forwards one direction until it ends.
func (p *Proxy) pipe(c *pair, d Direction, from, to *net.TCPConn) {
	defer p.wg.Done()
	queue := make(chan chunk, chunkQueue)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		c.drain(d, to, queue)
	}()
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		p.bytes[d].Add(int64(n))
		if n > 0 && !c.swallow[d].Load() {
			k := chunk{data: buf[:n], due: time.Now().Add(time.Duration(p.delay[d].Load()))}
			select {
			case queue <- k:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// drain writes the chunks of one direction when they are due, then ends it.
func (c *pair) drain(d Direction, to *net.TCPConn, queue <-chan chunk) {
	defer c.end(d)
	failed := false
	for k := range queue {
		if failed || !c.wait(time.Until(k.due)) {
			continue
		}
		if _, err := to.Write(k.data); err != nil {
			failed = true
			c.end(d.opposite())
		}
	}
}

func (d Direction) opposite() Direction { return ToTarget + FromTarget - d }

// end closes the pair because the sending side of a direction is gone. Where the
// bytes of that direction are dropped, so is the end of the stream: the receiving
// side learns nothing until it closes the connection itself.
func (c *pair) end(d Direction) {
	if c.ended.Or(1<<d)|1<<d == 1<<directions-1 || !c.swallow[d].Load() {
		c.close()
	}
}

// wait returns false if the pair ends before.
func (c *pair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.done:
		return false
	}
}

func (c *pair) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.near.Close()
		_ = c.far.Close()
	})
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
