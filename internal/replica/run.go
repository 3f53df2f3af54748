package replica

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/raft"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

const (
	inboxSize = 1024
	maxBatch  = 512 // events handled before the store is synced once
	// reopenTicks is the time from a failed store to the next try to open it.
	reopenTicks = 30
)

// inbound is a message that has arrived.
type inbound struct {
	from  string
	frame *frame
}

// Replica is one member of a replicated group. One goroutine owns the core, the
// store and the state machine.
type Replica struct {
	cfg Config
	log logr.Logger
	rnd *rand.Rand

	inbox     chan inbound
	proposals chan *proposal
	reads     chan *read
	transfers chan chan struct{}
	durables  chan *durableWait
	stop      chan struct{}
	stopOnce  sync.Once
	done      chan struct{}

	// Owned by the goroutine.
	id        raft.ID
	node      *raft.Node // nil while the store has failed
	store     store
	lostState bool
	initial   []byte // snapshot of the empty state machine
	applied   uint64 // by the state machine
	ticks     uint64
	reopenAt  uint64
	answers   map[string]answer
	pending   map[uint64]*proposal // by log index
	nextRead  uint64
	rounds    map[uint64]*round
	leaving   []chan struct{} // waiting transfers
	waits     []*durableWait
	durableAt time.Time // when the durable index was last at the commit index
	caughtUp  bool
	startRead *read // finds out whether the member has caught up
	counted   raft.Status

	mu     sync.Mutex // guards status
	status Status
}

var _ Group = (*Replica)(nil)

// Open starts a member. It returns *ConfigError, or an error of the store.
func Open(cfg Config) (*Replica, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	seed := cfg.Seed
	if seed == 0 {
		seed = newIncarnation()
	}
	initial, err := cfg.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, log: cfg.Log.WithValues("group", cfg.Group), rnd: rand.New(rand.NewPCG(seed, xxhash.Sum64String(cfg.Self))),
		inbox: make(chan inbound, inboxSize), proposals: make(chan *proposal), reads: make(chan *read),
		transfers: make(chan chan struct{}), durables: make(chan *durableWait), stop: make(chan struct{}), done: make(chan struct{}),
		initial: initial, answers: map[string]answer{}, pending: map[uint64]*proposal{},
		rounds: map[uint64]*round{},
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	cfg.Dispatcher.add(r)
	go r.run()
	return r, nil
}

// open opens the store and starts the core from what it holds.
func (r *Replica) open() error {
	st, held, err := r.openStore()
	if err != nil {
		return err
	}
	if err = r.prepareMachine(held); err != nil {
		_ = st.close()
		return err
	}
	r.store = st
	r.id = held.id
	r.lostState = held.lost
	r.caughtUp = false
	r.counted = raft.Status{}
	r.node = raft.New(raft.Config{
		ID: held.id, Disk: r.cfg.DataFolder != "",
		ElectionTicks: r.cfg.ElectionTicks, HeartbeatTicks: r.cfg.HeartbeatTicks, Random: r.rnd.IntN,
		HardState: held.hard, Snapshot: held.snapshot, Entries: held.entries, Applied: r.applied,
	})
	r.log.Info("member started", "member", r.id.String(), "last", r.node.Status().Last, "applied", r.applied)
	return nil
}

// prepareMachine brings the state machine to what the log can go on from. After
// a failed store it is ahead of the snapshot and stays as it is, so that readers
// never see an older state.
func (r *Replica) prepareMachine(held *stored) error {
	last := held.snapshot.Index + uint64(len(held.entries))
	if r.id == held.id && r.applied >= held.snapshot.Index && r.applied <= last {
		return nil
	}
	fresh := r.id == raft.ID{}
	r.applied = held.snapshot.Index
	if len(held.snapshot.Data) > 0 {
		return r.cfg.Machine.Restore(held.snapshot.Data)
	}
	if fresh {
		return nil
	}
	return r.cfg.Machine.Restore(r.initial)
}

// Stop implements Group.
func (r *Replica) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
}

func (r *Replica) run() {
	defer close(r.done)
	defer r.shutdown()
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.tick()
		case in := <-r.inbox:
			r.handle(in)
		case p := <-r.proposals:
			r.propose(p)
		case rd := <-r.reads:
			r.startReads(rd)
		case ch := <-r.transfers:
			r.transfer(ch)
		case w := <-r.durables:
			r.startDurable(w)
		}
		r.drain()
		r.pump()
		r.publish()
	}
}

// drain handles the messages that wait already, so that one sync of the store
// serves all of them.
func (r *Replica) drain() {
	for range maxBatch {
		select {
		case in := <-r.inbox:
			r.handle(in)
		case p := <-r.proposals:
			r.propose(p)
		default:
			return
		}
	}
}

