package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// tester is the part of testing.T and rapid.T that the cluster needs.
type tester interface {
	Helper()
	Fatalf(format string, args ...any)
}

// disk is what survives a crash of a member with a disk.
type disk struct {
	id      ID
	hs      HardState
	snap    Snapshot
	entries []Entry
}

func (d *disk) store(rd Ready) {
	if rd.Snapshot != nil {
		d.snap = *rd.Snapshot
		d.entries = nil
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		d.entries = slices.Clone(d.entries[:first-d.snap.Index-1])
		d.entries = append(d.entries, rd.Entries...)
	}
	if rd.MustSync {
		d.hs = rd.HardState
	}
}

// host is one instance.
type host struct {
	name    string
	hasDisk bool
	disk    *disk // nil if it has none or lost it
	node    *Node
	applied []string // commands in the order of application
	joinIn  int
	reads   []ReadState
}

// cluster runs hosts over a network that loses, repeats and reorders messages.
type cluster struct {
	t       tester
	rnd     *rand.Rand
	hosts   map[string]*host
	names   []string
	net     []Message
	cut     map[[2]string]bool // one-way
	nextInc uint64
	leaders map[uint64]ID
	chosen  map[uint64]Entry // by index, as first applied
	acked   map[string]bool
	// unsure are the commands applied by their proposer that are not durable yet.
	unsure  map[ID]map[uint64]string
	waiting map[string]bool // proposed here and not yet applied by its proposer
	// repairing is set after a loss until the group is whole again.
	repairing bool
}

func newCluster(t tester, seed uint64, disks ...bool) *cluster {
	c := &cluster{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}, cut: map[[2]string]bool{},
		leaders: map[uint64]ID{}, chosen: map[uint64]Entry{}, acked: map[string]bool{},
		unsure:  map[ID]map[uint64]string{},
		waiting: map[string]bool{},
	}
	var m Membership
	for i, d := range disks {
		h := &host{name: fmt.Sprintf("n%d", i), hasDisk: d}
		c.hosts[h.name] = h
		c.names = append(c.names, h.name)
		c.start(h)
		m.Voters = append(m.Voters, Member{ID: h.node.id, Disk: d})
	}
	for _, h := range c.hosts {
		h.node.Bootstrap(m, 1)
	}
	return c
}

// start starts a host from its disk, or as a new incarnation.
func (c *cluster) start(h *host) {
	cfg := Config{ElectionTicks: 10, HeartbeatTicks: 3, Random: c.rnd.IntN, MaxBytes: 200, Disk: h.hasDisk}
	h.applied = nil
	if h.disk == nil {
		c.nextInc++
		cfg.ID = ID{Instance: h.name, Incarnation: c.nextInc}
		if h.hasDisk {
			h.disk = &disk{id: cfg.ID}
		}
	} else {
		cfg.ID = h.disk.id
		cfg.HardState = h.disk.hs
		cfg.Snapshot = h.disk.snap
		cfg.Entries = slices.Clone(h.disk.entries)
		h.restore(h.disk.snap.Data)
	}
	h.node = New(cfg)
}

func (h *host) restore(data []byte) {
	h.applied = nil
	for i := 0; i < len(data); i += 8 {
		h.applied = append(h.applied, string(data[i:i+8]))
	}
}

func (h *host) state() []byte {
	var out []byte
	for _, s := range h.applied {
		out = append(out, s...)
	}
	return out
}

// crash kills a host and starts it again.
func (c *cluster) crash(h *host, loseDisk bool) {
	if loseDisk {
		h.disk = nil
	}
	c.start(h)
}

// pump does what the node asks for. If crashAt is 1 or 2 the host crashes before
// or after the store.
func (c *cluster) pump(h *host, crashAt int) {
	for h.node.HasReady() {
		c.checkLeader(h)
		rd := h.node.Ready()
		c.net = append(c.net, rd.Before...)
		if crashAt == 1 {
			c.crash(h, false)
			return
		}
		if h.disk != nil {
			h.disk.store(rd)
		}
		if crashAt == 2 {
			c.crash(h, false)
			return
		}
		c.net = append(c.net, rd.After...)
		h.reads = append(h.reads, rd.Reads...)
		if rd.Snapshot != nil {
			h.restore(rd.Snapshot.Data)
		}
		for _, e := range rd.Committed {
			c.apply(h, e)
		}
		h.node.Advance()
	}
	c.checkLeader(h)
	c.acknowledge(h)
}

// acknowledge acknowledges the commands that are durable.
func (c *cluster) acknowledge(h *host) {
	st := h.node.Status()
	for i, cmd := range c.unsure[h.node.id] {
		if st.Leads && i <= st.Durable {
			c.acked[cmd] = true
			delete(c.unsure[h.node.id], i)
		}
	}
}

