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
	maxBatch  = 512 // queued events handled before one sync of the store
	// reopenTicks is the time from a failure of the store to the next attempt to
	// open it.
	reopenTicks = 30
)

// inboundMessage is a message received from another instance.
type inboundMessage struct {
	from  string
	frame *frame
}

// Replica is one member of a replicated group. One goroutine owns the core, the
// store and the state machine.
type Replica struct {
	cfg Config
	log logr.Logger
	rnd *rand.Rand

	// Messages and calls that wait for the goroutine of run.
	inbox           chan inboundMessage
	proposals       chan *proposal
	reads           chan *pendingRead
	transfers       chan chan struct{}
	durableRequests chan *durableWait
	stop            chan struct{}
	stopOnce        sync.Once
	done            chan struct{}

	// The fields below are owned by the goroutine of run.
	id                raft.ID
	node              *raft.Node // nil from a failure of the store until it is reopened
	store             store
	stateLost         bool
	emptySnapshot     []byte // of the state machine before the first entry
	applied           uint64 // index of the last entry applied to the state machine
	ticks             uint64
	reopenAt          uint64
	logBytes          int // stored since the last snapshot
	snapshotBytes     int // size of the last snapshot
	formReplies       map[string]formReply
	pending           map[uint64]*proposal // by log index
	lastReadSeq       uint64
	readRounds        map[uint64]*readRound
	waitingReads      []*pendingRead  // served by the round after the unanswered one
	appendedAt        []appendTime    // of the entries proposed here that are not applied, oldest first
	pendingTransfers  []chan struct{} // closed once this member does not lead
	durableWaits      []*durableWait
	durableCaughtUpAt time.Time // when the durable index last reached the commit index
	caughtUp          bool
	catchUpRead       *pendingRead // completes once the member has caught up after its start
	lastRaftStatus    raft.Status
	gauges            *gauges

	mu     sync.Mutex // guards status
	status Status
}

var _ Group = (*Replica)(nil)

// Open starts a member. It returns *ConfigError, or an error of the store or the
// state machine.
func Open(cfg Config) (*Replica, error) {
	if err := cfg.setDefaultsAndValidate(); err != nil {
		return nil, err
	}
	seed := cfg.Seed
	if seed == 0 {
		seed = newIncarnation()
	}
	emptySnapshot, err := cfg.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, log: cfg.Log.WithValues("group", cfg.Group), rnd: rand.New(rand.NewPCG(seed, xxhash.Sum64String(cfg.Self))),
		inbox: make(chan inboundMessage, inboxSize), proposals: make(chan *proposal), reads: make(chan *pendingRead),
		transfers: make(chan chan struct{}), durableRequests: make(chan *durableWait), stop: make(chan struct{}), done: make(chan struct{}),
		emptySnapshot: emptySnapshot, formReplies: map[string]formReply{}, pending: map[uint64]*proposal{},
		readRounds: map[uint64]*readRound{},
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.gauges = newGauges(cfg.Group)
	cfg.Dispatcher.add(r)
	go r.run()
	return r, nil
}

// open opens the store and starts the core with the stored state.
func (r *Replica) open() error {
	st, loaded, err := r.openStore()
	if err != nil {
		return err
	}
	if err = r.prepareMachine(loaded); err != nil {
		_ = st.close()
		return err
	}
	r.store = st
	r.id = loaded.id
	r.stateLost = loaded.stateLost
	r.caughtUp = false
	r.lastRaftStatus = raft.Status{}
	r.countLogBytes(&raft.Ready{Snapshot: &loaded.snapshot, Entries: loaded.entries})
	r.node = raft.New(raft.Config{
		ID: loaded.id, Disk: r.cfg.DataFolder != "",
		ElectionTicks: r.cfg.ElectionTicks, HeartbeatTicks: r.cfg.HeartbeatTicks, Random: r.rnd.IntN,
		HardState: loaded.hard, Snapshot: loaded.snapshot, Entries: loaded.entries, Applied: r.applied,
	})
	r.log.Info("member started", "member", r.id.String(), "last", r.node.Status().LastIndex, "applied", r.applied)
	return nil
}

