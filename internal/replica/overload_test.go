package replica

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// A member that lost its disk gets a large snapshot while many callers read. Guards
// against a group whose leader is busy with sending the snapshot again for each read, so
// that the member never catches up and nothing is committed in time.
func TestMemberRejoinsUnderReads(t *testing.T) {
	const snapshotBytes = 4 << 20
	is := is.New(t)
	z := newZone(t, true, true, true)
	z.editConfig = func(c *Config) { c.Machine.(*recorder).padding = snapshotBytes }
	z.open()
	for i := range uint64(60) { // more than SnapshotEntries
		z.proposeUntilAccepted(i)
	}
	l := z.waitLeader()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = l.ReadIndex(ctx)
			}
		})
	}
	lost := z.otherThan(l).cfg.Self
	z.kill(lost)
	is.NoErr(os.RemoveAll(filepath.Join(z.folder, lost)))
	before := z.net.bytes.Load()
	z.start(lost)
	z.waitReady()
	sent := z.net.bytes.Load() - before
	stop()
	wg.Wait()
	// Once, and once more if an acknowledgement is late; the rest is for reads.
	if sent > 3*snapshotBytes {
		t.Errorf("%d bytes were sent for a snapshot of %d", sent, snapshotBytes)
	}
}

// Entries are not committed for a while, although the leader is heard. Callers give up
// long before and come back at once. Guards against a log that fills with entries of
// callers who have given up, and against a group that does not serve them when entries
// are committed again.
func TestSlowCommitsShedProposals(t *testing.T) {
	const (
		callers  = 50
		patience = 20 * time.Millisecond
		stall    = 300 * time.Millisecond
	)
	is := is.New(t)
	z := newZone(t, true, true, true).open()
	l := z.waitLeader()
	first := l.Status().Applied
	z.setDrop(func(m *raft.Message) bool { return m.Kind == raft.MsgAppend && len(m.Entries) > 0 })
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i := range uint64(callers) {
		wg.Go(func() {
			for {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				_, err := l.Propose(ctx, encodeValue(i))
				cancel()
				if err == nil {
					return
				}
				var slow *SlowCommitError
				if errors.As(err, &slow) {
					refused.Add(1)
					time.Sleep(patience) // it was refused at once
				}
			}
		})
	}
	time.Sleep(stall)
	z.setDrop(nil)
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("callers are not served after the stall")
	}
	is.True(refused.Load() > 0)
	limit := time.Duration(l.cfg.ElectionTicks+1) * z.tick // see checkCommitDelay
	entries := int(l.Status().Applied - first)
	if most := callers * (int(limit/patience) + 3); entries > most {
		t.Errorf("%d entries for %d callers, at most %d expected", entries, callers, most)
	}
}
