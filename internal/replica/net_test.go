package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/link"
)

// network connects the daemons of a test. Messages of a pair stay in order.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool // instances that neither send nor receive
	bytes atomic.Int64
	count atomic.Int64
}

// node is one process's link.Peers.
type node struct {
	net     *network
	name    string
	handler link.Handler
	queue   chan func()
	stop    chan struct{}
}

func (n *network) start(name string) *node {
	p := &node{net: n, name: name, queue: make(chan func(), 4096), stop: make(chan struct{})}
	go func() {
		for {
			select {
			case f := <-p.queue:
				f()
			case <-p.stop:
				return
			}
		}
	}()
	return p
}

func (p *node) Call(context.Context, string, link.Kind, []byte) ([]byte, error) { return nil, nil }

// Handle connects the process; nothing arrives before.
func (p *node) Handle(_ link.Kind, h link.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.handler = h
	p.net.nodes[p.name] = p
}

func (p *node) Send(to string, _ link.Kind, body []byte) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	dst := p.net.nodes[to]
	if dst == nil || p.net.nodes[p.name] != p || p.net.cut[to] || p.net.cut[p.name] {
		return
	}
	p.net.bytes.Add(int64(len(body)))
	p.net.count.Add(1)
	select {
	case dst.queue <- func() { _, _ = dst.handler(context.Background(), p.name, body) }:
	default:
	}
}

// adder is a state machine that keeps the entries it has applied.
type adder struct {
	mu   sync.Mutex
	list []uint64
}

func (a *adder) Apply(_ uint64, entry []byte) any {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, binary.LittleEndian.Uint64(entry))
	return len(a.list)
}

func (a *adder) Snapshot() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := []byte{1}
	for _, v := range a.list {
		out = binary.LittleEndian.AppendUint64(out, v)
	}
	return out, nil
}

func (a *adder) Restore(data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = nil
	for data = data[1:]; len(data) >= 8; data = data[8:] {
		a.list = append(a.list, binary.LittleEndian.Uint64(data))
	}
	return nil
}

func (a *adder) has(v uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Contains(a.list, v)
}

// daemon is one process with one member.
type daemon struct {
	*Replica
	sm   *adder
	peer *node
}

// zone is a group of daemons.
type zone struct {
	t       testing.TB
	net     *network
	specs   []InstanceSpec
	daemons map[string]*daemon
	folder  string
	tick    time.Duration
	edit    func(*Config)
}

func newZone(t testing.TB, disks ...bool) *zone {
	z := &zone{
		t: t, net: &network{nodes: map[string]*node{}, cut: map[string]bool{}},
		daemons: map[string]*daemon{}, folder: t.TempDir(), tick: 10 * time.Millisecond,
	}
	for i, d := range disks {
		z.specs = append(z.specs, InstanceSpec{Name: fmt.Sprintf("i%d", i), Disk: d})
	}
	t.Cleanup(func() {
		for name := range z.daemons {
			z.kill(name)
		}
	})
	return z
}

// open starts all instances and waits until every one is ready.
func (z *zone) open() *zone {
	for _, s := range z.specs {
		z.start(s.Name)
	}
	z.ready()
	return z
}

func (z *zone) start(name string) *daemon {
	peer := z.net.start(name)
	d := &daemon{sm: &adder{}, peer: peer}
	cfg := Config{
		Group: "zone-a", Self: name, Instances: z.specs, Dispatcher: NewDispatcher(peer),
		Machine: d.sm, Log: logr.Discard(), TickInterval: z.tick, SnapshotEntries: 50,
	}
	if cfg.spec(name).Disk {
		cfg.DataFolder = filepath.Join(z.folder, name)
	}
	if z.edit != nil {
		z.edit(&cfg)
	}
	r, err := Open(cfg)
	if err != nil {
		z.t.Fatal(err)
	}
	d.Replica = r
	z.daemons[name] = d
	return d
}

// kill ends a process: nothing that it sends later arrives.
func (z *zone) kill(name string) {
	d := z.daemons[name]
	delete(z.daemons, name)
	z.net.mu.Lock()
	delete(z.net.nodes, name)
	z.net.mu.Unlock()
	d.Stop()
	close(d.peer.stop)
}

func (z *zone) setCut(name string, cut bool) {
	z.net.mu.Lock()
	defer z.net.mu.Unlock()
	z.net.cut[name] = cut
}

// wait polls until ok holds.
func (z *zone) wait(what string, ok func() bool) {
	z.t.Helper()
	end := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(end) {
			for name, d := range z.daemons {
				z.t.Logf("%s: %+v", name, d.Status())
			}
			z.t.Fatalf("not reached in 10 s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// ready waits until every instance is a ready voter.
func (z *zone) ready() {
	z.t.Helper()
	z.wait("all instances ready", func() bool {
		for _, d := range z.daemons {
			if !d.Status().Ready {
				return false
			}
		}
		l := z.lead()
		return l != nil && len(l.Status().Members) == len(z.specs)
	})
}

func (z *zone) lead() *daemon {
	for _, d := range z.daemons {
		if d.Status().Leads {
			return d
		}
	}
	return nil
}

func (z *zone) leader() *daemon {
	z.t.Helper()
	z.wait("a leader", func() bool { return z.lead() != nil })
	return z.lead()
}

func (z *zone) other(not *daemon) *daemon {
	for _, s := range z.specs {
		if d := z.daemons[s.Name]; d != nil && d != not {
			return d
		}
	}
	return nil
}

func word(v uint64) []byte { return binary.LittleEndian.AppendUint64(nil, v) }

// durable waits until what was put survives the loss of every process: a commit
// does not wait for the disk.
func (z *zone) durable() {
	z.t.Helper()
	z.wait("durable", func() bool {
		l := z.lead()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return l.WaitDurable(ctx) == nil
	})
}

// put proposes at the leader until it is accepted.
func (z *zone) put(v uint64) {
	z.t.Helper()
	z.wait("proposal accepted", func() bool {
		l := z.lead()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := l.Propose(ctx, word(v))
		return err == nil
	})
}
