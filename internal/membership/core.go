package membership

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Config.
const (
	defaultProbeTicks     = 20  // 2 s; a probe over a new connection costs about 1.3 KB
	defaultAckTicks       = 5   // 500 ms, several times the round trip between zones
	defaultRelays         = 3   // SWIM, section 3.1
	defaultSuspicionMult  = 3   // shortest suspicion in probe intervals, times log10(n)
	defaultSuspicionRange = 3   // longest suspicion as a multiple of the shortest
	defaultMaxHealth      = 8   // Lifeguard, section IV
	defaultMaxRecords     = 6   // piggybacked on one message
	defaultSyncTicks      = 100 // 10 s between two synchronizations started here
)

// Config are the parameters of a core. Zero values stand for the defaults.
type Config struct {
	Self        string
	Incarnation uint64 // random number of this process; not 0
	Members     []string
	Facts       Facts
	Rand        *rand.Rand

	ProbeTicks     int
	AckTicks       int
	Relays         int
	SuspicionMult  int
	SuspicionRange int
	MaxHealth      int
	MaxRecords     int
	SyncTicks      int
}

func orDefault(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func (c *Config) setDefaults() {
	orDefault(&c.ProbeTicks, defaultProbeTicks)
	orDefault(&c.AckTicks, defaultAckTicks)
	orDefault(&c.Relays, defaultRelays)
	orDefault(&c.SuspicionMult, defaultSuspicionMult)
	orDefault(&c.SuspicionRange, defaultSuspicionRange)
	orDefault(&c.MaxHealth, defaultMaxHealth)
	orDefault(&c.MaxRecords, defaultMaxRecords)
	orDefault(&c.SyncTicks, defaultSyncTicks)
}

// entry is one instance as this one sees it.
type entry struct {
	rec          Record
	configAt     uint64 // tick at which ConfigVersion was the newest
	heard        uint64 // tick of the last message from the instance itself
	suspicion    *suspicion
	queued       *queued // the item in Core.queue, nil if there is none
	configQueued bool    // there is an item in Core.configs
	differs      bool    // the instance's last message had another epoch or incarnation
}

// Core is the membership state machine of one instance. It is not safe for use
// by several goroutines.
type Core struct {
	cfg      Config
	id       uint32 // this instance as an accuser
	now      uint64 // ticks
	members  map[string]*entry
	names    []string // sorted; fixed
	digests  [buckets]uint32
	out      []Out
	suspects int      // entries with a suspicion
	changed  []string // names whose records were replaced since Changed

	// Probing.
	order     []string // names left in this round
	nextProbe uint64
	rounds    uint64
	probe     *probe
	relays    map[uint32]*relay
	seq       uint32
	health    int // 0 is healthy

	// Dissemination.
	queue      []*queued // records that are new
	configs    []queued  // records whose configuration version alone is new
	nextConfig uint64    // earliest tick to gossip a new configuration version
	configNew  bool
	nextSync   uint64
	mismatches int
}

// New returns the core of an instance. Members are the names of all instances;
// records of other names are ignored.
func New(cfg Config) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg: cfg, id: hashName(cfg.Self), now: 1,
		members: map[string]*entry{}, relays: map[uint32]*relay{}, nextProbe: 2,
	}
	for _, name := range append([]string{cfg.Self}, cfg.Members...) {
		if c.members[name] != nil {
			continue
		}
		e := &entry{rec: Record{Name: name}}
		c.members[name] = e
		c.names = append(c.names, name)
		c.toggleDigest(&e.rec)
	}
	sort.Strings(c.names)
	own := c.ownRecord()
	own.Epoch = 1
	c.store(c.self(), own)
	c.self().configAt = c.now - min(c.now, ticksOf(cfg.Facts.ConfigAge))
	return c
}

func (c *Core) self() *entry { return c.members[c.cfg.Self] }

// ownRecord is the record of this instance with its current facts.
func (c *Core) ownRecord() Record {
	f := &c.cfg.Facts
	r := Record{
		Name: c.cfg.Self, Incarnation: c.cfg.Incarnation, Epoch: c.self().rec.Epoch,
		State: Alive, Zone: f.Zone, ConfigVersion: f.ConfigVersion,
	}
	if f.Disk {
		r.Flags |= flagDisk
	}
	if f.Stopping {
		r.Flags |= flagStopping
	}
	return r
}

// store replaces a record and queues it for the others.
func (c *Core) store(e *entry, r Record) {
	c.toggleDigest(&e.rec)
	e.rec = r
	c.toggleDigest(&e.rec)
	c.changed = append(c.changed, r.Name)
	c.enqueue(r.Name)
}

// SetFacts changes what this instance says about itself. A change of the
// configuration alone does not raise the epoch and is spread at a bounded rate:
// at 11,000 changes a day and 270 instances there are 34 such changes a second.
func (c *Core) SetFacts(f Facts) {
	old := c.cfg.Facts
	c.cfg.Facts = f
	e := c.self()
	e.configAt = c.now - min(c.now, ticksOf(f.ConfigAge))
	r := c.ownRecord()
	if f.Zone != old.Zone || f.Disk != old.Disk || f.Stopping != old.Stopping {
		r.Epoch++
		c.store(e, r)
		return
	}
	e.rec.ConfigVersion = f.ConfigVersion
	if f.ConfigVersion != old.ConfigVersion {
		c.configNew = true
	}
}

