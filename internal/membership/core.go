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
	defaultMaxHealthScore = 8   // Lifeguard, section IV
	defaultMaxRecords     = 6   // piggybacked on one message
	defaultSyncTicks      = 100 // 10 s between two synchronizations started by this instance
)

// Config holds the parameters of a Core. Zero values of ProbeTicks and the fields
// after it stand for the defaults.
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
	MaxHealthScore int
	MaxRecords     int
	SyncTicks      int
}

// orDefault sets *v to def unless it is positive.
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
	orDefault(&c.MaxHealthScore, defaultMaxHealthScore)
	orDefault(&c.MaxRecords, defaultMaxRecords)
	orDefault(&c.SyncTicks, defaultSyncTicks)
}

// memberEntry is the local state about one instance.
type memberEntry struct {
	record              Record
	configConfirmedTick uint64 // tick at which ConfigVersion was last known to be the newest
	lastHeardTick       uint64 // tick of the last message received from the instance itself
	suspicion           *suspicion
	queueItem           *queueItem // its item in Core.recordQueue, or nil
	configQueued        bool       // it has an item in Core.configQueue
	headerMismatch      bool       // its last message had another epoch or incarnation than record
}

// Core is the membership state machine of one instance. It is not safe for
// concurrent use.
type Core struct {
	cfg            Config
	accuserID      uint32 // identifies this instance in Record.Accuser
	now            uint64 // ticks
	members        map[string]*memberEntry
	names          []string // all instances, sorted; never changes
	digests        [bucketCount]uint32
	outbox         []Envelope
	suspicionCount int      // entries with a suspicion
	changed        []string // names whose records were replaced since the last TakeChanged

	// Probing.
	probeOrder  []string // instances still to be probed in this round
	nextProbe   uint64
	probeCount  uint64
	probe       *probe
	relays      map[uint32]*relay // by the seq of the relayed ping
	seq         uint32
	healthScore int // 0 is healthy; see scaleByHealth

	// Dissemination.
	recordQueue      []*queueItem // instances with a new record
	configQueue      []queueItem  // instances of whose record only the configuration version is new
	nextConfigGossip uint64       // earliest tick to gossip a new configuration version
	configPending    bool
	nextSync         uint64
	digestMismatches int
}

// New returns the core of an instance. cfg.Members are the names of all instances;
// records of other instances are ignored.
func New(cfg Config) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg: cfg, accuserID: hashName(cfg.Self), now: 1,
		members: map[string]*memberEntry{}, relays: map[uint32]*relay{}, nextProbe: 2,
	}
	for _, name := range append([]string{cfg.Self}, cfg.Members...) {
		if c.members[name] != nil {
			continue
		}
		e := &memberEntry{record: Record{Name: name}}
		c.members[name] = e
		c.names = append(c.names, name)
		c.toggleDigest(&e.record)
	}
	sort.Strings(c.names)
	own := c.ownRecord()
	own.Epoch = 1
	c.storeRecord(c.self(), own)
	c.self().configConfirmedTick = c.now - min(c.now, durationToTicks(cfg.Facts.ConfigAge))
	return c
}

func (c *Core) self() *memberEntry { return c.members[c.cfg.Self] }

