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
	// keptEntries stay in the log after a snapshot, so that a member that is
	// slightly behind needs no snapshot.
	keptEntries = 512
)

// InstanceSpec is a configured instance of a group.
type InstanceSpec struct {
	Name string
	Disk bool
}

// Config sets up a member.
type Config struct {
	Group     string // name of the group, the same on all its instances
	Self      string // instance name
	Instances []InstanceSpec
	// Open admits instances that are not among Instances. Such an instance joins
	// as a learner through an address of Contacts and becomes a voter once it has
	// caught up; a voter that stays silent is removed in its favour. Instances
	// then only form the group, and only if Form is set.
	Open bool
	// Form allows the first formation of an open group.
	Form bool
	// Contacts returns instances that may know the leader; of an open group only.
	Contacts   func() []string
	DataFolder string // of this group; empty for a member without a disk
	FS         wal.FS // nil for the operating system's
	Dispatcher *Dispatcher
	Machine    StateMachine
	Log        logr.Logger

	TickInterval   time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries after which the log is
	// replaced by a snapshot.
	SnapshotEntries uint64
	// Seed makes the election timeouts repeatable, but different on each
	// instance; 0 takes a random one.
	Seed uint64
}

// ConfigError is a configuration that cannot be used.
type ConfigError struct {
	Group  string
	Detail string
}

func (e *ConfigError) Error() string { return fmt.Sprintf("group %q: %s", e.Group, e.Detail) }

func (c *Config) check() error {
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
	if c.Open {
		return nil
	}
	self := c.spec(c.Self)
	if self == nil {
		return &ConfigError{Group: c.Group, Detail: fmt.Sprintf("instance %q is not among its instances", c.Self)}
	}
	if self.Disk != (c.DataFolder != "") {
		return &ConfigError{Group: c.Group, Detail: fmt.Sprintf("instance %q must have a data folder exactly if it is set up with a disk", c.Self)}
	}
	return nil
}

func (c *Config) spec(name string) *InstanceSpec {
	for i := range c.Instances {
		if c.Instances[i].Name == name {
			return &c.Instances[i]
		}
	}
	return nil
}

// first reports whether this instance has the lowest name.
func (c *Config) first() bool {
	for _, in := range c.Instances {
		if in.Name < c.Self {
			return false
		}
	}
	return true
}

// mayForm reports whether this instance forms the group if no other holds state.
func (c *Config) mayForm() bool {
	if c.Open && (!c.Form || c.spec(c.Self) == nil) {
		return false
	}
	return c.first()
}
