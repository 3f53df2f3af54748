package replica

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Large changes fill the log long before there are many of them. Guards against a log that grows
// until the number of entries calls for a snapshot: the disks of all members would be full at the same
// moment.
func TestSnapshotIsTakenBySize(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 400
	z := newZone(t, true, true, true)
	z.editConfig = func(c *Config) { c.SnapshotEntries, c.SnapshotBytes = 1<<30, limit }
	z.open()
	for i := range uint64(400) {
		z.proposeUntilAccepted(i)
	}
	z.waitDurable()
	for _, s := range z.specs {
		z.kill(s.Name)
	}
	for _, spec := range z.specs { // stopped, so that none is storing a snapshot
		name := spec.Name
		snapshots, err := filepath.Glob(filepath.Join(z.folder, name, "snapshot-*"))
		is.NoErr(err)
		is.Equal(len(snapshots), 1)
		info, err := os.Stat(snapshots[0])
		is.NoErr(err)
		logs, err := filepath.Glob(filepath.Join(z.folder, name, "*.log"))
		is.NoErr(err)
		size := int64(0)
		for _, l := range logs {
			f, err := os.Stat(l)
			is.NoErr(err)
			size += f.Size()
		}
		// Each entry of 8 bytes takes some 100 bytes more in the log, with the state beside it.
		if most := (max(limit, info.Size()) + 100) / 8 * 250; size > most {
			t.Errorf("%s: log of %d bytes beside a snapshot of %d", name, size, info.Size())
		}
	}
	for _, s := range z.specs {
		z.start(s.Name)
	}
	z.waitReady()
	for _, d := range z.daemons {
		for i := range uint64(400) {
			is.True(d.recorder.has(i))
		}
	}
}
