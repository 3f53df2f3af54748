package raft

import (
	"cmp"
	"slices"
)

// progress is what a leader knows of another member.
type progress struct {
	learner bool
	disk    bool
	match   uint64 // last index known to be stored there
	next    uint64 // next index to send
	// probing: one message at a time until the point of agreement is known.
	probing  bool
	inflight int    // unacknowledged append messages
	marked   uint64 // match at the last heartbeat answer; finds lost messages

	snap   *Snapshot // being sent; nil otherwise
	offset uint64    // of the next chunk

	active  bool // heard since the last check
	silent  int  // checks without a message
	joinSeq uint64
	ackSeq  uint64 // highest heartbeat number answered
}

// syncPeers makes the progress of new voters and drops members that left.
func (n *Node) syncPeers() {
	cfg := n.config()
	for _, v := range cfg.voters() {
		if v.ID == n.id {
			continue
		}
		p := n.peers[v.ID]
		if p == nil {
			// Counted as heard, so that a new leader has one election timeout.
			p = &progress{next: n.log.last() + 1, probing: true, active: true}
			n.peers[v.ID] = p
		}
		p.learner = false
		p.disk = v.Disk
	}
	for id, p := range n.peers {
		if !p.learner && !cfg.has(id) {
			delete(n.peers, id)
		}
	}
}

// peerIDs returns the keys of peers in a fixed order, so that the core is
// deterministic.
func (n *Node) peerIDs() []ID {
	out := make([]ID, 0, len(n.peers))
	for id := range n.peers {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b ID) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.add(e)
	return e.Index
}

// Propose appends commands and returns the index of the first and their term.
// It returns *NotLeaderError or *BusyError if nothing was appended.
func (n *Node) Propose(data ...[]byte) (first, term uint64, err error) {
	if n.role != leader || !n.transferee.IsZero() {
		return 0, 0, &NotLeaderError{Leader: n.leader}
	}
	first = n.log.last() + 1
	if first-n.commit > maxUncommitted {
		return 0, 0, &BusyError{Uncommitted: first - 1 - n.commit}
	}
	for _, d := range data {
		n.appendEntry(Entry{Data: d})
	}
	n.broadcast()
	return first, n.term, nil
}

func (n *Node) broadcast() {
	for _, id := range n.peerIDs() {
		n.sendAppend(id, false)
	}
}

// sendAppend sends what a member lacks, as far as flow control allows. An empty
// message is sent only if it carries news of a commit.
func (n *Node) sendAppend(to ID, news bool) {
	p := n.peers[to]
	for p.snap == nil {
		if p.probing && p.inflight > 0 || p.inflight >= n.cfg.MaxInflight {
			return
		}
		if p.next <= n.log.baseIndex {
			n.startSnapshot(to, p)
			return
		}
		if p.next > n.log.last() && !news && !p.probing {
			return
		}
		n.sendEntries(to, p)
		news = false
	}
}