// apply checks that an applied entry is never another one later. Only a
// recovery election may take back entries that were not durable; the loss of an
// acknowledged one is found by check.
func (c *cluster) apply(h *host, e Entry) {
	was, ok := c.chosen[e.Index]
	recovered := e.Term>>epochShift > was.Term>>epochShift
	if ok && !recovered && (was.Term != e.Term || string(was.Data) != string(e.Data)) {
		c.t.Fatalf("entry %d changed: %v, then %v on %s", e.Index, was, e, h.node.id)
	}
	c.chosen[e.Index] = e
	if e.Kind != EntryCommand {
		return
	}
	h.applied = append(h.applied, string(e.Data))
	if key := string(e.Data) + h.node.id.String(); c.waiting[key] {
		if c.unsure[h.node.id] == nil {
			c.unsure[h.node.id] = map[uint64]string{}
		}
		c.unsure[h.node.id][e.Index] = string(e.Data)
	}
}

func (c *cluster) checkLeader(h *host) {
	n := h.node
	if n.role != leader {
		return
	}
	if was, ok := c.leaders[n.term]; ok && was != n.id {
		c.t.Fatalf("term %x has the leaders %s and %s", n.term, was, n.id)
	}
	c.leaders[n.term] = n.id
}

// deliver hands the i-th message in flight to its receiver.
func (c *cluster) deliver(i int, keep bool) {
	m := c.net[i]
	if !keep {
		c.net[i] = c.net[len(c.net)-1]
		c.net = c.net[:len(c.net)-1]
	}
	h := c.hosts[m.To.Instance]
	if h == nil || c.cut[[2]string{m.From.Instance, m.To.Instance}] {
		return
	}
	h.node.Step(m)
	c.pump(h, 0)
}

// tick ticks a host, lets it ask to join, and lets a leader take in learners.
func (c *cluster) tick(h *host) {
	n := h.node
	n.Tick()
	st := n.Status()
	h.joinIn--
	if (!st.Voter || st.Leader.IsZero()) && h.joinIn <= 0 {
		h.joinIn = 8
		for _, to := range c.names {
			if to != h.name {
				c.net = append(c.net, Message{Kind: MsgJoin, From: n.id, To: ID{Instance: to}, Disk: h.hasDisk})
			}
		}
	}
	c.admit(h)
	c.pump(h, 0)
}

func (c *cluster) admit(h *host) {
	for _, l := range h.node.Status().Learners {
		kind := ChangeAdd
		if h.node.config().cur.Instance(l.Member.ID.Instance) != nil {
			kind = ChangeReplace
		}
		if l.CaughtUp && h.node.ProposeMembership(Change{Kind: kind, Member: l.Member.ID}) == nil {
			return
		}
	}
}

func (c *cluster) propose(h *host, number int) {
	cmd := fmt.Sprintf("%08d", number)
	if _, _, err := h.node.Propose([]byte(cmd)); err == nil {
		c.waiting[cmd+h.node.id.String()] = true
	}
	c.pump(h, 0)
}

func (c *cluster) compact(h *host) {
	if n := h.node; n.applied > n.log.snap.Index {
		snap := n.Compact(n.applied, h.state(), 2)
		if h.disk != nil {
			h.disk.entries = slices.Clone(h.disk.entries[snap.Index-h.disk.snap.Index:])
			h.disk.snap = snap
		}
	}
}

// run lets everything happen in order for some ticks.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, name := range c.names {
			c.tick(c.hosts[name])
		}
		for range 12 {
			for n := len(c.net); n > 0; n-- {
				m := c.net[0]
				c.net = c.net[1:]
				c.net = append(c.net, m)
				c.deliver(len(c.net)-1, false)
			}
		}
	}
}

// lead returns the host that can act as leader, or nil.
func (c *cluster) lead() *host {
	for _, name := range c.names {
		if h := c.hosts[name]; h.node.Status().ReadyToLead {
			return h
		}
	}
	return nil
}

// healthy reports whether every instance is a voter and holds everything.
func (c *cluster) healthy() bool {
	l := c.lead()
	if l == nil || l.node.pendingChange() != 0 || len(l.node.config().cur.Voters) != len(c.names) {
		return false
	}
	for _, name := range c.names {
		n := c.hosts[name].node
		if !l.node.config().cur.Has(n.id) || n.commit != l.node.log.last() || n.leader != l.node.id {
			return false
		}
	}
	return true
}

// settle heals everything and expects a whole group with equal state machines
// that hold every acknowledged command.
func (c *cluster) settle() {
	c.t.Helper()
	c.cut = map[[2]string]bool{}
	for i := 0; !c.healthy(); i++ {
		if i == 60 {
			c.t.Fatalf("no whole group after 600 ticks: %s", c.describe())
		}
		c.run(10)
	}
	c.check()
}

func (c *cluster) check() {
	c.t.Helper()
	want := c.lead().applied
	for _, name := range c.names {
		if got := c.hosts[name].applied; !slices.Equal(got, want) {
			c.t.Fatalf("%s applied %v, the leader %v", name, got, want)
		}
	}
	for cmd := range c.acked {
		if !slices.Contains(want, cmd) {
			c.t.Fatalf("acknowledged command %s is lost; have %v", cmd, want)
		}
	}
}

func (c *cluster) describe() string {
	out := ""
	for _, name := range c.names {
		n := c.hosts[name].node
		out += fmt.Sprintf("\n%s role %d decided %d last term %x: %+v", n.id, n.role, n.decided, n.log.lastTerm(), n.Status())
	}
	return out
}
