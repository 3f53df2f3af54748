package raft

import "fmt"

// entryOverhead approximates the encoded size of an entry without its data.
const entryOverhead = 24

// Defaults of Config.
const (
	defaultMaxInflight  = 16
	defaultMaxBytes     = 256 << 10 // of one append message or snapshot chunk
	defaultElection     = 10
	defaultHeartbeat    = 3
	learnerExpiryFactor = 20 // learner is dropped after this many silent election timeouts
	// learnerPatience is the number of election timeouts after which a learner
	// stands for election. It may hold the only copy of entries that make its log
	// newer than those of the voters, and then no voter can win. It counts the
	// votes of the voters only, and leaves the lead to them once they have its log.
	learnerPatience = 3
	// maxUncommitted bounds the log while a quorum is lost, for instance because
	// the only voter with a disk is down.
	maxUncommitted = 4096
)

// Config sets up a Node.
type Config struct {
	ID   ID
	Disk bool
	// ElectionTicks is the time for which a member trusts a leader that it has
	// heard. An election begins after a time drawn from the ElectionTicks numbers
	// above it, so that the others no longer trust that leader either.
	ElectionTicks  int
	HeartbeatTicks int
	// Random returns a number in [0, n).
	Random func(n int) int
	// MaxInflight bounds the unacknowledged append messages to one member.
	MaxInflight int
	// MaxBytes bounds the data in one append message.
	MaxBytes int

	// The stored state; all empty for a member that holds none.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Applied is the index up to which the state machine has applied already; it
	// may be beyond the snapshot.
	Applied uint64
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	recoverer // candidate in a recovery election
	leader
)

// Node is one member. It is used by one goroutine.
type Node struct {
	cfg Config
	id  ID
	log *memLog

	term    uint64
	vote    ID
	commit  uint64
	decided uint64 // see HardState
	applied uint64 // handed out as committed
	saved   HardState

	role    role
	leader  ID
	elapsed int // ticks since the leader was heard, or since the election began
	timeout int // elapsed at which an election begins
	// leaderless counts the election timeouts since a leader was heard.
	leaderless int

	votes      map[ID]bool
	superseded map[string]ID // live incarnations that answered for a dead voter
	rec        recovery

	// Of a leader.
	peers          map[ID]*progress // voters and learners without this member
	durable        uint64           // see maybeCommit
	quorum         uint64           // last index of the own term that a majority of the voters holds
	sinceBeat      int
	sinceCheck     int
	seq            uint64 // last heartbeat number
	pendingReads   []pendingRead
	transferee     ID
	sinceTransfer  int
	incoming       incoming // snapshot being received
	readStates     []ReadState
	before         []Message
	after          []Message
	electionsBegun uint64
}

// ReadState answers ReadIndex: once Index is applied, the state machine holds
// everything that was committed when the read was asked for.
type ReadState struct {
	Seq   uint64
	Index uint64
}

// Ready is what the caller must do, in this order: send Before; store Snapshot,
// HardState and Entries, and sync them if MustSync; send After; apply Snapshot
// and Committed; call Advance. If the store fails, After must not be sent and
// the node must not be used again.
type Ready struct {
	Before    []Message
	Snapshot  *Snapshot
	HardState HardState
	// Entries replace those stored from Entries[0].Index on.
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
		cfg.ElectionTicks = defaultElection
	}
	if cfg.HeartbeatTicks == 0 {
		cfg.HeartbeatTicks = defaultHeartbeat
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
		n.fail("commit %d is beyond the last entry %d", n.commit, n.log.last())
	}
	n.saved = n.hardState()
	n.cfg.Snapshot = Snapshot{}
	n.cfg.Entries = nil
	n.resetTimeout()
	return n
}

// Bootstrap gives a member that holds nothing the first membership of its group.
func (n *Node) Bootstrap(m Membership, term uint64) {
	if n.log.last() != 0 {
		n.fail("bootstrap of a member that holds state")
	}
	n.log.restore(First(m, term))
	n.term = max(n.term, term)
	n.commit = 1
	n.decided = 1
	n.resetTimeout()
}

func (n *Node) fail(format string, args ...any) {
	panic(&InvariantError{Member: n.id, Detail: fmt.Sprintf(format, args...)})
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.commit, Decided: n.decided}
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + 1 + n.cfg.Random(n.cfg.ElectionTicks)
}

// config returns the membership in force.
func (n *Node) config() config {
	all := n.log.configs
	if len(all) == 0 {
		return config{cur: &Membership{}}
	}
	last := all[len(all)-1]
	if len(all) > 1 && last.index > n.decided && last.kind == EntryMembership {
		return config{old: all[len(all)-2].m, cur: last.m}
	}
	return config{cur: last.m}
}

