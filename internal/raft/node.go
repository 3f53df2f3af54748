package raft

import "fmt"

// entryOverhead approximates the encoded size of an entry without its data, in
// bytes.
const entryOverhead = 24

// Defaults of Config, and fixed limits.
const (
	defaultMaxInflight    = 16
	defaultMaxBytes       = 256 << 10 // per append message or snapshot chunk
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 3
	// learnerExpiryChecks is the number of consecutive quorum checks without a
	// message up to which a learner is kept.
	learnerExpiryChecks = 20
	// learnerCampaignTimeouts is the number of election timeouts without a leader
	// after which a learner campaigns. It may hold the only copy of entries that
	// make its log newer than those of the voters, and then no voter can win. It
	// counts the votes of the voters only, and steps down once they have its log.
	learnerCampaignTimeouts = 3
	// commitStallTimeouts is the number of election timeouts after which a leader that
	// commits nothing steps down. Its replication may be stuck in a way that a new leader,
	// which knows nothing of what was sent, cures. A slow disk commits earlier.
	commitStallTimeouts = 5
	// maxUncommitted is the number of uncommitted entries from which proposals are
	// refused. It bounds the log while a quorum is lost, for instance because the
	// only voter with a disk is down.
	maxUncommitted = 4096
)

// Config sets up a Node.
type Config struct {
	ID   ID
	Disk bool
	// ElectionTicks is the number of ticks after a message of the leader during
	// which a member considers it alive. The election timeout is drawn from the
	// ElectionTicks numbers above it, so that by then the other members do not
	// consider that leader alive either.
	ElectionTicks  int
	HeartbeatTicks int // interval between heartbeats
	// Random returns a number in [0, n).
	Random func(n int) int
	// MaxInflight bounds the unacknowledged append messages to one member.
	MaxInflight int
	// MaxBytes bounds the data in one append message or snapshot chunk.
	MaxBytes int

	// The stored state; all empty for a member that holds none.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Applied is the index up to which the state machine has already applied the
	// log; it may be beyond the snapshot.
	Applied uint64
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	recoveryCandidate // candidate in a recovery election
	leader
)

// Node is one member. It is not safe for concurrent use.
type Node struct {
	cfg Config
	id  ID
	log *memLog

	term       uint64
	vote       ID
	commit     uint64
	decided    uint64    // see HardState
	applied    uint64    // last index that the caller has applied
	savedState HardState // hard state at the last Advance

	role    role
	leader  ID
	elapsed int // ticks since the last message of the leader, or since the election began
	timeout int // value of elapsed at which an election begins
	// leaderlessTimeouts counts the election timeouts since the last message of a
	// leader.
	leaderlessTimeouts int
	startupTimeouts    int // short timeouts that are left, see useStartupTimeout

	votes      map[ID]bool
	superseded map[string]ID // live incarnation by instance, for voters known to be dead
	recovery   recoveryState

	// State of a leader.
	peers            map[ID]*progress // voters and learners except this member
	durable          uint64           // see maybeCommit
	quorumIndex      uint64           // last index of the leader's own term that a quorum of the voters holds
	commitAtTick     uint64           // commit index at the last tick
	sinceCommit      int              // ticks since the commit index last moved, while entries wait
	resends          uint64           // times that messages to a member were taken for lost
	sinceHeartbeat   int
	sinceQuorumCheck int
	heartbeatSeq     uint64 // last heartbeat number
	pendingReads     []pendingRead
	transferee       ID
	sinceTransfer    int

	incomingSnapshot incomingSnapshot // snapshot being received
	readStates       []ReadState
	beforeStore      []Message
	afterStore       []Message
	electionsBegun   uint64
}

// ReadState is the result of ReadIndex: once Index is applied, the state machine
// reflects everything that was committed when the read was requested.
type ReadState struct {
	Seq   uint64
	Index uint64
}

// Ready holds the pending work of a node. The caller must, in this order: send
// Before; store Snapshot, HardState and Entries, and sync them if MustSync; send
// After; apply Snapshot and Committed; call Advance. If storing fails, After must
// not be sent and the node must not be used again.
type Ready struct {
	Before    []Message
	Snapshot  *Snapshot
	HardState HardState
	// Entries replace all stored entries from Entries[0].Index on.
	Entries  []Entry
	MustSync bool
	After    []Message
	// Committed are the next entries for the state machine.
	Committed []Entry
	Reads     []ReadState
}

