package raft

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a group that shrinks to a size at which the stated number of lost disks
// leaves no majority, and against one that keeps dead voters which it could do without.
// Silent voters are cut off one after the other, each until it could be removed.
func TestSilentVotersAreRemovedDownToTheTolerance(t *testing.T) {
	for _, tc := range []struct{ voters, diskLosses, remain int }{{3, 1, 3}, {4, 1, 3}, {5, 1, 3}, {5, 2, 5}, {6, 2, 5}, {8, 2, 5}} {
		is := is.New(t)
		disks := make([]bool, tc.voters)
		for i := range disks {
			disks[i] = true
		}
		c := newCluster(t, 1, disks...)
		c.policy = &MembershipPolicy{DiskLosses: tc.diskLosses, ReplaceAfter: 3, RemoveAfter: 7}
		c.run(40)
		l := c.readyLeader()
		for h, cut := c.nextHost(l), 0; cut < tc.voters-majority(tc.remain) && h != l; h, cut = c.nextHost(h), cut+1 {
			c.isolate(h.name)
			c.run(100)
		}
		is.Equal(len(c.readyLeader().node.activeMembership().current.Voters), tc.remain)
		c.healAndCheck()
	}
}

func majority(voters int) int { return voters/2 + 1 }

// Guards against a group that is smaller in between while a new instance takes the place
// of one that is silent: a further loss would then be one too many.
func TestNewInstanceTakesThePlaceOfASilentVoter(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, true, true, true)
	c.policy = &MembershipPolicy{DiskLosses: 1, ReplaceAfter: 3, RemoveAfter: 7}
	c.run(40)
	l := c.readyLeader()
	lost := c.nextHost(l)
	c.isolate(lost.name)
	c.run(60)
	added := c.add("n9")
	for range 60 {
		c.run(1)
		is.Equal(len(l.node.activeMembership().current.Voters), 3)
	}
	is.True(l.node.activeMembership().current.Has(added.node.id))
	is.True(!l.node.activeMembership().current.Has(lost.node.id))
	c.healAndCheck() // the silent voter joins again beside the new one
	is.Equal(len(l.node.activeMembership().current.Voters), 4)
}

// Guards against a group in which a cut into two halves stops both: with one voter of an even
// number standing by, the half with more voters serves. No half is known beforehand.
func TestHalfOfAnEvenGroupServes(t *testing.T) {
	for _, tc := range []struct{ voters, diskLosses int }{{3, 1}, {5, 2}, {7, 2}} {
		for seed := range uint64(20) {
			is := is.New(t)
			disks := make([]bool, tc.voters)
			for i := range disks {
				disks[i] = true
			}
			c := newCluster(t, seed, disks...)
			c.policy = &MembershipPolicy{DiskLosses: tc.diskLosses, ReplaceAfter: 3, RemoveAfter: 7, OddVoters: true}
			c.add("n9")
			c.run(60)
			is.True(c.healthy()) // the last instance stands by
			is.Equal(len(c.readyLeader().node.activeMembership().current.Voters), tc.voters)
			c.cutIntoHalves()
			c.run(60)
			c.propose(c.readyLeader(), 1)
			c.run(10)
			is.Equal(len(c.acked), 1)
			c.healAndCheck()
		}
	}
}

// cutIntoHalves cuts a random half of the hosts off from the others.
func (c *cluster) cutIntoHalves() {
	side := map[string]bool{}
	for _, i := range c.rnd.Perm(len(c.names))[:len(c.names)/2] {
		side[c.names[i]] = true
	}
	for _, a := range c.names {
		for _, b := range c.names {
			if side[a] != side[b] {
				c.blocked[[2]string{a, b}] = true
			}
		}
	}
}

// Guards against a silent voter that keeps its place although a standby could take it.
func TestStandbyTakesThePlaceOfASilentVoter(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, true, true, true)
	c.policy = &MembershipPolicy{DiskLosses: 1, ReplaceAfter: 3, RemoveAfter: 7, OddVoters: true}
	standby := c.add("n9")
	c.run(60)
	l := c.readyLeader()
	lost := c.nextHost(l)
	if lost == standby {
		lost = c.nextHost(lost)
	}
	c.isolate(lost.name)
	c.run(60)
	is.True(l.node.activeMembership().current.Has(standby.node.id))
	is.True(!l.node.activeMembership().current.Has(lost.node.id))
	c.healAndCheck()
	is.Equal(len(l.node.activeMembership().current.Voters), 3) // the returned one stands by
}