// pendingChange returns the index of the undecided membership entry, or 0.
func (n *Node) pendingChange() uint64 {
	all := n.log.configs
	if len(all) > 1 && all[len(all)-1].index > n.decided {
		return all[len(all)-1].index
	}
	return 0
}

// Tick advances the time by one tick.
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
	n.leaderless++
	if !n.log.holdsState() || !n.config().has(n.id) && n.leaderless <= learnerPatience {
		n.resetTimeout()
		return
	}
	n.electionTimeout()
}

// HasReady reports whether Ready would return anything.
func (n *Node) HasReady() bool {
	hs := n.hardState()
	hs.Commit = n.saved.Commit
	return len(n.before) > 0 || len(n.after) > 0 || len(n.readStates) > 0 || n.log.newSnap != nil ||
		n.log.stored < n.log.last() || n.applied < n.commit || hs != n.saved
}

// Ready returns what is to be done. No other method may be called until Advance.
func (n *Node) Ready() Ready {
	rd := Ready{
		Before: n.before, After: n.after, Reads: n.readStates,
		Snapshot: n.log.newSnap, HardState: n.hardState(),
	}
	if n.log.stored < n.log.last() {
		all := n.log.entries[n.log.stored-n.log.baseIndex:]
		rd.Entries = all[:len(all):len(all)]
	}
	from := n.applied
	if rd.Snapshot != nil {
		from = max(from, rd.Snapshot.Index)
	}
	if from < n.commit {
		rd.Committed = n.log.entries[from-n.log.baseIndex : n.commit-n.log.baseIndex]
	}
	hs := rd.HardState
	if hs.Term != n.saved.Term || hs.Vote != n.saved.Vote {
		// A member that wins at once, as the only voter, leads a term that is
		// not stored yet. After a crash it could lead the same term again.
		rd.After = append(rd.Before, rd.After...)
		rd.Before = nil
	}
	hs.Commit = n.saved.Commit
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0 || hs != n.saved
	return rd
}

// Advance says that everything in the last Ready is done.
func (n *Node) Advance() {
	n.before = nil
	n.after = nil
	n.readStates = nil
	n.log.newSnap = nil
	n.log.stored = n.log.last()
	n.applied = n.commit
	n.saved = n.hardState()
	if n.role == leader {
		n.maybeCommit()
	}
}

// Compact records a snapshot of the state machine at an applied index and drops
// older entries but for the last keep.
func (n *Node) Compact(index uint64, data []byte, keep uint64) Snapshot {
	snap := Snapshot{Index: index, Term: n.log.term(index), Membership: n.log.membershipAt(index), Data: data}
	if index > n.applied || snap.Term == 0 {
		n.fail("snapshot at %d, applied %d", index, n.applied)
	}
	from := uint64(0)
	if index > keep {
		from = index - keep
	}
	n.log.compact(snap, from)
	return snap
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	if m.afterStore() {
		n.after = append(n.after, m)
		return
	}
	n.before = append(n.before, m)
}

// Status is a member's own view.
type Status struct {
	Term       uint64
	Leader     ID
	Leads      bool
	Commit     uint64
	Durable    uint64 // known to the leader only; see maybeCommit
	Applied    uint64
	Last       uint64
	Compacted  uint64 // index of the last snapshot
	Membership Membership
	Voter      bool
	// ReadyToLead is set if this member leads and has committed an entry of its
	// own term.
	ReadyToLead bool
	Learners    []Learner // known to the leader only
	Elections   uint64    // begun by this member
	Recoveries  uint64    // won by this member
}

// Learner is a member that has asked to join.
type Learner struct {
	Member   Member
	CaughtUp bool
}

// Learners returns the learners that this member knows of as leader.
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

// HoldsState reports whether this member has a log.
func (n *Node) HoldsState() bool { return n.log.holdsState() }

// Status returns the member's state.
func (n *Node) Status() Status {
	cfg := n.config()
	st := Status{
		Term: n.term, Leader: n.leader, Leads: n.role == leader, Commit: n.commit, Applied: n.applied,
		Last: n.log.last(), Compacted: n.log.snap.Index, Membership: *cfg.cur, Voter: cfg.cur.Has(n.id),
		ReadyToLead: n.role == leader && n.log.term(n.commit) == n.term,
		Elections:   n.electionsBegun, Recoveries: n.rec.won,
	}
	if n.role == leader {
		st.Durable = n.durable
	}
	st.Learners = n.Learners()
	return st
}
