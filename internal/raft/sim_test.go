package raft

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// tester is the subset of testing.T and rapid.T that the cluster needs.
type tester interface {
	Helper()
	Fatalf(format string, args ...any)
}

// disk is the state that survives a crash of a member with a disk.
type disk struct {
	id        ID
	hardState HardState
	snap      Snapshot
	entries   []Entry
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
		d.hardState = rd.HardState
	}
}

// host simulates one instance.
type host struct {
	name          string
	hasDisk       bool
	disk          *disk // nil if the host has none or lost it
	node          *Node
	applied       []string // commands in the order of application
	joinCountdown int
	reads         []ReadState
}

// cluster runs hosts over a network that loses, duplicates and reorders messages.
type cluster struct {
	t               tester
	rnd             *rand.Rand
	hosts           map[string]*host
	names           []string
	inFlight        []Message
	blocked         map[[2]string]bool // directed links, from and to, that drop messages
	lastIncarnation uint64
	leaders         map[uint64]ID
	appliedEntries  map[uint64]Entry // by index, as last applied on any host
	acked           map[string]bool
	// notDurable holds, by proposer and index, the commands that their proposer has
	// applied and that are not durable yet.
	notDurable map[ID]map[uint64]string
	proposed   map[string]bool   // command and proposer, joined
	policy     *MembershipPolicy // of an open group; nil otherwise
	// repairing is set from the loss of a host's state until the group is healthy
	// again.
	repairing bool
}

