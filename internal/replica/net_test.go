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

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// network connects the daemons of a test. Messages between two daemons stay in
// order.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*node
	isolated map[string]bool          // instances that neither send nor receive
	drop     func(*raft.Message) bool // selects messages that are lost; nil for none
	bytes    atomic.Int64
	count    atomic.Int64
}

// node is the link.Peers of one process.
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

// Handle registers the handler and connects the process to the network.
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
	if dst == nil || p.net.nodes[p.name] != p || p.net.isolated[to] || p.net.isolated[p.name] {
		return
	}
	if p.net.drop != nil {
		var f frame
		if codec.Unmarshal(body, &f) == nil && f.Msg != nil && p.net.drop(f.Msg) {
			return
		}
	}
	p.net.bytes.Add(int64(len(body)))
	p.net.count.Add(1)
	select {
	case dst.queue <- func() { _, _ = dst.handler(context.Background(), p.name, body) }:
	default:
	}
}

// recorder is a state machine that records the entries it has applied.
type recorder struct {
	mu      sync.Mutex
	applied []uint64
	padding int // bytes that each snapshot is larger than its content
}

func (r *recorder) Apply(_ uint64, entry []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = append(r.applied, binary.LittleEndian.Uint64(entry))
	return len(r.applied)
}

func (r *recorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []byte{1}
	for _, v := range r.applied {
		out = binary.LittleEndian.AppendUint64(out, v)
	}
	out = append(out, make([]byte, r.padding)...)
	return out, nil
}

func (r *recorder) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = nil
	for data = data[1 : len(data)-r.padding]; len(data) >= 8; data = data[8:] {
		r.applied = append(r.applied, binary.LittleEndian.Uint64(data))
	}
	return nil
}

func (r *recorder) has(v uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.applied, v)
}

// daemon is one process with one member.
type daemon struct {
	*Replica
	recorder *recorder
	peer     *node
}

// zone is a group of daemons.
type zone struct {
	t          testing.TB
	net        *network
	specs      []InstanceSpec
	daemons    map[string]*daemon
	folder     string
	tick       time.Duration
	editConfig func(*Config)
}

func newZone(t testing.TB, disks ...bool) *zone {
	z := &zone{
		t: t, net: &network{nodes: map[string]*node{}, isolated: map[string]bool{}},
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
	z.waitReady()
	return z
}

func (z *zone) start(name string) *daemon {
	peer := z.net.start(name)
	d := &daemon{recorder: &recorder{}, peer: peer}
	cfg := Config{
		Group: "zone-a", Self: name, Instances: z.specs, Dispatcher: NewDispatcher(peer),
		Machine: d.recorder, Log: logr.Discard(), TickInterval: z.tick, SnapshotEntries: 50,
	}
	if cfg.instanceSpec(name).Disk {
		cfg.DataFolder = filepath.Join(z.folder, name)
	}
	if z.editConfig != nil {
		z.editConfig(&cfg)
	}
	r, err := Open(cfg)
	if err != nil {
		z.t.Fatal(err)
	}
	d.Replica = r
	z.daemons[name] = d
	return d
}

// kill stops a process after disconnecting it, so that nothing it still sends is
// delivered.
func (z *zone) kill(name string) {
	d := z.daemons[name]
	delete(z.daemons, name)
	z.net.mu.Lock()
	delete(z.net.nodes, name)
	z.net.mu.Unlock()
	d.Stop()
	close(d.peer.stop)
}

func (z *zone) setIsolated(name string, isolated bool) {
	z.net.mu.Lock()
	defer z.net.mu.Unlock()
	z.net.isolated[name] = isolated
}

// waitFor polls until ok returns true, and fails the test after 10 s.
func (z *zone) waitFor(what string, ok func() bool) {
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

// waitReady waits until every instance is a ready voter and one of them leads.
func (z *zone) waitReady() {
	z.t.Helper()
	z.waitFor("all instances ready", func() bool {
		for _, d := range z.daemons {
			if !d.Status().Ready {
				return false
			}
		}
		l := z.currentLeader()
		return l != nil && len(l.Status().Members) == len(z.specs)
	})
}

// currentLeader returns the daemon that leads, or nil.
func (z *zone) currentLeader() *daemon {
	for _, d := range z.daemons {
		if d.Status().Leads {
			return d
		}
	}
	return nil
}

func (z *zone) waitLeader() *daemon {
	z.t.Helper()
	z.waitFor("a leader", func() bool { return z.currentLeader() != nil })
	return z.currentLeader()
}

func (z *zone) otherThan(excluded *daemon) *daemon {
	for _, s := range z.specs {
		if d := z.daemons[s.Name]; d != nil && d != excluded {
			return d
		}
	}
	return nil
}

func encodeValue(v uint64) []byte { return binary.LittleEndian.AppendUint64(nil, v) }

// waitDurable waits until all applied entries survive the loss of every process: a
// commit does not wait for the disk.
func (z *zone) waitDurable() {
	z.t.Helper()
	z.waitFor("durable", func() bool {
		l := z.currentLeader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return l.WaitDurable(ctx) == nil
	})
}

// proposeUntilAccepted proposes v to the leader, again after errors, until the
// proposal is accepted.
func (z *zone) proposeUntilAccepted(v uint64) {
	z.t.Helper()
	z.waitFor("proposal accepted", func() bool {
		l := z.currentLeader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := l.Propose(ctx, encodeValue(v))
		return err == nil
	})
}