func (n *Node) sendEntries(to ID, p *progress) {
	prev := p.next - 1
	entries := n.log.slice(prev, n.cfg.MaxBytes)
	n.send(Message{
		Kind: MsgAppend, To: to, Index: prev, LogTerm: n.log.term(prev), Entries: entries,
		Commit: n.commit, Decided: n.decided,
	})
	if p.probing || len(entries) > 0 {
		p.inflight++
	}
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

func (n *Node) startSnapshot(to ID, p *progress) {
	snap := n.log.snap
	p.snap = &snap
	p.offset = 0
	p.inflight = 0
	n.sendChunk(to, p)
}

func (n *Node) sendChunk(to ID, p *progress) {
	total := uint64(len(p.snap.Data))
	end := min(p.offset+uint64(n.cfg.MaxBytes), total)
	m := Message{
		Kind: MsgSnapshot, To: to, Index: p.snap.Index, LogTerm: p.snap.Term,
		Offset: p.offset, Total: total, Data: p.snap.Data[p.offset:end],
	}
	if end == total {
		m.Membership = &p.snap.Membership
	}
	n.send(m)
}

func (n *Node) onSnapshotResp(m Message) {
	p := n.peers[m.From]
	if p == nil || n.role != leader {
		return
	}
	p.active = true
	if p.snap == nil || p.snap.Index != m.Index || m.Offset > uint64(len(p.snap.Data)) {
		return
	}
	if m.Offset > p.offset || m.Offset == 0 {
		p.offset = m.Offset
		n.sendChunk(m.From, p)
	}
}

func (n *Node) onAppendResp(m Message) {
	p := n.peers[m.From]
	if n.role != leader || p == nil {
		return
	}
	p.active = true
	if m.Index > n.log.last() {
		return
	}
	if p.inflight > 0 {
		p.inflight--
	}
	if m.Reject {
		n.onReject(m, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	if p.probing {
		p.probing = false
		p.inflight = 0
		p.next = p.match + 1
	}
	if p.snap != nil && p.match >= p.snap.Index {
		p.snap = nil
	}
	n.maybeCommit()
	if n.role == leader {
		n.sendAppend(m.From, false)
		n.maybeTransfer(m.From)
	}
}

// onReject moves back to the point from which the logs may agree.
func (n *Node) onReject(m Message, p *progress) {
	if p.snap != nil || m.Index+1 >= p.next && !p.probing {
		return
	}
	p.match = min(p.match, m.Index)
	p.probing = true
	p.inflight = 0
	p.next = max(min(m.Index+1, p.next-1), p.match+1)
	n.sendAppend(m.From, false)
}

func (n *Node) heartbeat() {
	n.sinceBeat = 0
	n.seq++
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		m := Message{Kind: MsgHeartbeat, To: id, Seq: n.seq, Commit: min(n.commit, p.match)}
		if n.decided <= p.match {
			m.Decided = n.decided
		}
		n.send(m)
	}
}

func (n *Node) onHeartbeatResp(m Message) {
	p := n.peers[m.From]
	if n.role != leader || p == nil {
		return
	}
	p.active = true
	p.ackSeq = max(p.ackSeq, m.Seq)
	n.releaseReads()
	if m.Index < p.match && p.snap == nil {
		// The member lost what it had acknowledged: its log took a damaged last
		// write for a torn one. A late answer looks the same; then some entries
		// are sent twice.
		p.match = m.Index
		p.marked = m.Index
	}
	n.resendLost(m.From, p)
}

// resendLost starts over from the last acknowledged entry if nothing was
// acknowledged between two heartbeat answers although something is missing.
func (n *Node) resendLost(to ID, p *progress) {
	stuck := p.marked == p.match && (p.match < n.log.last() || p.inflight > 0)
	p.marked = p.match
	if !stuck {
		return
	}
	if p.snap != nil {
		n.sendChunk(to, p)
		return
	}
	p.probing = true
	p.inflight = 0
	p.next = p.match + 1
	if p.match == 0 {
		p.next = n.log.last() + 1 // nothing is known yet; ask at the end
	}
	n.sendAppend(to, false)
}

func (n *Node) matchOf(id ID) uint64 {
	if id == n.id {
		return n.log.stored
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// maybeCommit advances the commit index and the durable index.
//
// An index is committed once a majority of the voters has stored an entry of the
// leader's own term at or after it (Raft, section 5.4.2): it is safe from later
// normal elections. It is durable once a majority of the voters with a disk has
// too: it then survives a recovery election, which asks the disk voters only.
// The entry of the own term counts there as well: with an older last term their
// logs could lose a comparison against a member that holds entries of a term in
// between and lacks this one.
//
// Commits do not wait for the disk voters, so that a group goes on while they
// are down. What must not be lost with the memory of all others waits for the
// durable index. A change of the set of instances is committed only when it is
// durable, see replaces.
//
// A leader that is not a voter, because it was removed or stood for election as
// a learner, leaves once a majority of the voters has its whole log.
func (n *Node) maybeCommit() {
	if n.role != leader {
		return
	}
	commit := n.commit
	decided := n.decided
	for n.commitOnce() {
	}
	if n.commit != commit || n.decided != decided {
		n.releaseReads()
		for _, id := range n.peerIDs() {
			n.sendAppend(id, true)
		}
	}
	if n.quorum == n.log.last() && !n.config().has(n.id) {
		n.becomeFollower(n.term, ID{})
	}
}

// commitOnce reports whether a membership entry was decided, after which the
// quorums are others.
func (n *Node) commitOnce() bool {
	cfg := n.config()
	q := cfg.quorum(n.matchOf)
	if n.log.term(q) != n.term {
		return false
	}
	n.quorum = max(n.quorum, q)
	pending := n.pendingChange()
	both := min(q, cfg.diskQuorum(n.matchOf))
	if n.log.term(both) == n.term {
		n.durable = max(n.durable, both)
	}
	commit := q
	if pending != 0 && cfg.old != nil && !replaces(cfg.old, cfg.cur) {
		commit = min(q, max(pending-1, n.durable))
	}
	if n.log.term(commit) == n.term {
		n.setCommit(commit)
	}
	if pending != 0 && cfg.old != nil && q >= pending && replaces(cfg.old, cfg.cur) {
		n.decided = pending
	}
	if pending == 0 || n.decided < pending {
		return false
	}
	n.syncPeers()
	return true
}
