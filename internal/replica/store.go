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

// store keeps the state of a member. After an error nothing that the call was to
// store may be relied on, and the store is not used again.
type store interface {
	// save writes the snapshot, hard state and entries of a Ready and syncs them.
	save(rd *raft.Ready) error
	// compact writes a snapshot of the state machine and drops the entries that it
	// replaces.
	compact(snap raft.Snapshot) error
	close() error
}

// storedState is the content of a store when it is opened.
type storedState struct {
	id       raft.ID
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
	// stateLost is set if an earlier state was damaged and has been set aside.
	stateLost bool
}

// memoryStore is the store of a member without a disk. It stores nothing: the
// core keeps its state in memory.
type memoryStore struct{}

func (memoryStore) save(*raft.Ready) error      { return nil }
func (memoryStore) compact(raft.Snapshot) error { return nil }
func (memoryStore) close() error                { return nil }

// newIncarnation returns a random incarnation other than 0.
func newIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// openStore opens the configured store. If the data folder is damaged, it is set
// aside; the member starts empty as a new incarnation and gets the state from the
// other members.
func (r *Replica) openStore() (store, *storedState, error) {
	if r.cfg.DataFolder == "" {
		return memoryStore{}, &storedState{id: raft.ID{Instance: r.cfg.Self, Incarnation: newIncarnation()}}, nil
	}
	st, loaded, err := openDisk(&r.cfg)
	var damaged *wal.DamagedError
	if !errors.As(err, &damaged) {
		return st, loaded, err
	}
	r.log.Error(err, "log is damaged; set aside", "file", damaged.File, "offset", damaged.Offset)
	telemetry.Count(r.metricName("damaged_logs"))
	if err := wal.SetAside(r.cfg.FS, r.cfg.DataFolder); err != nil {
		return nil, nil, errors.Trace(err)
	}
	return openDisk(&r.cfg)
}

// diskStore keeps the state in a wal.Log.
type diskStore struct{ log *wal.Log }

func openDisk(cfg *Config) (store, *storedState, error) {
	l, c, err := wal.Open(wal.Options{
		Folder: cfg.DataFolder, Owner: cfg.Group + "/" + cfg.Self, NewIdentity: newIncarnation, FS: cfg.FS,
	})
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	loaded, err := decodeContents(cfg, c)
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return &diskStore{log: l}, loaded, nil
}

// decodeContents decodes the contents of a log that passed the checks of package
// wal. A record that cannot be decoded nevertheless is reported as
// *wal.DamagedError.
func decodeContents(cfg *Config, c *wal.Contents) (*storedState, error) {
	s := &storedState{id: raft.ID{Instance: cfg.Self, Incarnation: c.Identity}, stateLost: c.StateLost}
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

// diskSyncSeconds measures the time to write and sync the hard state and entries
// of one Ready.
var diskSyncSeconds = metrics.GetOrCreateHistogram("teaselpaddle_disk_sync_seconds")

func (d *diskStore) save(rd *raft.Ready) error {
	state, err := codec.Marshal(&rd.HardState)
	if err != nil {
		return err
	}
	if rd.Snapshot != nil {
		// The index of the snapshot is committed, but the entries of this Ready are
		// written only below. Until then the stored commit index must not go beyond
		// the snapshot.
		hs := rd.HardState
		hs.Commit = min(hs.Commit, rd.Snapshot.Index)
		snapshotState, err := codec.Marshal(&hs)
		if err != nil {
			return err
		}
		snap, err := encodeSnapshot(rd.Snapshot)
		if err != nil {
			return err
		}
		if err := d.log.Install(snap, snapshotState); err != nil {
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
	start := time.Now()
	if err := d.log.Append(state, entries); err != nil {
		return errors.Trace(err)
	}
	diskSyncSeconds.UpdateDuration(start)
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
