package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/wal"
)

// failFS is the real file system; syncs fail with ENOSPC while failSync is set.
type failFS struct {
	wal.OS
	failSync atomic.Bool
}

type failFile struct {
	wal.File
	fs *failFS
}

func (f *failFS) Create(name string) (wal.File, error) {
	file, err := f.OS.Create(name)
	return &failFile{File: file, fs: f}, err
}

func (f *failFile) Sync() error {
	if f.fs.failSync.Load() {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

// Guards against the loss of durable entries when all processes of a zone crash
// at once and only one of them has a disk.
func TestRecoversFromOneDiskAfterAllCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true, false, false).open()
	is.True(z.waitLeader().Status().Durable)
	for round := range uint64(3) {
		for i := range uint64(70) { // more than SnapshotEntries
			z.proposeUntilAccepted(round*100 + i)
		}
		z.waitDurable()
		before := z.daemons["i0"].id
		for _, s := range z.specs {
			z.kill(s.Name)
		}
		for _, s := range z.specs {
			z.start(s.Name)
		}
		z.waitReady()
		is.Equal(z.daemons["i0"].id, before) // the incarnation is stored on the disk
		for _, d := range z.daemons {
			is.NoErr(d.ReadIndex(context.Background()))
			for i := range uint64(70) {
				is.True(d.recorder.has(round*100 + i))
			}
		}
	}
}

// Guards against a group that cannot repair a member with a lost or damaged disk,
// or takes it for the earlier incarnation.
func TestLostAndDamagedDiskAreRepaired(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true, false, false).open()
	for i := range uint64(30) {
		z.proposeUntilAccepted(i)
	}
	before := z.daemons["i0"].id
	z.kill("i0")
	is.NoErr(os.RemoveAll(filepath.Join(z.folder, "i0")))
	z.start("i0")
	z.waitReady()
	second := z.daemons["i0"].id
	is.True(second != before)
	for i := range uint64(30) {
		z.proposeUntilAccepted(100 + i)
	}
	// Damage in the last write is treated as a torn tail, and a member that catches
	// up may store all entries so far in one write. After two more small writes the
	// middle of the file belongs to an earlier write.
	for i := range uint64(2) {
		z.waitDurable()
		z.proposeUntilAccepted(200 + i)
	}
	z.waitDurable()
	z.kill("i0")
	logs, err := filepath.Glob(filepath.Join(z.folder, "i0", "*.log"))
	is.NoErr(err)
	data, err := os.ReadFile(logs[0])
	is.NoErr(err)
	data[len(data)/2] ^= 1
	is.NoErr(os.WriteFile(logs[0], data, 0o600))
	z.start("i0")
	z.waitReady()
	is.True(z.daemons["i0"].id != second)
	is.NoErr(z.daemons["i0"].ReadIndex(context.Background()))
	is.True(z.daemons["i0"].recorder.has(5) && z.daemons["i0"].recorder.has(129))
}

// Guards against an acknowledgement without a sync, a leader that stays leader
// although its disk fails, and a member that does not return once its disk works
// again.
func TestBrokenDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	disks := map[string]*failFS{"i0": {}, "i1": {}, "i2": {}}
	z := newZone(t, true, true, true)
	z.editConfig = func(c *Config) { c.FS = disks[c.Self] }
	z.open()
	z.proposeUntilAccepted(1)
	l := z.waitLeader()
	disks[l.cfg.Self].failSync.Store(true)
	_, err := l.Propose(context.Background(), encodeValue(2))
	var uncertain *UncertainError
	is.True(errors.As(err, &uncertain))
	is.True(errors.Is(err, syscall.ENOSPC))
	z.proposeUntilAccepted(3)
	is.True(z.currentLeader() != l)
	disks[l.cfg.Self].failSync.Store(false)
	z.waitReady()
	is.NoErr(l.ReadIndex(context.Background()))
	is.True(l.recorder.has(3))
	for _, fs := range disks {
		fs.failSync.Store(true)
	}
	z.waitFor("no leader while all disks fail", func() bool {
		if z.currentLeader() == nil {
			return true
		}
		_, err := z.currentLeader().Propose(context.Background(), encodeValue(4))
		is.True(err != nil) // nothing is acknowledged
		return false
	})
	for _, fs := range disks {
		fs.failSync.Store(false)
	}
	z.waitReady()
	z.proposeUntilAccepted(5)
}

// Guards against entries that are lost or applied twice when the only member
// restarts.
func TestSingleMemberRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true).open()
	for round := range uint64(4) {
		for i := range uint64(60) {
			z.proposeUntilAccepted(round*60 + i)
		}
		z.kill("i0")
		d := z.start("i0")
		z.waitReady()
		is.Equal(len(d.recorder.applied), int(round+1)*60)
	}
}

// Guards against a data folder that is used by two processes, and against a
// Config that is accepted although its data folder does not match the settings or
// its instance is not configured.
func TestOpenErrors(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true).open()
	cfg := z.daemons["i0"].cfg
	_, err := Open(cfg)
	var locked *wal.LockedError
	is.True(errors.As(err, &locked))
	cfg.DataFolder = ""
	_, err = Open(cfg)
	var wrong *ConfigError
	is.True(errors.As(err, &wrong))
	cfg.Self = "x"
	_, err = Open(cfg)
	is.True(errors.As(err, &wrong))
}

// Guards against wrong results of Propose while processes crash and restart at
// random: an accepted entry is applied exactly once, and one that was reported as
// not applied never is. One voter has a disk; any of the voters may crash.
func TestProposalOutcomesUnderRandomCrashes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true, false, false).open()
	rnd := rand.New(rand.NewPCG(20261203, 0))
	accepted := map[uint64]bool{}
	refused := map[uint64]bool{}
	next := uint64(0)
	// On a busy machine, few proposals succeed within a round, so there are more rounds then.
	for round := 0; round < 12 || len(accepted) <= 100; round++ {
		is.True(round < 200)
		for end := time.Now().Add(150 * time.Millisecond); time.Now().Before(end); {
			next++
			d := z.daemons[z.specs[rnd.IntN(3)].Name]
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			_, err := d.Propose(ctx, encodeValue(next))
			cancel()
			var uncertain *UncertainError
			switch {
			case err == nil:
				accepted[next] = true
			case !errors.As(err, &uncertain):
				refused[next] = true
			}
		}
		for _, s := range z.specs {
			if rnd.IntN(2) == 0 {
				z.kill(s.Name)
				z.start(s.Name)
			}
		}
	}
	z.waitReady()
	for _, d := range z.daemons {
		is.NoErr(d.ReadIndex(context.Background()))
		times := map[uint64]int{}
		for _, v := range d.recorder.applied {
			times[v]++
			is.True(!refused[v])
		}
		for v := range accepted {
			is.Equal(times[v], 1)
		}
	}
}
