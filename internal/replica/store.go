package replica

import (
	"crypto/rand"
	"encoding/binary"

	"teaselpaddle.example/teaselpaddle/internal/raft"
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

// openStore opens the store that the configuration asks for.
func openStore(cfg *Config) (store, *stored, error) {
	return memoryStore{}, &stored{id: raft.ID{Instance: cfg.Self, Incarnation: newIncarnation()}}, nil
}
