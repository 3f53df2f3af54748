package region

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/wal"
)

// memoryNet connects the instances of a test. Messages between two instances stay in
// order.
type memoryNet struct {
	mu    sync.Mutex
	peers map[string]*memoryPeers
	cut   map[string]bool // instances that neither send nor receive
	// onRequest is called with each request that arrives at an instance, and onReply after it
	// has been handled there; both may be nil.
	onRequest, onReply func(to string, req *request)
}

// memoryPeers is the link.Peers of one instance.
type memoryPeers struct {
	net      *memoryNet
	name     string
	handlers map[link.Kind]link.Handler
	queue    chan func()
}

func (n *memoryNet) join(name string, stop <-chan struct{}) *memoryPeers {
	p := &memoryPeers{net: n, name: name, handlers: map[link.Kind]link.Handler{}, queue: make(chan func(), 4096)}
	go func() {
		for {
			select {
			case f := <-p.queue:
				f()
			case <-stop:
				return
			}
		}
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[name] = p
	return p
}

func (n *memoryNet) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// hooks sets onRequest and onReply.
func (n *memoryNet) hooks(onRequest, onReply func(to string, req *request)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onRequest, n.onReply = onRequest, onReply
}

// handler returns the handler of an instance, or nil if a message cannot reach it.
func (p *memoryPeers) handler(to string, kind link.Kind) link.Handler {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	dst := p.net.peers[to]
	if dst == nil || p.net.cut[to] || p.net.cut[p.name] {
		return nil
	}
	return dst.handlers[kind]
}

func (p *memoryPeers) Handle(kind link.Kind, h link.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.handlers[kind] = h
}

func (p *memoryPeers) Send(to string, kind link.Kind, body []byte) {
	h := p.handler(to, kind)
	if h == nil {
		return
	}
	p.net.mu.Lock()
	queue := p.net.peers[to].queue
	p.net.mu.Unlock()
	select {
	case queue <- func() { _, _ = h(context.Background(), p.name, body) }:
	default:
	}
}

// Call leaves a request without an answer until ctx ends if one of the instances is cut
// off, also if the cut begins while the request is handled.
func (p *memoryPeers) Call(ctx context.Context, to string, kind link.Kind, body []byte) ([]byte, error) {
	h := p.handler(to, kind)
	if h == nil {
		<-ctx.Done()
		return nil, &link.NotSentError{To: to, Cause: ctx.Err()}
	}
	var req request
	if err := codec.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	p.net.mu.Lock()
	onRequest, onReply := p.net.onRequest, p.net.onReply
	p.net.mu.Unlock()
	if onRequest != nil {
		onRequest(to, &req)
	}
	reply, err := h(context.WithoutCancel(ctx), p.name, body)
	if onReply != nil {
		onReply(to, &req)
	}
	if p.handler(to, kind) == nil {
		<-ctx.Done()
		return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
	}
	return reply, err
}

// syncedFS is a file system that loses everything that was not synced when the power goes
// off.
type syncedFS struct {
	wal.OS
	off *atomic.Bool
}

type syncedFile struct {
	wal.File
	off     *atomic.Bool
	written []byte // since the last sync
}

func (f *syncedFS) Create(name string) (wal.File, error) {
	if f.off.Load() {
		return nil, syscall.EIO
	}
	file, err := f.OS.Create(name)
	return &syncedFile{File: file, off: f.off}, err
}

func (f *syncedFile) Write(b []byte) (int, error) {
	f.written = append(f.written, b...)
	return len(b), nil
}

func (f *syncedFile) Sync() error {
	if f.off.Load() {
		return syscall.EIO
	}
	if _, err := f.File.Write(f.written); err != nil {
		return err
	}
	f.written = nil
	return f.File.Sync()
}

// cluster is a region of three control instances, c0 to c2, and two entry instances, e0
// and e1.
type cluster struct {
	relayAbove int // see ControlConfig
	t          *testing.T
	net        *memoryNet
	folders    map[string]string
	controls   map[string]*Control
	routers    map[string]*Router
	power      *atomic.Bool          // set while the power is off
	workers    map[string]*oneWorker // worker that each control instance reaches
}

const clusterTimeout = 20 * time.Second

func openCluster(t *testing.T) *cluster { return openRelayingCluster(t, 0) }

// openRelayingCluster opens a cluster that relays announcements above a number of workers.
func openRelayingCluster(t *testing.T, relayAbove int) *cluster {
	c := &cluster{
		t: t, relayAbove: relayAbove, net: &memoryNet{peers: map[string]*memoryPeers{}, cut: map[string]bool{}}, folders: map[string]string{},
		controls: map[string]*Control{}, routers: map[string]*Router{}, power: &atomic.Bool{}, workers: map[string]*oneWorker{},
	}
	for i := range 3 {
		c.folders[fmt.Sprintf("c%d", i)] = t.TempDir()
	}
	c.start(true)
	for _, name := range []string{"e0", "e1"} {
		c.routers[name] = c.newRouter(name)
	}
	t.Cleanup(func() { c.stop() })
	return c
}

func (c *cluster) newRouter(name string) *Router {
	r := &Router{Self: name, Peers: c.net.join(name, c.t.Context().Done()), Log: logr.Discard()}
	r.SetSeeds([]string{"c0", "c1", "c2"})
	return r
}

// start starts the control instances, for the first time or again on their folders.
func (c *cluster) start(form bool) {
	for name, folder := range c.folders {
		r := c.newRouter(name)
		c.workers[name] = &oneWorker{began: time.Now()}
		ctl, err := OpenControl(ControlConfig{
			Self: name, Seeds: []string{"c0", "c1", "c2"}, Form: form, DataFolder: folder, FS: &syncedFS{off: c.power}, Peers: r.Peers, Client: c.workers[name],
			Zones: []string{"z1", "z2"}, MaxLease: time.Second, Log: logr.Discard(), RelayAbove: c.relayAbove,
		}, r)
		if err != nil {
			c.t.Fatal(err)
		}
		c.controls[name], c.routers[name] = ctl, r
	}
}

func (c *cluster) stop() {
	var wg sync.WaitGroup
	for name, ctl := range c.controls {
		delete(c.controls, name)
		wg.Go(ctl.Close)
	}
	wg.Wait()
}

// losePower ends all control instances as they are and starts them again.
func (c *cluster) losePower() {
	c.power.Store(true)
	for name := range c.controls {
		c.net.setCut(name, true)
	}
	c.stop()
	c.power.Store(false)
	for name := range c.folders {
		c.net.setCut(name, false)
	}
	c.start(false)
}

// leader waits for an instance that leads and is not cut off, and returns its name.
func (c *cluster) leader() string {
	c.t.Helper()
	for end := time.Now().Add(clusterTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for name, ctl := range c.controls {
			c.net.mu.Lock()
			cut := c.net.cut[name]
			c.net.mu.Unlock()
			if !cut && ctl.currentLeadership() != nil {
				return name
			}
		}
	}
	c.t.Fatal("no leader")
	return ""
}
