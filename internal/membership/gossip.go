package membership

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// queued is a record that is being spread.
type queued struct {
	name string
	sent int
}

// retransmitMult times log10 of the number of instances is how often each
// instance sends a record (SWIM, section 4.1).
const retransmitMult = 3

// configTicksPerMember times the number of instances is the time between two
// records of one instance that only bring a new configuration version; it keeps
// the records per second of the whole deployment at two.
const configTicksPerMember = 5

func (c *Core) retransmits() int {
	return 1 + int(math.Ceil(retransmitMult*math.Log10(float64(len(c.names)+1))))
}

func (c *Core) configTicks() uint64 {
	return uint64(max(c.cfg.ProbeTicks, configTicksPerMember*len(c.names)))
}

// enqueue spreads an instance's new record. The own one goes first: it may be a
// refutation.
func (c *Core) enqueue(name string) {
	e := c.members[name]
	if e.queued == nil {
		e.queued = &queued{name: name}
		c.queue = append(c.queue, e.queued)
	}
	e.queued.sent = 0
	if name == c.cfg.Self {
		e.queued.sent = -1
	}
}

// enqueueConfig spreads a new configuration version of an instance, after the
// records in queue.
func (c *Core) enqueueConfig(name string) {
	if e := c.members[name]; !e.configQueued {
		e.configQueued = true
		c.configs = append(c.configs, queued{name: name})
	}
}

// repeat spreads the own record again unless it is being spread.
func (c *Core) repeat() {
	if c.self().queued == nil {
		c.enqueue(c.cfg.Self)
	}
}

// pick returns the records for a message: what the receiver should know about
// itself, then those that were sent least often.
func (c *Core) pick(to string) []Record {
	out := make([]Record, 0, c.cfg.MaxRecords)
	if e := c.members[to]; e.rec.State != Alive || e.differs {
		e.differs = false
		out = append(out, c.outgoing(e))
	}
	slices.SortStableFunc(c.queue, func(a, b *queued) int { return cmp.Compare(a.sent, b.sent) })
	limit := c.retransmits()
	kept := c.queue[:0]
	for _, q := range c.queue {
		e := c.members[q.name]
		if q.name != to && len(out) < c.cfg.MaxRecords {
			out = append(out, c.outgoing(e))
			q.sent++
		}
		if q.sent < limit {
			kept = append(kept, q)
		} else {
			e.queued = nil
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	return c.pickConfigs(out, limit)
}

// pickConfigs fills up the records with new configuration versions in turn.
func (c *Core) pickConfigs(out []Record, limit int) []Record {
	for range len(c.configs) {
		if len(out) >= c.cfg.MaxRecords {
			break
		}
		q := c.configs[0]
		c.configs = c.configs[1:]
		e := c.members[q.name]
		out = append(out, c.outgoing(e))
		q.sent++
		if q.sent < limit {
			c.configs = append(c.configs, q)
		} else {
			e.configQueued = false
		}
	}
	return out
}

// outgoing is a record with the configuration's age as of now.
func (c *Core) outgoing(e *entry) Record {
	r := e.rec
	r.ConfigAge = seconds(c.now - e.configAt)
	if r.State != Suspect {
		r.Accuser = 0
	}
	return r
}

// buckets is the number of groups of records that digests are compared for.
const buckets = 16

// patience is the number of different digests in a row after which an instance
// that still has records to spread synchronizes.
const patience = 3

// syncRecords bounds the records of one synchronization message.
const syncRecords = 48

func bucketOf(name string) int { return int(hashName(name) % buckets) }

// toggleDigest adds a record to the digest of its bucket, or takes it out. The
// configuration is left out because it changes all the time.
func (c *Core) toggleDigest(r *Record) {
	var b [24]byte
	h := xxhash.Sum64String(r.Name)
	for i := range 8 {
		b[i] = byte(h >> (8 * i))
		b[8+i] = byte(r.Incarnation >> (8 * i))
	}
	for i := range 4 {
		b[16+i] = byte(r.Epoch >> (8 * i))
	}
	b[20] = byte(r.State)
	c.digests[bucketOf(r.Name)] ^= uint32(xxhash.Sum64(b[:]))
}

func (c *Core) digest() uint32 {
	var d uint32
	for _, b := range c.digests {
		d ^= b
	}
	return d
}

// compareDigest starts a synchronization if the records differ and piggybacked
// records do not seem to settle it.
func (c *Core) compareDigest(from string, digest uint32) {
	if digest == c.digest() {
		c.mismatches = 0
		return
	}
	c.mismatches++
	if c.now < c.nextSync || (len(c.queue) > 0 && c.mismatches < patience) {
		return
	}
	c.nextSync = c.now + uint64(c.cfg.SyncTicks)
	c.mismatches = 0
	c.send(from, &Message{Kind: Sync, Records: []Record{}, Buckets: slices.Clone(c.digests[:])})
}

// answerSync sends the records of the buckets that differ.
func (c *Core) answerSync(from string, m *Message) {
	if len(m.Buckets) != buckets {
		return
	}
	var mask uint32
	for i, d := range m.Buckets {
		if d != c.digests[i] {
			mask |= 1 << i
		}
	}
	if mask == 0 {
		return
	}
	records, mask := c.inBuckets(mask)
	c.send(from, &Message{Kind: SyncReply, Records: records, Mask: mask})
}

// inBuckets returns the records of the buckets and the buckets that were
// included. Buckets are taken in random order while there is room; the next
// synchronization brings the others.
func (c *Core) inBuckets(mask uint32) ([]Record, uint32) {
	var byBucket [buckets][]Record
	for _, name := range c.names {
		b := bucketOf(name)
		if e := c.members[name]; mask&(1<<b) != 0 && e.rec.State != Unknown {
			byBucket[b] = append(byBucket[b], c.outgoing(e))
		}
	}
	out := []Record{}
	var done uint32
	for _, b := range c.cfg.Rand.Perm(buckets) {
		if mask&(1<<b) == 0 || (done != 0 && len(out)+len(byBucket[b]) > syncRecords) {
			continue
		}
		out = append(out, byBucket[b]...)
		done |= 1 << b
	}
	return out, done
}

// finishSync sends back the records that the other side lacks.
func (c *Core) finishSync(from string, m *Message) {
	if bits.OnesCount32(m.Mask) == 0 {
		return
	}
	theirs := map[string]*Record{}
	for i := range m.Records {
		theirs[m.Records[i].Name] = &m.Records[i]
	}
	newer := []Record{}
	for _, name := range c.names {
		e := c.members[name]
		if m.Mask&(1<<bucketOf(name)) == 0 || e.rec.State == Unknown || len(newer) == syncRecords {
			continue
		}
		if t := theirs[name]; t == nil || e.rec.overrides(t) {
			newer = append(newer, c.outgoing(e))
		}
	}
	if len(newer) > 0 {
		c.send(from, &Message{Kind: SyncPush, Records: newer, Mask: m.Mask})
	}
}

func sortedKeys(m map[uint32]*relay) []uint32 { return slices.Sorted(maps.Keys(m)) }
