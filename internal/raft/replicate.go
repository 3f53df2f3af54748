package raft

import (
	"cmp"
	"slices"
)

// progress tracks the replication to another member.
type progress struct {
	learner bool
	disk    bool
	match   uint64 // last index that the member is known to have stored
	next    uint64 // next index to send
	// probing is set while only one append message at a time is sent, until the
	// last matching index is known.
	probing  bool
	inflight int // unacknowledged append messages
	// stalledTicks counts the ticks without an acknowledgement of anything new, and
	// resendTicks is the number of them after which messages are taken for lost.
	stalledTicks int
	resendTicks  int

	snap   *Snapshot // snapshot being sent; nil otherwise
	offset uint64    // of the next chunk

	recentlyActive bool   // a message arrived since the last quorum check
	silentChecks   int    // consecutive quorum checks without a message
	joinSeq        uint64 // first heartbeat number after the request to join
	ackSeq         uint64 // highest heartbeat number answered
}

// syncPeers begins to track new voters and drops members that are no longer
// voters.
func (n *Node) syncPeers() {
	active := n.activeMembership()
	for _, v := range active.voters() {
		if v.ID == n.id {
			continue
		}
		p := n.peers[v.ID]
		if p == nil {
			// Counts as active in the first quorum check, so that a new leader
			// has one election timeout to reach the voter.
			p = &progress{next: n.log.last() + 1, probing: true, recentlyActive: true, resendTicks: n.cfg.HeartbeatTicks}
			n.peers[v.ID] = p
		}
		p.learner = false
		p.disk = v.Disk
	}
	for id, p := range n.peers {
		if !p.learner && !active.hasVoter(id) {
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

// Propose appends commands and returns the index of the first one and their term.
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

// sendAppend sends the entries that a member lacks, as far as flow control allows.
// An empty message is sent only to probe or, with announceCommit, to announce a
// new commit index.
func (n *Node) sendAppend(to ID, announceCommit bool) {
	p := n.peers[to]
	for p.snap == nil {
		if p.probing && p.inflight > 0 || p.inflight >= n.cfg.MaxInflight {
			return
		}
		if p.next <= n.log.baseIndex {
			n.startSnapshot(to, p)
			return
		}
		if p.next > n.log.last() && !announceCommit && !p.probing {
			return
		}
		n.sendEntries(to, p)
		announceCommit = false
	}
}

func (n *Node) sendEntries(to ID, p *progress) {
	prev := p.next - 1
	entries := n.log.entriesAfter(prev, n.cfg.MaxBytes)
	n.send(Message{
		Kind: MsgAppend, To: to, Index: prev, LogTerm: n.log.term(prev), Entries: entries,
		Commit: n.commit, Decided: n.decided,
	})
	if p.inflight == 0 {
		p.stalledTicks = 0 // nothing was outstanding
	}
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
	p.progressed(n.cfg.HeartbeatTicks)
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
	p.recentlyActive = true
	if p.snap == nil || p.snap.Index != m.Index || m.Offset > uint64(len(p.snap.Data)) {
		return
	}
	switch {
	case m.Offset > p.offset:
		p.offset = m.Offset
		p.progressed(n.cfg.HeartbeatTicks)
		n.sendChunk(m.From, p)
	case m.Offset == 0 && p.offset > 0: // the member restarted and has nothing
		p.offset = 0
		n.sendChunk(m.From, p)
	}
}

func (n *Node) onAppendResp(m Message) {
	p := n.peers[m.From]
	if n.role != leader || p == nil {
		return
	}
	p.recentlyActive = true
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
		p.progressed(n.cfg.HeartbeatTicks)
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
	// The acknowledgement may have decided a change that removes its sender.
	if n.role == leader && n.peers[m.From] == p {
		n.sendAppend(m.From, false)
		n.maybeTransfer(m.From)
	}
}

// onReject moves next back to the index from which the logs may match and probes
// there.
func (n *Node) onReject(m Message, p *progress) {
	if p.snap != nil || m.Index+1 >= p.next && !p.probing {
		return
	}
	p.match = min(p.match, m.Index)
	p.probing = true
	p.inflight = 0
	p.next = max(min(m.Index+1, p.next-1), p.match+1)
	p.progressed(n.cfg.HeartbeatTicks)
	n.sendAppend(m.From, false)
}

func (n *Node) heartbeat() {
	n.sinceHeartbeat = 0
	n.heartbeatSeq++
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		m := Message{Kind: MsgHeartbeat, To: id, Seq: n.heartbeatSeq, Commit: min(n.commit, p.match)}
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
	p.recentlyActive = true
	p.ackSeq = max(p.ackSeq, m.Seq)
	n.releaseReads()
	if m.Index < p.match && p.snap == nil {
		// The member lost entries that it had acknowledged: its log mistook a
		// damaged last write for a torn one. A delayed answer looks the same; in
		// that case some entries are sent twice.
		p.match = m.Index
		p.stalledTicks = p.resendTicks
	}
	n.resendLost(m.From, p)
}

// progressed records that the member has acknowledged something new.
func (p *progress) progressed(resendTicks int) {
	p.stalledTicks = 0
	p.resendTicks = resendTicks
}

// resendLost resends from the last acknowledged entry, or the current chunk of the
// snapshot, if the member is alive but has acknowledged nothing new for resendTicks
// although it lacks entries or messages to it are unacknowledged.
//
// The time counts in ticks and not in heartbeat answers: each read takes a heartbeat,
// and answers to them come faster than a disk can sync. resendTicks doubles with each
// resend up to an election timeout, because a member that is only slow gets slower with
// everything that it receives twice.
func (n *Node) resendLost(to ID, p *progress) {
	if p.match >= n.log.last() && p.inflight == 0 && p.snap == nil || p.stalledTicks < p.resendTicks {
		return
	}
	p.stalledTicks = 0
	p.resendTicks = min(2*p.resendTicks, n.cfg.ElectionTicks)
	n.resends++
	if p.snap != nil {
		n.sendChunk(to, p)
		return
	}
	p.probing = true
	p.inflight = 0
	p.next = p.match + 1
	if p.match == 0 {
		p.next = n.log.last() + 1 // no match is known yet; probe at the end of the log
	}
	n.sendAppend(to, false)
}

// matchIndex returns the last index that a member is known to have stored.
func (n *Node) matchIndex(id ID) uint64 {
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
// leader's own term at or after it (Raft, section 5.4.2): it then survives later
// normal elections. It is durable once a majority of the voters with a disk has
// done so too: it then also survives a recovery election, which relies on the
// logs of a majority of the disk voters only. The entry must be of the leader's
// own term there as well: with an older last term, the logs of these voters could
// lose the comparison with a member that holds entries of a term in between and
// lacks this one.
//
// Commits do not wait for the disk voters, so that a group keeps working while
// they are down. Whatever must survive the loss of the memory of all other members
// has to wait for the durable index. A change of the set of instances is committed
// only once it is durable, see replacesIncarnationsOnly.
//
// A leader that is not a voter, because it was removed or campaigned as a learner,
// steps down once a majority of the voters holds its whole log.
func (n *Node) maybeCommit() {
	if n.role != leader {
		return
	}
	commit := n.commit
	decided := n.decided
	for n.advanceCommit() {
	}
	if n.commit != commit || n.decided != decided {
		n.releaseReads()
		for _, id := range n.peerIDs() {
			n.sendAppend(id, true)
		}
	}
	if n.quorumIndex == n.log.last() && !n.activeMembership().hasVoter(n.id) {
		n.becomeFollower(n.term, ID{})
	}
}

// advanceCommit advances the indexes under the membership in force. It reports
// whether a membership entry was decided: then the quorums have changed and it has
// to be called again.
func (n *Node) advanceCommit() bool {
	active := n.activeMembership()
	q := active.quorumValue(n.matchIndex)
	if n.log.term(q) != n.term {
		return false
	}
	n.quorumIndex = max(n.quorumIndex, q)
	pending := n.pendingChange()
	durableIndex := min(q, active.diskQuorumValue(n.matchIndex))
	if n.log.term(durableIndex) == n.term {
		n.durable = max(n.durable, durableIndex)
	}
	commit := q
	if pending != 0 && active.previous != nil && !replacesIncarnationsOnly(active.previous, active.current) {
		commit = min(q, max(pending-1, n.durable))
	}
	if n.log.term(commit) == n.term {
		n.setCommit(commit)
	}
	if pending != 0 && active.previous != nil && q >= pending && replacesIncarnationsOnly(active.previous, active.current) {
		n.decided = pending
	}
	if pending == 0 || n.decided < pending {
		return false
	}
	n.syncPeers()
	return true
}
