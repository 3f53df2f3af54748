package replica

import (
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/wal"
)

// Defaults of Config. A dead leader is replaced 1 to 2 s after its last
// heartbeat.
const (
	defaultTick            = 100 * time.Millisecond
	defaultElectionTicks   = 10
	defaultHeartbeatTicks  = 3
	defaultSnapshotEntries = 4096
	// retainedEntries is the number of applied entries that stay in the log after
	// a snapshot, so that a member that lags slightly needs no snapshot.
	retainedEntries = 512
	// retainedBytes bounds the size of these entries.
	retainedBytes = 4 << 20
	// defaultSnapshotBytes leaves room on the smallest disk, of 128 MB, for two snapshots and the log
	// that grows while one is taken. A configuration with 1,400 queues has 0.37 MB.
	defaultSnapshotBytes = 16 << 20
)

// InstanceSpec describes a configured instance of a group.
type InstanceSpec struct {
	Name string
	Disk bool
}

// Config holds the parameters of a member. Zero values of TickInterval,
// ElectionTicks, HeartbeatTicks, SnapshotEntries and SnapshotBytes stand for the defaults.
type Config struct {
	Group     string // name of the group, the same on all its instances
	Self      string // instance name
	Instances []InstanceSpec
	// OpenMembership makes the group open: it admits instances that are not among
	// Instances. Such an instance joins as a learner through one of Contacts and
	// becomes a voter once it has caught up, in place of a voter that no longer
	// responds if there is one. Instances then lists only the initial voters, of
	// which the one with the lowest name forms the group if AllowFormation is set.
	OpenMembership bool
	// DiskLosses is the number of disks that the members of an open group may lose at
	// the same time without the loss of an acknowledged entry. The group keeps enough
	// voters for that. 0 stands for 1.
	DiskLosses int
	// AllowFormation allows this instance to form an open group.
	AllowFormation bool
	// Contacts returns instances that may know the leader. It is used by open
	// groups only.
	Contacts   func() []string
	DataFolder string // data folder of this group; empty for a member without a disk
	FS         wal.FS // nil for the operating system's file system
	Dispatcher *Dispatcher
	Machine    StateMachine
	Log        logr.Logger

	TickInterval   time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries after which a snapshot is
	// taken and the log compacted.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the stored entries after which the same is done, bytes. A
	// snapshot that is larger than that counts instead, so that a large state is not written too often.
	SnapshotBytes int
	// Seed makes the election timeouts reproducible, yet different on each
	// instance. 0 selects a random seed.
	Seed uint64
}

// ConfigError reports an invalid Config.
type ConfigError struct {
	Group  string
	Detail string
}

func (e *ConfigError) Error() string { return fmt.Sprintf("group %q: %s", e.Group, e.Detail) }

// setDefaultsAndValidate sets the defaults and returns *ConfigError if the
// configuration is invalid.
func (c *Config) setDefaultsAndValidate() error {
	if c.TickInterval == 0 {
		c.TickInterval = defaultTick
	}
	if c.ElectionTicks == 0 {
		c.ElectionTicks = defaultElectionTicks
	}
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = defaultHeartbeatTicks
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.DiskLosses == 0 {
		c.DiskLosses = 1
	}
	if c.OpenMembership {
		return nil
	}
	self := c.instanceSpec(c.Self)
	if self == nil {
		return &ConfigError{Group: c.Group, Detail: fmt.Sprintf("instance %q is not a configured instance of the group", c.Self)}
	}
	if self.Disk != (c.DataFolder != "") {
		return &ConfigError{Group: c.Group, Detail: fmt.Sprintf("instance %q must have a data folder if and only if it is configured with a disk", c.Self)}
	}
	return nil
}

// instanceSpec returns the configured instance with this name, or nil.
func (c *Config) instanceSpec(name string) *InstanceSpec {
	for i := range c.Instances {
		if c.Instances[i].Name == name {
			return &c.Instances[i]
		}
	}
	return nil
}

// hasLowestName reports whether no configured instance has a lower name.
func (c *Config) hasLowestName() bool {
	for _, in := range c.Instances {
		if in.Name < c.Self {
			return false
		}
	}
	return true
}

// mayForm reports whether this instance forms the group if no other instance has
// state of it.
func (c *Config) mayForm() bool {
	if c.OpenMembership && (!c.AllowFormation || c.instanceSpec(c.Self) == nil) {
		return false
	}
	return c.hasLowestName()
}