// ownRecord returns the record of this instance with its current facts.
func (c *Core) ownRecord() Record {
	f := &c.cfg.Facts
	r := Record{
		Name: c.cfg.Self, Incarnation: c.cfg.Incarnation, Epoch: c.self().record.Epoch,
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

// storeRecord replaces a record and queues it for dissemination.
func (c *Core) storeRecord(e *memberEntry, r Record) {
	c.toggleDigest(&e.record)
	e.record = r
	c.toggleDigest(&e.record)
	c.changed = append(c.changed, r.Name)
	c.enqueueRecord(r.Name)
}

// SetFacts changes the facts of this instance. A change of the configuration alone
// does not raise the epoch and is disseminated at a bounded rate: with 11,000
// configuration changes a day and 270 instances there are 34 such changes a
// second.
func (c *Core) SetFacts(f Facts) {
	old := c.cfg.Facts
	c.cfg.Facts = f
	e := c.self()
	e.configConfirmedTick = c.now - min(c.now, durationToTicks(f.ConfigAge))
	r := c.ownRecord()
	if f.Zone != old.Zone || f.Disk != old.Disk || f.Stopping != old.Stopping {
		r.Epoch++
		c.storeRecord(e, r)
		return
	}
	e.record.ConfigVersion = f.ConfigVersion
	if f.ConfigVersion != old.ConfigVersion {
		c.configPending = true
	}
}

// Tick advances the time by one TickInterval.
func (c *Core) Tick() {
	c.now++
	c.expireSuspicions()
	c.tickRelays()
	c.tickProbe()
	if c.configPending && c.now >= c.nextConfigGossip {
		c.configPending = false
		c.nextConfigGossip = c.now + c.configGossipTicks()
		c.enqueueConfig(c.cfg.Self)
	}
}

// HandleResume is called after the process was frozen. That it received no messages
// meanwhile is no evidence against other instances, so the running probe is
// cancelled and suspicions start anew. The timeouts of this instance are at their
// longest until its probes succeed.
func (c *Core) HandleResume() {
	c.probe = nil
	c.healthScore = c.cfg.MaxHealthScore
	c.nextProbe = c.now + uint64(c.cfg.ProbeTicks)
	for _, e := range c.members {
		if e.suspicion != nil {
			e.suspicion.startTick = c.now
		}
	}
}

// TakeMessages returns the messages to send that were queued since the last call.
func (c *Core) TakeMessages() []Envelope {
	outbox := c.outbox
	c.outbox = nil
	return outbox
}

// TakeChanged returns the names of the instances whose records were replaced since
// the last call.
func (c *Core) TakeChanged() []string {
	out := c.changed
	c.changed = nil
	return out
}

// Step handles a message from another instance.
func (c *Core) Step(from string, m *Message) {
	e := c.members[from]
	if e == nil || from == c.cfg.Self {
		return
	}
	e.lastHeardTick = c.now
	e.headerMismatch = m.Incarnation != e.record.Incarnation || m.Epoch != e.record.Epoch
	for i := range m.Records {
		c.mergeRecord(&m.Records[i])
	}
	c.mergeConfigVersion(e, m.Incarnation, m.Config, m.ConfigAge)
	switch m.Kind {
	case Ping:
		c.send(from, &Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		c.handleAck(m.Seq)
	case Nack:
		c.handleNack(m.Seq)
	case PingReq:
		c.handlePingReq(from, m)
	case Sync:
		c.handleSync(from, m)
	case SyncReply:
		c.handleSyncReply(from, m)
	}
	if m.Kind == Ping || m.Kind == Ack {
		c.compareDigest(from, m.Digest)
	}
}

// send queues a message with the header of this instance, piggybacked records and
// the digest. The record of the receiver comes first if the receiver disagrees with
// it, so that a suspect learns of the suspicion from the next message to it.
func (c *Core) send(to string, m *Message) {
	own := c.self()
	m.Incarnation, m.Epoch = c.cfg.Incarnation, own.record.Epoch
	m.Config, m.ConfigAge = own.record.ConfigVersion, ticksToSeconds(c.now-own.configConfirmedTick)
	if m.Records == nil {
		m.Records = c.selectRecords(to)
	}
	m.Digest = c.digest()
	c.outbox = append(c.outbox, Envelope{To: to, Message: m})
}

// mergeRecord merges a record received from another instance.
func (c *Core) mergeRecord(r *Record) {
	e := c.members[r.Name]
	switch {
	case e == nil:
	case r.Name == c.cfg.Self:
		c.handleOwnRecord(r)
	case r.overrides(&e.record):
		c.replaceRecord(e, *r)
	default:
		if r.State == Suspect && e.record.State == Suspect && r.Epoch == e.record.Epoch && r.Incarnation == e.record.Incarnation {
			c.confirmSuspicion(e, r.Accuser)
		}
	}
	if e != nil && r.Name != c.cfg.Self {
		if c.mergeConfigVersion(e, r.Incarnation, r.ConfigVersion, r.ConfigAge) {
			c.enqueueConfig(r.Name)
		}
	}
}

// handleOwnRecord handles a received record of this instance. It refutes a
// suspicion, overrides a record of an earlier process, or disseminates its own
// record again if the received one is older.
func (c *Core) handleOwnRecord(r *Record) {
	own := &c.self().record
	same := r.Incarnation == own.Incarnation
	switch {
	case r.Epoch < own.Epoch:
		c.requeueOwnRecord()
	case same && r.State == Alive && r.Epoch == own.Epoch:
	default:
		if same && r.State > Alive {
			c.degradeHealth(1)
		}
		next := c.ownRecord()
		next.Epoch = r.Epoch + 1
		c.storeRecord(c.self(), next)
	}
}

// replaceRecord replaces a record by a newer one and starts or ends a suspicion.
func (c *Core) replaceRecord(e *memberEntry, r Record) {
	if r.Incarnation != e.record.Incarnation {
		e.configConfirmedTick = 0
	} else if r.ConfigVersion < e.record.ConfigVersion {
		r.ConfigVersion = e.record.ConfigVersion
	}
	if e.suspicion != nil {
		e.suspicion = nil
		c.suspicionCount--
	}
	c.storeRecord(e, r)
	if r.State == Suspect {
		c.startSuspicion(e, r.Accuser)
	}
}

// mergeConfigVersion adopts a newer configuration version, or a more recent
// confirmation of the same version. It reports whether the version is newer.
func (c *Core) mergeConfigVersion(e *memberEntry, incarnation, version uint64, age uint32) bool {
	if incarnation != e.record.Incarnation || version < e.record.ConfigVersion {
		return false
	}
	ticks := uint64(age) * durationToTicks(1e9)
	at := c.now - min(c.now, ticks)
	newer := version > e.record.ConfigVersion
	if newer || at > e.configConfirmedTick {
		e.record.ConfigVersion, e.configConfirmedTick = version, at
	}
	return newer
}

// Snapshot returns all instances, sorted by name.
func (c *Core) Snapshot() []Member {
	out := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		e := c.members[name]
		m := Member{Name: name, Incarnation: e.record.Incarnation, State: e.record.State, Facts: Facts{
			Zone: e.record.Zone, Disk: e.record.Flags&flagDisk != 0, Stopping: e.record.Flags&flagStopping != 0,
			ConfigVersion: e.record.ConfigVersion,
		}}
		if e.record.State != Unknown {
			m.Facts.ConfigAge = TickInterval * clampTicks(c.now-e.configConfirmedTick)
		}
		out = append(out, m)
	}
	return out
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