func (r *Replica) handle(in inbound) {
	if r.node == nil {
		return
	}
	if in.frame.Form != nil {
		r.onForm(in.from, in.frame)
		return
	}
	m := in.frame.Msg
	if m == nil {
		return
	}
	if m.Kind == raft.MsgJoin && !r.cfg.Open && m.Disk != r.cfg.spec(in.from).Disk {
		r.log.Info("instance may not join: its disk differs from the settings", "instance", in.from)
		return
	}
	r.node.Step(*m)
}

func (r *Replica) tick() {
	r.ticks++
	if r.node == nil {
		r.reopen()
		return
	}
	r.tickForm()
	r.node.Tick()
	r.tickJoin()
	if r.cfg.Open && r.ticks%joinTicks == 0 {
		r.removeSilent(surplusElections, keepVoters)
	}
	r.tickReads()
}

// pump does what the core asks for until it asks for nothing.
func (r *Replica) pump() {
	if r.node == nil {
		return
	}
	r.admit()
	for r.node.HasReady() {
		rd := r.node.Ready()
		r.sendAll(rd.Before)
		if rd.MustSync {
			if err := r.store.save(&rd); err != nil {
				r.storeFailed(err)
				return
			}
		}
		r.sendAll(rd.After)
		if !r.applyAll(&rd) {
			return
		}
		r.node.Advance()
		r.applied = r.node.Status().Applied
		r.finishReads(rd.Reads)
	}
	r.compact()
}

// storeFailed stops the member: it acknowledges nothing more. A leader asks
// another voter to take over, which states nothing about the store.
func (r *Replica) storeFailed(err error) {
	r.log.Error(err, "store failed; the member stops until it can be opened again", "member", r.id.String())
	telemetry.Count(r.metric("store_failures"))
	if to := r.node.MostComplete(); !to.IsZero() {
		m := &raft.Message{Kind: raft.MsgTimeoutNow, Term: r.node.Status().Term}
		r.send(to.Instance, &frame{To: to.Incarnation, Msg: m})
	}
	_ = r.store.close()
	r.node = nil
	r.reopenAt = r.ticks + reopenTicks
	r.failAll(err)
}

func (r *Replica) reopen() {
	if r.ticks < r.reopenAt {
		return
	}
	if err := r.open(); err != nil {
		r.log.Error(err, "store cannot be opened")
		r.reopenAt = r.ticks + reopenTicks
	}
}

// compact replaces the log by a snapshot when it has grown.
func (r *Replica) compact() {
	st := r.node.Status()
	if st.Applied-st.Compacted < r.cfg.SnapshotEntries {
		return
	}
	data, err := r.cfg.Machine.Snapshot()
	if err != nil {
		r.log.Error(err, "snapshot of the state machine failed")
		return
	}
	snap := r.node.Compact(st.Applied, data, keptEntries)
	if err := r.store.compact(snap); err != nil {
		r.storeFailed(err)
	}
}

// shutdown ends what waits.
func (r *Replica) shutdown() {
	r.cfg.Dispatcher.remove(r)
	r.failAll(&StoppedError{Group: r.cfg.Group})
	r.finishDurable(nil)
	if r.node != nil {
		_ = r.store.close()
	}
}

// Status implements Group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// publish makes the current state visible to Status and counts what changed.
func (r *Replica) publish() {
	st := Status{}
	if r.node != nil {
		n := r.node.Status()
		r.finishDurable(&n)
		st = r.view(n)
	} else {
		r.finishDurable(nil)
	}
	r.mu.Lock()
	r.status = st
	r.mu.Unlock()
	r.finishTransfers(st.Leader != r.cfg.Self)
}

func (r *Replica) view(n raft.Status) Status {
	r.count(n)
	out := Status{
		Leader: n.Leader.Instance, Leads: n.ReadyToLead, Term: n.Term, Applied: n.Applied,
		Ready: r.caughtUp && n.Voter, Durable: r.keepsUp(&n, time.Now()),
	}
	for _, v := range n.Membership.Voters {
		out.Members = append(out.Members, Member{
			Instance: v.ID.Instance, Incarnation: v.ID.Incarnation, Voter: true, Disk: v.Disk,
		})
	}
	for _, l := range n.Learners {
		id := l.Member.ID
		out.Members = append(out.Members, Member{Instance: id.Instance, Incarnation: id.Incarnation, Disk: l.Member.Disk})
	}
	return out
}

// count logs and counts elections and changes of the leader.
func (r *Replica) count(n raft.Status) {
	was := r.counted
	r.counted = n
	if n.Elections > was.Elections {
		telemetry.Count(r.metric("elections"))
	}
	if n.Recoveries > was.Recoveries {
		telemetry.Count(r.metric("recoveries"))
		r.log.Info("recovery election won", "term", n.Term, "last", n.Last)
	}
	if n.Leader != was.Leader || n.Term != was.Term {
		r.log.V(1).Info("leader changed", "leader", n.Leader.Instance, "term", n.Term)
	}
	if was.Leads && !n.Leads {
		telemetry.Count(r.metric("leaderships_lost"))
	}
	if n.Leads && !was.Leads {
		telemetry.Count(r.metric("leaderships"))
	}
}