// prepareMachine brings the state machine to a state that the stored log can
// continue from. After a failure of the store the state machine is already ahead
// of the stored snapshot and is left as it is, so that readers never see an older
// state.
func (r *Replica) prepareMachine(loaded *storedState) error {
	last := loaded.snapshot.Index + uint64(len(loaded.entries))
	if r.id == loaded.id && r.applied >= loaded.snapshot.Index && r.applied <= last {
		return nil
	}
	fresh := r.id == raft.ID{}
	r.applied = loaded.snapshot.Index
	if len(loaded.snapshot.Data) > 0 {
		return r.cfg.Machine.Restore(loaded.snapshot.Data)
	}
	if fresh {
		return nil
	}
	return r.cfg.Machine.Restore(r.emptySnapshot)
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
			r.handleTick()
		case in := <-r.inbox:
			r.handleMessage(in)
		case p := <-r.proposals:
			r.propose(p)
		case rd := <-r.reads:
			r.queueReads(rd)
		case ch := <-r.transfers:
			r.transfer(ch)
		case w := <-r.durableRequests:
			r.startDurableWait(w)
		}
		r.handleQueued()
		r.processReady()
		r.publishStatus()
	}
}

// handleQueued handles messages and proposals that are already queued, so that
// one sync of the store covers all of them.
func (r *Replica) handleQueued() {
	for range maxBatch {
		select {
		case in := <-r.inbox:
			r.handleMessage(in)
		case p := <-r.proposals:
			r.propose(p)
		default:
			return
		}
	}
}

func (r *Replica) handleMessage(in inboundMessage) {
	if r.node == nil {
		return
	}
	if in.frame.Form != nil {
		r.handleForm(in.from, in.frame)
		return
	}
	m := in.frame.Msg
	if m == nil {
		return
	}
	if m.Kind == raft.MsgJoin && !r.cfg.OpenMembership && m.Disk != r.cfg.instanceSpec(in.from).Disk {
		r.log.Info("join rejected: the disk of the instance does not match the settings", "instance", in.from)
		return
	}
	r.node.Step(*m)
}

func (r *Replica) handleTick() {
	r.ticks++
	if r.node == nil {
		r.reopen()
		return
	}
	r.tickForm()
	r.node.Tick()
	r.tickJoin()
	r.tickReads()
	r.updateGauges()
}

func (r *Replica) updateGauges() {
	st := r.node.Status()
	waited := 0.0
	if st.Leads {
		waited = (time.Duration(r.oldestWaitTicks()) * r.cfg.TickInterval).Seconds()
	}
	r.gauges.update(&st, r.node.Progress(), waited)
}

// processReady stores, sends and applies what the core hands out until nothing is
// left.
func (r *Replica) processReady() {
	if r.node == nil {
		return
	}
	r.changeMembership()
	for r.node.HasReady() {
		rd := r.node.Ready()
		r.sendMessages(rd.Before)
		if rd.MustSync {
			if err := r.store.save(&rd); err != nil {
				r.storeFailed(err)
				return
			}
			r.countLogBytes(&rd)
		}
		r.sendMessages(rd.After)
		if !r.applyReady(&rd) {
			return
		}
		r.node.Advance()
		r.applied = r.node.Status().Applied
		r.finishReads(rd.Reads)
	}
	r.compact()
}

// storeFailed stops the member after a failure of the store or the state machine,
// so that it acknowledges nothing that is not stored. A leader first asks another
// voter to take over; that message does not depend on the store.
func (r *Replica) storeFailed(err error) {
	r.log.Error(err, "store failed; the member stops until the store can be opened again", "member", r.id.String())
	telemetry.Count(r.metricName("store_failures"))
	if to := r.node.MostCompleteVoter(); !to.IsZero() {
		m := &raft.Message{Kind: raft.MsgTimeoutNow, Term: r.node.Status().Term}
		r.send(to.Instance, &frame{To: to.Incarnation, Msg: m})
	}
	_ = r.store.close()
	r.node = nil
	r.reopenAt = r.ticks + reopenTicks
	r.failPending(err)
}

