package membership

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// queueItem is an instance whose record is being disseminated.
type queueItem struct {
	name      string
	sendCount int
}

// retransmitMult times log10 of the number of instances is the number of times
// that each instance sends a record (SWIM, section 4.1).
const retransmitMult = 3

// configTicksPerMember times the number of instances is the time in ticks between
// two records of one instance that only carry a new configuration version. It
// limits the whole deployment to two such records per second.
const configTicksPerMember = 5

func (c *Core) retransmitLimit() int {
	return 1 + int(math.Ceil(retransmitMult*math.Log10(float64(len(c.names)+1))))
}

func (c *Core) configGossipTicks() uint64 {
	return uint64(max(c.cfg.ProbeTicks, configTicksPerMember*len(c.names)))
}

// enqueueRecord queues the new record of an instance for dissemination. The record
// of this instance takes precedence because it may be a refutation.
func (c *Core) enqueueRecord(name string) {
	e := c.members[name]
	if e.queueItem == nil {
		e.queueItem = &queueItem{name: name}
		c.recordQueue = append(c.recordQueue, e.queueItem)
	}
	e.queueItem.sendCount = 0
	if name == c.cfg.Self {
		e.queueItem.sendCount = -1
	}
}

// enqueueConfig queues a new configuration version of an instance for
// dissemination. The records in recordQueue take precedence.
func (c *Core) enqueueConfig(name string) {
	if e := c.members[name]; !e.configQueued {
		e.configQueued = true
		c.configQueue = append(c.configQueue, queueItem{name: name})
	}
}

// requeueOwnRecord queues the record of this instance again unless it is queued.
func (c *Core) requeueOwnRecord() {
	if c.self().queueItem == nil {
		c.enqueueRecord(c.cfg.Self)
	}
}

// selectRecords returns the records to piggyback on a message: the record of the
// receiver if it disagrees with it, then the least often sent ones.
func (c *Core) selectRecords(to string) []Record {
	out := make([]Record, 0, c.cfg.MaxRecords)
	if e := c.members[to]; e.record.State != Alive || e.headerMismatch {
		e.headerMismatch = false
		out = append(out, c.outgoingRecord(e))
	}
	slices.SortStableFunc(c.recordQueue, func(a, b *queueItem) int { return cmp.Compare(a.sendCount, b.sendCount) })
	limit := c.retransmitLimit()
	kept := c.recordQueue[:0]
	for _, q := range c.recordQueue {
		e := c.members[q.name]
		if q.name != to && len(out) < c.cfg.MaxRecords {
			out = append(out, c.outgoingRecord(e))
			q.sendCount++
		}
		if q.sendCount < limit {
			kept = append(kept, q)
		} else {
			e.queueItem = nil
		}
	}
	clear(c.recordQueue[len(kept):])
	c.recordQueue = kept
	return c.appendConfigRecords(out, limit)
}

// appendConfigRecords fills up the records of a message with new configuration
// versions, round-robin.
func (c *Core) appendConfigRecords(out []Record, limit int) []Record {
	for range len(c.configQueue) {
		if len(out) >= c.cfg.MaxRecords {
			break
		}
		q := c.configQueue[0]
		c.configQueue = c.configQueue[1:]
		e := c.members[q.name]
		out = append(out, c.outgoingRecord(e))
		q.sendCount++
		if q.sendCount < limit {
			c.configQueue = append(c.configQueue, q)
		} else {
			e.configQueued = false
		}
	}
	return out
}

// outgoingRecord returns a record as it is sent, with the current age of the
// configuration.
func (c *Core) outgoingRecord(e *memberEntry) Record {
	r := e.record
	r.ConfigAge = ticksToSeconds(c.now - e.configConfirmedTick)
	if r.State != Suspect {
		r.Accuser = 0
	}
	return r
}

// bucketCount is the number of buckets into which records are divided by name.
// Synchronization compares one digest per bucket.
const bucketCount = 16

// mismatchesBeforeSync is the number of consecutive digest mismatches after which
// an instance starts a synchronization although it still has records to
// disseminate.
const mismatchesBeforeSync = 3

// maxSyncRecords bounds the number of records in one synchronization message.
const maxSyncRecords = 48

func bucketOf(name string) int { return int(hashName(name) % bucketCount) }

// toggleDigest adds a record to the digest of its bucket, or removes it. The
// configuration version is not part of the digest because it changes all the time.
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

// digest returns the digest of all records.
func (c *Core) digest() uint32 {
	var d uint32
	for _, b := range c.digests {
		d ^= b
	}
	return d
}

// compareDigest starts a synchronization if the digests differ and piggybacked
// records are not likely to resolve the difference.
func (c *Core) compareDigest(from string, digest uint32) {
	if digest == c.digest() {
		c.digestMismatches = 0
		return
	}
	c.digestMismatches++
	if c.now < c.nextSync || (len(c.recordQueue) > 0 && c.digestMismatches < mismatchesBeforeSync) {
		return
	}
	c.nextSync = c.now + uint64(c.cfg.SyncTicks)
	c.digestMismatches = 0
	c.send(from, &Message{Kind: Sync, Records: []Record{}, Buckets: slices.Clone(c.digests[:])})
}

// handleSync answers with the records of the buckets whose digests differ.
func (c *Core) handleSync(from string, m *Message) {
	if len(m.Buckets) != bucketCount {
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
	records, mask := c.recordsInBuckets(mask)
	c.send(from, &Message{Kind: SyncReply, Records: records, Mask: mask})
}

// recordsInBuckets returns the records of the buckets in mask, and the buckets that
// are included. Buckets are added in random order up to maxSyncRecords; later
// synchronizations cover the others.
func (c *Core) recordsInBuckets(mask uint32) ([]Record, uint32) {
	var byBucket [bucketCount][]Record
	for _, name := range c.names {
		b := bucketOf(name)
		if e := c.members[name]; mask&(1<<b) != 0 && e.record.State != Unknown {
			byBucket[b] = append(byBucket[b], c.outgoingRecord(e))
		}
	}
	out := []Record{}
	var done uint32
	for _, b := range c.cfg.Rand.Perm(bucketCount) {
		if mask&(1<<b) == 0 || (done != 0 && len(out)+len(byBucket[b]) > maxSyncRecords) {
			continue
		}
		out = append(out, byBucket[b]...)
		done |= 1 << b
	}
	return out, done
}

// handleSyncReply sends back the records that are newer here or missing in the
// reply.
func (c *Core) handleSyncReply(from string, m *Message) {
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
		if m.Mask&(1<<bucketOf(name)) == 0 || e.record.State == Unknown || len(newer) == maxSyncRecords {
			continue
		}
		if t := theirs[name]; t == nil || e.record.overrides(t) {
			newer = append(newer, c.outgoingRecord(e))
		}
	}
	if len(newer) > 0 {
		c.send(from, &Message{Kind: SyncPush, Records: newer, Mask: m.Mask})
	}
}

func sortedKeys(m map[uint32]*relay) []uint32 { return slices.Sorted(maps.Keys(m)) }