func newCluster(t tester, seed uint64, disks ...bool) *cluster {
	c := &cluster{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}, blocked: map[[2]string]bool{},
		leaders: map[uint64]ID{}, appliedEntries: map[uint64]Entry{}, acked: map[string]bool{},
		notDurable: map[ID]map[uint64]string{},
		proposed:   map[string]bool{},
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

// start starts a host from its disk, or as a new incarnation if it has no state.
func (c *cluster) start(h *host) {
	cfg := Config{ElectionTicks: 10, HeartbeatTicks: 3, Random: c.rnd.IntN, MaxBytes: 200, Disk: h.hasDisk}
	h.applied = nil
	if h.disk == nil {
		c.lastIncarnation++
		cfg.ID = ID{Instance: h.name, Incarnation: c.lastIncarnation}
		if h.hasDisk {
			h.disk = &disk{id: cfg.ID}
		}
	} else {
		cfg.ID = h.disk.id
		cfg.HardState = h.disk.hardState
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

// crash stops a host without warning and starts it again.
func (c *cluster) crash(h *host, loseDisk bool) {
	if loseDisk {
		h.disk = nil
	}
	c.start(h)
}

// processReady does the pending work of a node. If crashAt is 1 or 2, the host
// crashes before or after storing.
func (c *cluster) processReady(h *host, crashAt int) {
	for h.node.HasReady() {
		c.checkLeader(h)
		rd := h.node.Ready()
		c.inFlight = append(c.inFlight, rd.Before...)
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
		c.inFlight = append(c.inFlight, rd.After...)
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

// acknowledge acknowledges the commands of this proposer that are durable.
func (c *cluster) acknowledge(h *host) {
	st := h.node.Status()
	for i, cmd := range c.notDurable[h.node.id] {
		if st.Leads && i <= st.Durable {
			c.acked[cmd] = true
			delete(c.notDurable[h.node.id], i)
		}
	}
}

// apply applies an entry and checks that it does not differ from the one applied
// at that index before. Only a recovery election may replace entries, those that
// were not durable; checkState detects the loss of acknowledged ones.
func (c *cluster) apply(h *host, e Entry) {
	prev, ok := c.appliedEntries[e.Index]
	recovered := e.Term>>epochShift > prev.Term>>epochShift
	if ok && !recovered && (prev.Term != e.Term || string(prev.Data) != string(e.Data)) {
		c.t.Fatalf("entry %d changed: %v, then %v on %s", e.Index, prev, e, h.node.id)
	}
	c.appliedEntries[e.Index] = e
	if e.Kind != EntryCommand {
		return
	}
	h.applied = append(h.applied, string(e.Data))
	if key := string(e.Data) + h.node.id.String(); c.proposed[key] {
		if c.notDurable[h.node.id] == nil {
			c.notDurable[h.node.id] = map[uint64]string{}
		}
		c.notDurable[h.node.id][e.Index] = string(e.Data)
	}
}

// checkLeader checks that a term has only one leader.
func (c *cluster) checkLeader(h *host) {
	n := h.node
	if n.role != leader {
		return
	}
	if prev, ok := c.leaders[n.term]; ok && prev != n.id {
		c.t.Fatalf("term %x has the leaders %s and %s", n.term, prev, n.id)
	}
	c.leaders[n.term] = n.id
}

// deliver delivers the i-th message in flight to its receiver. With keep, the
// message stays in flight and is delivered again.
func (c *cluster) deliver(i int, keep bool) {
	m := c.inFlight[i]
	if !keep {
		c.inFlight[i] = c.inFlight[len(c.inFlight)-1]
		c.inFlight = c.inFlight[:len(c.inFlight)-1]
	}
	h := c.hosts[m.To.Instance]
	if h == nil || c.blocked[[2]string{m.From.Instance, m.To.Instance}] {
		return
	}
	h.node.Step(m)
	c.processReady(h, 0)
}

// tick advances the clock of a host. A host that is not a voter or knows no leader
// asks to join; a leader admits learners as voters.
func (c *cluster) tick(h *host) {
	n := h.node
	n.Tick()
	st := n.Status()
	h.joinCountdown--
	if (!st.Voter || st.Leader.IsZero()) && h.joinCountdown <= 0 {
		h.joinCountdown = 8
		for _, to := range c.names {
			if to != h.name {
				c.inFlight = append(c.inFlight, Message{Kind: MsgJoin, From: n.id, To: ID{Instance: to}, Disk: h.hasDisk})
			}
		}
	}
	c.changeMembership(h)
	c.processReady(h, 0)
}

// changeMembership proposes the next change of the members. Without a policy of the
// cluster, silent voters stay.
func (c *cluster) changeMembership(h *host) {
	policy := MembershipPolicy{ReplaceAfter: math.MaxInt, RemoveAfter: math.MaxInt}
	if c.policy != nil {
		policy = *c.policy
	}
	if change := h.node.NextChange(policy); change != nil {
		_ = h.node.ProposeMembership(*change)
	}
}

func (c *cluster) propose(h *host, number int) {
	cmd := fmt.Sprintf("%08d", number)
	if _, _, err := h.node.Propose([]byte(cmd)); err == nil {
		c.proposed[cmd+h.node.id.String()] = true
	}
	c.processReady(h, 0)
}

func (c *cluster) compact(h *host) {
	if n := h.node; n.applied > n.log.snap.Index {
		snap := n.Compact(n.applied, h.state(), 2, 1<<20)
		if h.disk != nil {
			h.disk.entries = slices.Clone(h.disk.entries[snap.Index-h.disk.snap.Index:])
			h.disk.snap = snap
		}
	}
}

// run advances all hosts by a number of ticks and delivers messages in order.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, name := range c.names {
			c.tick(c.hosts[name])
		}
		for range 12 {
			for n := len(c.inFlight); n > 0; n-- {
				m := c.inFlight[0]
				c.inFlight = c.inFlight[1:]
				c.inFlight = append(c.inFlight, m)
				c.deliver(len(c.inFlight)-1, false)
			}
		}
	}
}

// readyLeader returns the first host that leads and has committed an entry of its
// own term, or nil.
func (c *cluster) readyLeader() *host {
	for _, name := range c.names {
		if h := c.hosts[name]; h.node.Status().ReadyToLead {
			return h
		}
	}
	return nil
}

// healthy reports whether every instance is a voter, or a standby if the policy leaves one,
// and has committed the whole log of the leader.
func (c *cluster) healthy() bool {
	want := len(c.names)
	if c.policy != nil {
		want = c.policy.wantedVoters(want)
	}
	l := c.readyLeader()
	if l == nil || l.node.pendingChange() != 0 || len(l.node.activeMembership().current.Voters) != want {
		return false
	}
	voters := 0
	for _, name := range c.names {
		n := c.hosts[name].node
		if l.node.activeMembership().current.Has(n.id) {
			voters++
		}
		if n.commit != l.node.log.last() || n.leader != l.node.id {
			return false
		}
	}
	return voters == want
}

// add starts an empty host that was not in the cluster.
func (c *cluster) add(name string) *host {
	h := &host{name: name, hasDisk: true}
	c.hosts[name] = h
	c.names = append(c.names, name)
	c.start(h)
	return h
}

// healAndCheck removes all network faults and expects the group to become healthy
// with equal state machines that hold every acknowledged command.
func (c *cluster) healAndCheck() {
	c.t.Helper()
	c.blocked = map[[2]string]bool{}
	for i := 0; !c.healthy(); i++ {
		if i == 60 {
			c.t.Fatalf("group is not healthy after 600 ticks: %s", c.describe())
		}
		c.run(10)
	}
	c.checkState()
}

// checkState checks that all state machines are equal and hold every acknowledged
// command.
func (c *cluster) checkState() {
	c.t.Helper()
	want := c.readyLeader().applied
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
