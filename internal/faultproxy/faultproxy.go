// Package faultproxy is a TCP proxy that injects faults between real processes, for
// tests and proofs. Go calls make it delay or silently drop the bytes of a direction,
// close connections, or refuse new ones.
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

// Directions of a connection through the proxy.
const (
	ToTarget   Direction = iota // from the client to the target
	FromTarget                  // from the target to the client
	numDirections
)

const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 256 // of one direction of a connection
	dialTimeout     = time.Second
)

// Proxy forwards connections to a target.
type Proxy struct {
	listener  net.Listener
	delay     [numDirections]atomic.Int64 // nanoseconds
	blackhole [numDirections]atomic.Bool  // applies to new connections
	refuse    atomic.Bool
	accepted  atomic.Int64
	received  [numDirections]atomic.Int64
	wg        sync.WaitGroup

	mu     sync.Mutex
	target string
	closed bool
	pairs  map[*pair]struct{}
}

// pair is a connection from a client and the corresponding connection to the target.
type pair struct {
	client, server *net.TCPConn // from the client, to the target
	blackhole      [numDirections]atomic.Bool
	ended          atomic.Int32 // bit set of the directions that have ended
	done           chan struct{}
	closeOnce      sync.Once
}

// New listens on a loopback port that the system chooses and forwards to the
// target, an IP:port.
func New(target string) (*Proxy, error) { return NewAt("127.0.0.1:0", target) }

// NewAt is like New, but listens on the given address.
func NewAt(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{listener: ln, target: target, pairs: map[*pair]struct{}{}}
	p.wg.Add(1)
	go p.acceptLoop()
	return p, nil
}

// Addr returns the IP:port to dial.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget sets the target of new connections, for example after a restart of the
// target.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Delay sets the delay of a direction. It applies to bytes that arrive after the call.
func (p *Proxy) Delay(d Direction, by time.Duration) { p.delay[d].Store(int64(by)) }

// BlackholeOpen silently drops the bytes of a direction on the connections that are open
// now. New connections are not affected.
func (p *Proxy) BlackholeOpen(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.blackhole[d].Store(true)
	}
}

// BlackholeAll silently drops the bytes of a direction on all connections, including new
// ones, until Heal.
func (p *Proxy) BlackholeAll(d Direction) {
	p.blackhole[d].Store(true)
	p.BlackholeOpen(d)
}

// Cut closes the connections that are open now.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.close()
	}
}

// Refuse makes the proxy reset new connections at once, or stops that.
func (p *Proxy) Refuse(on bool) { p.refuse.Store(on) }

// Heal removes delays, refusals and the dropping of bytes. A connection whose
// bytes were dropped is cut, because its stream has a gap.
func (p *Proxy) Heal() {
	p.refuse.Store(false)
	for d := range numDirections {
		p.delay[d].Store(0)
		p.blackhole[d].Store(false)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		if c.blackhole[ToTarget].Load() || c.blackhole[FromTarget].Load() {
			c.close()
		}
	}
}

// Accepted returns the number of connections accepted so far.
func (p *Proxy) Accepted() int { return int(p.accepted.Load()) }

// OpenConnections returns the number of open connections.
func (p *Proxy) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

// Bytes returns the number of bytes received for a direction, including dropped ones.
func (p *Proxy) Bytes(d Direction) int64 { return p.received[d].Load() }

// Close stops the proxy, closes its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Cut()
	p.wg.Wait()
}

func (p *Proxy) acceptLoop() {
	defer p.wg.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		p.wg.Add(1)
		go p.forward(client.(*net.TCPConn))
	}
}

// forward dials the target for a client connection and returns when the pair is closed.
func (p *Proxy) forward(client *net.TCPConn) {
	defer p.wg.Done()
	if p.refuse.Load() {
		reset(client)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := &pair{client: client, server: server.(*net.TCPConn), done: make(chan struct{})}
	for d := range numDirections {
		c.blackhole[d].Store(p.blackhole[d].Load())
	}
	if !p.register(c) {
		c.close()
		return
	}
	p.wg.Add(2)
	go p.pipe(c, ToTarget, c.client, c.server)
	go p.pipe(c, FromTarget, c.server, c.client)
	<-c.done
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// register adds a pair. It returns false if the proxy is closed.
func (p *Proxy) register(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

// chunk holds bytes of one direction and the time at which to forward them.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe forwards the bytes of one direction until the sending side closes or the pair is
// closed.
func (p *Proxy) pipe(c *pair, d Direction, from, to *net.TCPConn) {
	defer p.wg.Done()
	queue := make(chan chunk, maxQueuedChunks)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		c.writeDue(d, to, queue)
	}()
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		p.received[d].Add(int64(n))
		if n > 0 && !c.blackhole[d].Load() {
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

// writeDue writes each chunk of one direction when it is due. It ends the direction when
// the queue is closed.
func (c *pair) writeDue(d Direction, to *net.TCPConn, queue <-chan chunk) {
	defer c.endDirection(d)
	failed := false
	for k := range queue {
		if failed || !c.sleep(time.Until(k.due)) {
			continue
		}
		if _, err := to.Write(k.data); err != nil {
			failed = true
			c.endDirection(d.opposite())
		}
	}
}

func (d Direction) opposite() Direction { return ToTarget + FromTarget - d }

// endDirection closes the pair when the sending side of a direction has closed. If the
// bytes of that direction are dropped, the end of the stream is dropped too: the pair
// stays open until the receiving side closes its connection and both directions have
// ended.
func (c *pair) endDirection(d Direction) {
	if c.ended.Or(1<<d)|1<<d == 1<<numDirections-1 || !c.blackhole[d].Load() {
		c.close()
	}
}

// sleep waits for d. It returns false if the pair is closed before.
func (c *pair) sleep(d time.Duration) bool {
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
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