// Tick advances the time by one TickInterval.
func (c *Core) Tick() {
	c.now++
	c.expireSuspicions()
	c.tickRelays()
	c.tickProbe()
	if c.configNew && c.now >= c.nextConfig {
		c.configNew = false
		c.nextConfig = c.now + c.configTicks()
		c.enqueueConfig(c.cfg.Self)
	}
}

// Resumed is called when the process did not run for a while. What it has not
// heard meanwhile says nothing about the others.
func (c *Core) Resumed() {
	c.probe = nil
	c.health = c.cfg.MaxHealth
	c.nextProbe = c.now + uint64(c.cfg.ProbeTicks)
	for _, e := range c.members {
		if e.suspicion != nil {
			e.suspicion.start = c.now
		}
	}
}

// Take returns the messages to send since the last call.
func (c *Core) Take() []Out {
	out := c.out
	c.out = nil
	return out
}

// Changed returns the names of the instances whose records were replaced since
// the last call.
func (c *Core) Changed() []string {
	out := c.changed
	c.changed = nil
	return out
}

// Step takes a message from another instance.
func (c *Core) Step(from string, m *Message) {
	e := c.members[from]
	if e == nil || from == c.cfg.Self {
		return
	}
	e.heard = c.now
	e.differs = m.Incarnation != e.rec.Incarnation || m.Epoch != e.rec.Epoch
	for i := range m.Records {
		c.apply(&m.Records[i])
	}
	c.learnConfig(e, m.Incarnation, m.Config, m.ConfigAge)
	switch m.Kind {
	case Ping:
		c.send(from, &Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		c.acked(m.Seq)
	case Nack:
		c.nacked(m.Seq)
	case PingReq:
		c.startRelay(from, m)
	case Sync:
		c.answerSync(from, m)
	case SyncReply:
		c.finishSync(from, m)
	}
	if m.Kind == Ping || m.Kind == Ack {
		c.compareDigest(from, m.Digest)
	}
}

// send queues a message with the sender's header, piggybacked records and the
// digest. Records about the receiver come first if they differ from what it
// says itself, so that a suspect learns of the suspicion from its next probe.
func (c *Core) send(to string, m *Message) {
	own := c.self()
	m.Incarnation, m.Epoch = c.cfg.Incarnation, own.rec.Epoch
	m.Config, m.ConfigAge = own.rec.ConfigVersion, seconds(c.now-own.configAt)
	if m.Records == nil {
		m.Records = c.pick(to)
	}
	m.Digest = c.digest()
	c.out = append(c.out, Out{To: to, Message: m})
}

// apply merges a record that another instance sent.
func (c *Core) apply(r *Record) {
	e := c.members[r.Name]
	switch {
	case e == nil:
	case r.Name == c.cfg.Self:
		c.applyOwn(r)
	case r.overrides(&e.rec):
		c.replace(e, *r)
	default:
		if r.State == Suspect && e.rec.State == Suspect && r.Epoch == e.rec.Epoch && r.Incarnation == e.rec.Incarnation {
			c.confirm(e, r.Accuser)
		}
	}
	if e != nil && r.Name != c.cfg.Self {
		if c.learnConfig(e, r.Incarnation, r.ConfigVersion, r.ConfigAge) {
			c.enqueueConfig(r.Name)
		}
	}
}

// applyOwn answers a record about this instance: it refutes a suspicion, takes
// over the name from an earlier process, or repeats its own record if the other
// side has an older one.
func (c *Core) applyOwn(r *Record) {
	own := &c.self().rec
	same := r.Incarnation == own.Incarnation
	switch {
	case r.Epoch < own.Epoch:
		c.repeat()
	case same && r.State == Alive && r.Epoch == own.Epoch:
	default:
		if same && r.State > Alive {
			c.worsen(1)
		}
		next := c.ownRecord()
		next.Epoch = r.Epoch + 1
		c.store(c.self(), next)
	}
}

// replace takes over a newer record.
func (c *Core) replace(e *entry, r Record) {
	if r.Incarnation != e.rec.Incarnation {
		e.configAt = 0
	} else if r.ConfigVersion < e.rec.ConfigVersion {
		r.ConfigVersion = e.rec.ConfigVersion
	}
	if e.suspicion != nil {
		e.suspicion = nil
		c.suspects--
	}
	c.store(e, r)
	if r.State == Suspect {
		c.startSuspicion(e, r.Accuser)
	}
}

// learnConfig takes over a newer configuration version or a younger age. It
// returns true if the version is newer.
func (c *Core) learnConfig(e *entry, incarnation, version uint64, age uint32) bool {
	if incarnation != e.rec.Incarnation || version < e.rec.ConfigVersion {
		return false
	}
	ticks := uint64(age) * ticksOf(1e9)
	at := c.now - min(c.now, ticks)
	newer := version > e.rec.ConfigVersion
	if newer || at > e.configAt {
		e.rec.ConfigVersion, e.configAt = version, at
	}
	return newer
}

// Snapshot returns all instances, sorted by name.
func (c *Core) Snapshot() []Member {
	out := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		e := c.members[name]
		m := Member{Name: name, Incarnation: e.rec.Incarnation, State: e.rec.State, Facts: Facts{
			Zone: e.rec.Zone, Disk: e.rec.Flags&flagDisk != 0, Stopping: e.rec.Flags&flagStopping != 0,
			ConfigVersion: e.rec.ConfigVersion,
		}}
		if e.rec.State != Unknown {
			m.Facts.ConfigAge = TickInterval * ticksDuration(c.now-e.configAt)
		}
		out = append(out, m)
	}
	return out
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
