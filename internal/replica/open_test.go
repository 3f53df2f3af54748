package replica

import (
	"context"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// newOpenGroup returns a zone whose group is open; its members find each other
// through Contacts.
func newOpenGroup(t *testing.T) *zone {
	z := newZone(t, true, true, true)
	initial := z.specs
	z.editConfig = func(c *Config) {
		c.OpenMembership = true
		c.AllowFormation = c.instanceSpec(c.Self) != nil && len(z.specs) == len(initial)
		c.Contacts = func() []string { return []string{"i0", "i1", "i2"} }
		c.DataFolder = filepath.Join(z.folder, c.Self)
		c.Instances = initial
		if !c.AllowFormation {
			c.Instances = nil
		}
	}
	return z.open()
}

// joinAndWait starts an instance that is not configured on any instance, and waits
// until the leader lists it as a voter or standby and it has applied a command.
func (z *zone) joinAndWait(name string, command uint64) {
	z.specs = append(z.specs, InstanceSpec{Name: name, Disk: true})
	z.start(name)
	z.waitFor(name+" is a member", func() bool {
		return slices.ContainsFunc(z.waitLeader().Status().Members, func(m Member) bool { return m.Instance == name }) &&
			z.daemons[name].recorder.has(command)
	})
}

func (z *zone) waitVoter(name string) {
	z.waitFor(name+" is a voter", func() bool { return z.daemons[name].Status().Ready })
}

func (z *zone) voterCount() int {
	n := 0
	for _, m := range z.waitLeader().Status().Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Guards against a group that loses its quorum at the second loss because it still
// counts a voter that never returns: a standby joined before the first voter was lost.
func TestOpenGroupRemovesReplacedVoters(t *testing.T) {
	t.Parallel()
	z := newOpenGroup(t)
	z.proposeUntilAccepted(1)
	z.joinAndWait("i3", 1)
	is := is.New(t)
	is.Equal(z.voterCount(), 3)
	z.kill("i0")
	z.waitVoter("i3")
	is.Equal(z.voterCount(), 3)
	z.proposeUntilAccepted(2)
	z.kill("i3")
	z.proposeUntilAccepted(3)
	z.joinAndWait("i4", 3)
	z.waitVoter("i4")
	is.Equal(z.voterCount(), 3)
	z.proposeUntilAccepted(4)
	// Until a member learns that a membership change is committed, it needs a quorum
	// of both the old and the new membership. A third loss before that is more than
	// the group tolerates: the rest could not know whether the change was committed.
	z.waitFor("change committed on all members", func() bool {
		for _, d := range z.daemons {
			if !d.recorder.has(4) {
				return false
			}
		}
		return true
	})
	z.kill("i1")
	z.proposeUntilAccepted(5)
	l := z.waitLeader()
	is.NoErr(l.ReadIndex(context.Background()))
	for v := range uint64(5) {
		is.True(l.recorder.has(v + 1))
	}
}

// Guards against a group that removes an unreachable voter although the rest would
// not tolerate a loss, and against a voter that is not taken back when it can be
// reached again.
func TestOpenGroupKeepsThreeVoters(t *testing.T) {
	t.Parallel()
	z := newOpenGroup(t)
	z.proposeUntilAccepted(1)
	isolated := z.otherThan(z.waitLeader()).cfg.Self
	z.setIsolated(isolated, true)
	for v := range uint64(150) {
		z.proposeUntilAccepted(10 + v)
	}
	is.New(t).Equal(z.voterCount(), 3)
	z.setIsolated(isolated, false)
	z.waitFor("voter is back", func() bool { return z.daemons[isolated].Status().Ready && z.daemons[isolated].recorder.has(159) })
}