// New returns a member with the stored state in cfg.
func New(cfg Config) *Node {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = defaultElectionTicks
	}
	if cfg.HeartbeatTicks == 0 {
		cfg.HeartbeatTicks = defaultHeartbeatTicks
	}
	if cfg.MaxInflight == 0 {
		cfg.MaxInflight = defaultMaxInflight
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	hs := cfg.HardState
	applied := max(cfg.Applied, cfg.Snapshot.Index)
	n := &Node{
		cfg: cfg, id: cfg.ID,
		log:  newLog(cfg.Snapshot, cfg.Entries),
		term: max(hs.Term, cfg.Snapshot.Term), vote: hs.Vote,
		commit: max(hs.Commit, applied), decided: max(hs.Decided, cfg.Snapshot.Index),
		applied:    applied,
		superseded: map[string]ID{},
	}
	if n.commit > n.log.last() {
		n.panicf("commit %d is beyond the last entry %d", n.commit, n.log.last())
	}
	n.savedState = n.hardState()
	n.cfg.Snapshot = Snapshot{}
	n.cfg.Entries = nil
	n.resetTimeout()
	if n.activeMembership().hasVoter(n.id) {
		n.startupTimeouts = maxStartupTimeouts
		n.useStartupTimeout()
	}
	return n
}

// Bootstrap initializes a member without state with the first membership and the
// first term of a new group.
func (n *Node) Bootstrap(m Membership, term uint64) {
	if n.log.last() != 0 {
		n.panicf("bootstrap of a member that holds state")
	}
	n.log.restore(FirstSnapshot(m, term))
	n.term = max(n.term, term)
	n.commit = 1
	n.decided = 1
	n.resetTimeout()
}

// panicf panics with an *InvariantError.
func (n *Node) panicf(format string, args ...any) {
	panic(&InvariantError{Member: n.id, Detail: fmt.Sprintf(format, args...)})
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.commit, Decided: n.decided}
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + 1 + n.cfg.Random(n.cfg.ElectionTicks)
}

// maxStartupTimeouts bounds the short timeouts after a start.
const maxStartupTimeouts = 4

// useStartupTimeout shortens the timeout after a start until a leader is known. If all members
// were restarted, none of them leads, and waiting for a leader's message only prolongs the
// outage. Otherwise nothing is lost: pre-votes do not disturb a live leader.
func (n *Node) useStartupTimeout() {
	if n.startupTimeouts > 0 {
		n.startupTimeouts--
		n.timeout = n.cfg.ElectionTicks/6 + 1 + n.cfg.Random(n.cfg.ElectionTicks/3)
	}
}

// activeMembership returns the membership in force.
func (n *Node) activeMembership() activeMembership {
	all := n.log.memberships
	if len(all) == 0 {
		return activeMembership{current: &Membership{}}
	}
	last := all[len(all)-1]
	if len(all) > 1 && last.index > n.decided && last.kind == EntryMembership {
		return activeMembership{previous: all[len(all)-2].membership, current: last.membership}
	}
	return activeMembership{current: last.membership}
}

// pendingChange returns the index of the undecided membership entry, or 0.
func (n *Node) pendingChange() uint64 {
	all := n.log.memberships
	if len(all) > 1 && all[len(all)-1].index > n.decided {
		return all[len(all)-1].index
	}
	return 0
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	if n.role == leader {
		n.tickLeader()
		return
	}
	n.elapsed++
	if n.elapsed < n.timeout {
		return
	}
	n.leader = ID{}
	n.leaderlessTimeouts++
	if !n.log.holdsState() || !n.activeMembership().hasVoter(n.id) && n.leaderlessTimeouts <= learnerCampaignTimeouts {
		n.resetTimeout()
		return
	}
	n.onElectionTimeout()
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	hs := n.hardState()
	hs.Commit = n.savedState.Commit
	return len(n.beforeStore) > 0 || len(n.afterStore) > 0 || len(n.readStates) > 0 || n.log.unstoredSnap != nil ||
		n.log.stored < n.log.last() || n.applied < n.commit || hs != n.savedState
}

// Ready returns the pending work. No other method may be called until Advance.
func (n *Node) Ready() Ready {
	rd := Ready{
		Before: n.beforeStore, After: n.afterStore, Reads: n.readStates,
		Snapshot: n.log.unstoredSnap, HardState: n.hardState(),
	}
	if n.log.stored < n.log.last() {
		unstored := n.log.entries[n.log.stored-n.log.baseIndex:]
		rd.Entries = unstored[:len(unstored):len(unstored)]
	}
	from := n.applied
	if rd.Snapshot != nil {
		from = max(from, rd.Snapshot.Index)
	}
	if from < n.commit {
		rd.Committed = n.log.entries[from-n.log.baseIndex : n.commit-n.log.baseIndex]
	}
	hs := rd.HardState
	if hs.Term != n.savedState.Term || hs.Vote != n.savedState.Vote {
		// A sole voter wins its election at once and leads a term that is not
		// stored yet. If it sent messages before storing it, it could lead the
		// same term again after a crash.
		rd.After = append(rd.Before, rd.After...)
		rd.Before = nil
	}
	hs.Commit = n.savedState.Commit
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0 || hs != n.savedState
	return rd
}

