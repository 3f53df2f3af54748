package replica

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/raft"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/wal"
)

// store keeps a member's state. An error means that nothing of the call may be
// relied on; the store is not used again.
type store interface {
	// save stores the snapshot, hard state and entries of a Ready and syncs them.
	save(rd *raft.Ready) error
	// compact stores a snapshot of the state machine and drops what it replaces.
	compact(snap raft.Snapshot) error
	close() error
}

// stored is what a store held when it was opened.
type stored struct {
	id       raft.ID
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
	// lost is set if earlier state was damaged and set aside.
	lost bool
}

// memoryStore is the store of a member without a disk: the core's own memory.
type memoryStore struct{}

func (memoryStore) save(*raft.Ready) error      { return nil }
func (memoryStore) compact(raft.Snapshot) error { return nil }
func (memoryStore) close() error                { return nil }

// newIncarnation returns a random incarnation, never 0.
func newIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// openStore opens the store that the configuration asks for. A damaged folder is
// set aside, and the member becomes a new incarnation that the others repair.
func (r *Replica) openStore() (store, *stored, error) {
	if r.cfg.DataFolder == "" {
		return memoryStore{}, &stored{id: raft.ID{Instance: r.cfg.Self, Incarnation: newIncarnation()}}, nil
	}
	st, held, err := openDisk(&r.cfg)
	var damaged *wal.DamagedError
	if !errors.As(err, &damaged) {
		return st, held, err
	}
	r.log.Error(err, "log is damaged; set aside", "file", damaged.File, "offset", damaged.Offset)
	telemetry.Count(r.metric("damaged_logs"))
	if err := wal.SetAside(r.cfg.FS, r.cfg.DataFolder); err != nil {
		return nil, nil, errors.Trace(err)
	}
	return openDisk(&r.cfg)
}

// diskStore keeps the state in a wal.Log.
type diskStore struct{ log *wal.Log }

func openDisk(cfg *Config) (store, *stored, error) {
	l, c, err := wal.Open(wal.Options{
		Folder: cfg.DataFolder, Owner: cfg.Group + "/" + cfg.Self, NewIdentity: newIncarnation, FS: cfg.FS,
	})
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	held, err := decodeContents(cfg, c)
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return &diskStore{log: l}, held, nil
}

// decodeContents decodes what passed the log's checks. What cannot be decoded
// all the same is reported like damage.
func decodeContents(cfg *Config, c *wal.Contents) (*stored, error) {
	s := &stored{id: raft.ID{Instance: cfg.Self, Incarnation: c.Identity}, lost: c.Lost}
	if c.State != nil {
		if err := codec.Unmarshal(c.State, &s.hard); err != nil {
			return nil, &wal.DamagedError{File: cfg.DataFolder, Detail: err.Error()}
		}
	}
	if c.Snapshot != nil {
		if err := codec.Unmarshal(c.Snapshot.Data, &s.snapshot); err != nil {
			return nil, &wal.DamagedError{File: cfg.DataFolder, Detail: err.Error()}
		}
	}
	s.entries = make([]raft.Entry, len(c.Entries))
	for i := range c.Entries {
		if err := codec.Unmarshal(c.Entries[i].Data, &s.entries[i]); err != nil {
			return nil, &wal.DamagedError{File: cfg.DataFolder, Detail: err.Error()}
		}
	}
	return s, nil
}

// syncTime is the time to write and sync what one step of a member stores.
var syncTime = metrics.GetOrCreateHistogram("teaselpaddle_disk_sync_seconds")

func (d *diskStore) save(rd *raft.Ready) error {
	state, err := codec.Marshal(&rd.HardState)
	if err != nil {
		return err
	}
	if rd.Snapshot != nil {
		// Its index is committed, so the state may refer to it, but not to the
		// entries of the same Ready, which follow.
		hs := rd.HardState
		hs.Commit = min(hs.Commit, rd.Snapshot.Index)
		first, err := codec.Marshal(&hs)
		if err != nil {
			return err
		}
		snap, err := encodeSnapshot(rd.Snapshot)
		if err != nil {
			return err
		}
		if err := d.log.Install(snap, first); err != nil {
			return errors.Trace(err)
		}
	}
	entries := make([]wal.Entry, len(rd.Entries))
	for i := range rd.Entries {
		e := &rd.Entries[i]
		data, err := codec.Marshal(e)
		if err != nil {
			return err
		}
		entries[i] = wal.Entry{Index: e.Index, Term: e.Term, Data: data}
	}
	began := time.Now()
	if err := d.log.Append(state, entries); err != nil {
		return errors.Trace(err)
	}
	syncTime.UpdateDuration(began)
	return nil
}

func encodeSnapshot(s *raft.Snapshot) (wal.Snapshot, error) {
	data, err := codec.Marshal(s)
	return wal.Snapshot{Index: s.Index, Term: s.Term, Data: data}, err
}

func (d *diskStore) compact(s raft.Snapshot) error {
	snap, err := encodeSnapshot(&s)
	if err != nil {
		return err
	}
	return errors.Trace(d.log.Compact(snap))
}

func (d *diskStore) close() error { return d.log.Close() }
