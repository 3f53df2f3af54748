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

// failFS is the real file system with a switch that makes syncs fail.
type failFS struct {
	wal.OS
	broken atomic.Bool
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
	if f.fs.broken.Load() {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

// Guards against the loss of acknowledged entries when all processes of a zone
// die at once and only one of them had a disk.
func TestAllDieAndDiskRecovers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true, false, false).open()
	is.True(z.leader().Status().Durable)
	for round := range uint64(3) {
		for i := range uint64(70) { // more than a snapshot's worth
			z.put(round*100 + i)
		}
		z.durable()
		before := z.daemons["i0"].id
		for _, s := range z.specs {
			z.kill(s.Name)
		}
		for _, s := range z.specs {
			z.start(s.Name)
		}
		z.ready()
		is.Equal(z.daemons["i0"].id, before) // the incarnation is on the disk
		for _, d := range z.daemons {
			is.NoErr(d.ReadIndex(context.Background()))
			for i := range uint64(70) {
				is.True(d.sm.has(round*100 + i))
			}
		}
	}
}

// Guards against a group that cannot replace a lost or damaged disk, or takes
// the instance for the old one.
func TestLostAndDamagedDiskAreRepaired(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true, false, false).open()
	for i := range uint64(30) {
		z.put(i)
	}
	before := z.daemons["i0"].id
	z.kill("i0")
	is.NoErr(os.RemoveAll(filepath.Join(z.folder, "i0")))
	z.start("i0")
	z.ready()
	second := z.daemons["i0"].id
	is.True(second != before)
	for i := range uint64(30) {
		z.put(100 + i)
	}
	// Damage in the last write looks like a torn tail, and a member that catches up
	// may take all of the above in one write. The two small writes that follow leave
	// the middle of the file in an earlier one.
	for i := range uint64(2) {
		z.durable()
		z.put(200 + i)
	}
	z.durable()
	z.kill("i0")
	logs, err := filepath.Glob(filepath.Join(z.folder, "i0", "*.log"))
	is.NoErr(err)
	data, err := os.ReadFile(logs[0])
	is.NoErr(err)
	data[len(data)/2] ^= 1
	is.NoErr(os.WriteFile(logs[0], data, 0o600))
	z.start("i0")
	z.ready()
	is.True(z.daemons["i0"].id != second)
	is.NoErr(z.daemons["i0"].ReadIndex(context.Background()))
	is.True(z.daemons["i0"].sm.has(5) && z.daemons["i0"].sm.has(129))
}

// Guards against an acknowledgement without a sync, a member with a broken disk
// that keeps the lead, and one that stays out after the disk works again.
func TestBrokenDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	disks := map[string]*failFS{"i0": {}, "i1": {}, "i2": {}}
	z := newZone(t, true, true, true)
	z.edit = func(c *Config) { c.FS = disks[c.Self] }
	z.open()
	z.put(1)
	l := z.leader()
	disks[l.cfg.Self].broken.Store(true)
	_, err := l.Propose(context.Background(), word(2))
	var uncertain *UncertainError
	is.True(errors.As(err, &uncertain))
	is.True(errors.Is(err, syscall.ENOSPC))
	z.put(3)
	is.True(z.lead() != l)
	disks[l.cfg.Self].broken.Store(false)
	z.ready()
	is.NoErr(l.ReadIndex(context.Background()))
	is.True(l.sm.has(3))
	for _, fs := range disks {
		fs.broken.Store(true)
	}
	z.wait("no member leads without a disk", func() bool {
		if z.lead() == nil {
			return true
		}
		_, err := z.lead().Propose(context.Background(), word(4))
		is.True(err != nil) // nothing is acknowledged
		return false
	})
	for _, fs := range disks {
		fs.broken.Store(false)
	}
	z.ready()
	z.put(5)
}

// Guards against a restart of the only member that loses or repeats entries.
func TestSingleMemberRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true).open()
	for round := range uint64(4) {
		for i := range uint64(60) {
			z.put(round*60 + i)
		}
		z.kill("i0")
		d := z.start("i0")
		z.ready()
		is.Equal(len(d.sm.list), int(round+1)*60)
	}
}

// Guards against a data folder that contradicts the settings, and against a
// second process on the same folder.
func TestOpenRefusals(t *testing.T) {
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

// Guards against wrong answers to proposals while processes die and return at
// random: an accepted entry is applied once, and one that was reported as not
// applied never is. One voter has a disk; it and the others die at any time.
func TestAnswersAreTrueUnderRandomDeaths(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, true, false, false).open()
	rnd := rand.New(rand.NewPCG(20261203, 0))
	accepted := map[uint64]bool{}
	refused := map[uint64]bool{}
	next := uint64(0)
	for range 12 {
		for end := time.Now().Add(150 * time.Millisecond); time.Now().Before(end); {
			next++
			d := z.daemons[z.specs[rnd.IntN(3)].Name]
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			_, err := d.Propose(ctx, word(next))
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
	z.ready()
	is.True(len(accepted) > 100)
	for _, d := range z.daemons {
		is.NoErr(d.ReadIndex(context.Background()))
		times := map[uint64]int{}
		for _, v := range d.sm.list {
			times[v]++
			is.True(!refused[v])
		}
		for v := range accepted {
			is.Equal(times[v], 1)
		}
	}
}