// Advance tells the node that everything in the last Ready is done.
func (n *Node) Advance() {
	n.beforeStore = nil
	n.afterStore = nil
	n.readStates = nil
	n.log.unstoredSnap = nil
	n.log.stored = n.log.last()
	n.applied = n.commit
	n.savedState = n.hardState()
	if n.role == leader {
		n.maybeCommit()
	}
}

// Compact records a snapshot of the state machine at an applied index and drops
// the entries it covers except for the last keep.
func (n *Node) Compact(index uint64, data []byte, keep uint64, keepBytes int) Snapshot {
	snap := Snapshot{Index: index, Term: n.log.term(index), Membership: n.log.membershipAt(index), Data: data}
	if index > n.applied || snap.Term == 0 {
		n.panicf("snapshot at %d, applied %d", index, n.applied)
	}
	from := uint64(0)
	if index > keep {
		from = index - keep
	}
	from = n.log.firstWithin(max(from, n.log.baseIndex), index, keepBytes)
	n.log.compact(snap, from)
	return snap
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	if m.requiresStore() {
		n.afterStore = append(n.afterStore, m)
		return
	}
	n.beforeStore = append(n.beforeStore, m)
}

// Status is a member's own view of its state and of the group.
type Status struct {
	Term          uint64
	Leader        ID
	Leads         bool
	Commit        uint64
	Durable       uint64 // known to the leader only; see maybeCommit
	Applied       uint64
	LastIndex     uint64 // index of the last entry
	SnapshotIndex uint64 // index of the last snapshot
	Membership    Membership
	Voter         bool
	// ReadyToLead is set if this member leads and has committed an entry of its
	// own term.
	ReadyToLead bool
	Learners    []Learner // known to the leader only
	Resends     uint64    // times that this member took messages to another one for lost
	Elections   uint64    // elections begun by this member
	Recoveries  uint64    // recovery elections won by this member
}

// Learner is a member that has asked to join and receives the log.
type Learner struct {
	Member   Member
	CaughtUp bool
}

// MemberProgress is the replication to another member.
type MemberProgress struct {
	Member            ID
	Lag               uint64 // entries that the member is not known to have stored
	Inflight          int    // unacknowledged append messages
	SnapshotBytesLeft uint64 // of the snapshot that is being sent; 0 if there is none
}

// Progress returns the replication to each other member; none if this member is not the
// leader.
func (n *Node) Progress() []MemberProgress {
	if n.role != leader {
		return nil
	}
	var out []MemberProgress
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		m := MemberProgress{Member: id, Lag: n.log.last() - p.match, Inflight: p.inflight}
		if p.snap != nil {
			m.SnapshotBytesLeft = uint64(len(p.snap.Data)) - p.offset
		}
		out = append(out, m)
	}
	return out
}

// Learners returns the learners that this member knows as the leader; none if it
// is not the leader.
func (n *Node) Learners() []Learner {
	var out []Learner
	if n.role != leader {
		return nil
	}
	for _, id := range n.peerIDs() {
		if p := n.peers[id]; p.learner {
			out = append(out, Learner{Member: Member{ID: id, Disk: p.disk}, CaughtUp: n.caughtUp(p)})
		}
	}
	return out
}

// HoldsState reports whether this member has a log or a snapshot.
func (n *Node) HoldsState() bool { return n.log.holdsState() }

// Status returns the member's state.
func (n *Node) Status() Status {
	active := n.activeMembership()
	st := Status{
		Term: n.term, Leader: n.leader, Leads: n.role == leader, Commit: n.commit, Applied: n.applied,
		LastIndex: n.log.last(), SnapshotIndex: n.log.snap.Index, Membership: *active.current, Voter: active.current.Has(n.id),
		ReadyToLead: n.role == leader && n.log.term(n.commit) == n.term,
		Elections:   n.electionsBegun, Recoveries: n.recovery.wins, Resends: n.resends,
	}
	if n.role == leader {
		st.Durable = n.durable
	}
	st.Learners = n.Learners()
	return st
}