// reopen tries to open the store again once reopenTicks have passed.
func (r *Replica) reopen() {
	if r.ticks < r.reopenAt {
		return
	}
	if err := r.open(); err != nil {
		r.log.Error(err, "store cannot be opened")
		r.reopenAt = r.ticks + reopenTicks
	}
}

// compact takes a snapshot and drops the entries that it covers, but for the last
// retainedEntries, once SnapshotEntries entries were applied or SnapshotBytes were stored
// since the last snapshot. Without the latter, some hundred changes of a large configuration
// fill the disks before the first snapshot.
func (r *Replica) compact() {
	st := r.node.Status()
	grown := r.logBytes >= max(r.cfg.SnapshotBytes, r.snapshotBytes) && st.Applied > st.SnapshotIndex
	if st.Applied-st.SnapshotIndex < r.cfg.SnapshotEntries && !grown {
		return
	}
	data, err := r.cfg.Machine.Snapshot()
	if err != nil {
		r.log.Error(err, "snapshot of the state machine failed")
		return
	}
	snap := r.node.Compact(st.Applied, data, retainedEntries, retainedBytes)
	r.logBytes, r.snapshotBytes = 0, len(data)
	telemetry.Count(r.metricName("snapshots"))
	if err := r.store.compact(snap); err != nil {
		r.storeFailed(err)
	}
}

// countLogBytes counts what was stored since the last snapshot.
func (r *Replica) countLogBytes(rd *raft.Ready) {
	if rd.Snapshot != nil {
		r.logBytes, r.snapshotBytes = 0, len(rd.Snapshot.Data)
	}
	for i := range rd.Entries {
		r.logBytes += len(rd.Entries[i].Data)
	}
}

// shutdown unregisters the member, fails all pending calls and closes the store.
func (r *Replica) shutdown() {
	r.cfg.Dispatcher.remove(r)
	r.gauges.close()
	r.failPending(&StoppedError{Group: r.cfg.Group})
	r.resolveDurableWaits(nil)
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

// publishStatus updates the result of Status, records what changed, and resolves
// the waits that depend on it.
func (r *Replica) publishStatus() {
	st := Status{}
	if r.node != nil {
		n := r.node.Status()
		r.resolveDurableWaits(&n)
		st = r.buildStatus(n)
	} else {
		r.resolveDurableWaits(nil)
	}
	r.mu.Lock()
	r.status = st
	r.mu.Unlock()
	r.finishTransfers(st.Leader != r.cfg.Self)
}

// buildStatus converts the status of the core.
func (r *Replica) buildStatus(n raft.Status) Status {
	r.recordStatusChanges(n)
	out := Status{
		Leader: n.Leader.Instance, Leads: n.ReadyToLead, Term: n.Term, Applied: n.Applied,
		Ready: r.caughtUp && n.Voter, Durable: r.diskVotersKeepUp(&n, time.Now()),
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

// recordStatusChanges logs and counts elections and leader changes since the last
// call.
func (r *Replica) recordStatusChanges(n raft.Status) {
	prev := r.lastRaftStatus
	r.lastRaftStatus = n
	if n.Elections > prev.Elections {
		telemetry.Count(r.metricName("elections"))
	}
	if n.Recoveries > prev.Recoveries {
		telemetry.Count(r.metricName("recoveries"))
		r.log.Info("recovery election won", "term", n.Term, "last", n.LastIndex)
	}
	if n.Leader != prev.Leader || n.Term != prev.Term {
		r.log.V(1).Info("leader changed", "leader", n.Leader.Instance, "term", n.Term)
	}
	if !n.Leads {
		r.appendedAt = nil
	}
	if prev.Leads && !n.Leads {
		telemetry.Count(r.metricName("leaderships_lost"))
	}
	if n.Leads && !prev.Leads {
		telemetry.Count(r.metricName("leaderships"))
	}
}
