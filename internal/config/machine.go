package config

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Bounds on the state of the state machine. At the design load of 11,000 changes a
// day (7.6 a minute), 2048 records cover 4.5 hours; a zone that was disconnected for
// longer gets the whole configuration. 4096 keys cover 9 hours. A resend after its
// key was evicted is still never applied twice: its expected version is no longer
// current, so it gets version_conflict. Refused publishes have a cache of their own,
// so that they cannot evict the keys of accepted ones.
const (
	historyLimit         = 2048
	acceptedKeysLimit    = 4096
	refusedKeysLimit     = 512
	maxPublishFieldBytes = 200 // maximum length of a publish key and of a publisher's name
	maxConflictRecords   = 5   // maximum number of records in the detail of a version conflict
)

// Machine is the replicated state machine of the configuration group. Apply,
// Snapshot and Restore are called by one goroutine; the read methods may be
// called by any.
type Machine struct {
	fit Fit

	mu       sync.RWMutex // guards the fields below
	applied  uint64
	current  *model.Configuration // immutable; nil before the first publish
	history  []Record             // oldest first, without gaps in the versions
	accepted *keyCache
	refused  *keyCache
}

// NewMachine returns a machine without a configuration that checks guarantees with fit.
func NewMachine(fit Fit) *Machine {
	return &Machine{fit: fit, accepted: newKeyCache(acceptedKeysLimit), refused: newKeyCache(refusedKeysLimit)}
}

// Current returns the accepted configuration, or nil. It must not be changed.
func (m *Machine) Current() *model.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current
}

// History returns up to limit records, newest first; all if limit is 0.
func (m *Machine) History(limit int) []Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := slices.Clone(m.history)
	slices.Reverse(out)
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}

// ChangeSince returns the change from version to the current configuration, or nil if
// there is none. The change holds the whole configuration if the history does not
// reach back to version.
func (m *Machine) ChangeSince(version uint64) *model.ConfigChange {
	m.mu.RLock()
	defer m.mu.RUnlock()
	cur := m.current
	if cur == nil || version >= cur.Version {
		return nil
	}
	ch := model.FullConfigChange(cur)
	if version == 0 || len(m.history) == 0 || version+1 < m.history[0].Version {
		return ch
	}
	ch.From = version
	ch.Changed = nil
	services := servicesByName(cur)
	for _, name := range m.servicesChangedSince(version) {
		if s := services[name]; s != nil {
			ch.Changed = append(ch.Changed, *s)
			continue
		}
		ch.Removed = append(ch.Removed, name)
	}
	return ch
}

// servicesChangedSince returns the sorted names of the services that were changed or
// removed after version.
func (m *Machine) servicesChangedSince(version uint64) []string {
	var touched []string
	for i := range m.history {
		if r := &m.history[i]; r.Version > version {
			touched = append(touched, r.Changed...)
			touched = append(touched, r.Removed...)
		}
	}
	slices.Sort(touched)
	return slices.Compact(touched)
}

// Apply executes a committed publish and returns an *Answer.
func (m *Machine) Apply(index uint64, entry []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	var p Publish
	if err := codec.Unmarshal(entry, &p); err != nil {
		return refused(model.ReasonInternal, "log entry %d: %v", index, err)
	}
	digest, err := p.Digest()
	if err != nil {
		return refused(model.ReasonInternal, "log entry %d: %v", index, err)
	}
	if a := checkKeyAndPublisher(&p); a != nil {
		return a
	}
	if a := m.lookUpAnswer(p.Key, digest); a != nil {
		return a
	}
	a := m.publish(&p)
	cache := m.accepted
	if a.Refusal != nil {
		cache = m.refused
	}
	cache.add(&keyAnswer{Key: p.Key, Digest: digest, Answer: a})
	return a
}

// lookUpAnswer returns the stored answer to a publish key that was used before, or nil
// if the key is new. It refuses a key that was used with different content.
func (m *Machine) lookUpAnswer(key string, digest []byte) *Answer {
	stored := m.accepted.byKey[key]
	if stored == nil {
		stored = m.refused.byKey[key]
	}
	if stored == nil {
		return nil
	}
	if !stored.matches(digest) {
		return refused(model.ReasonPublishKeyReuse, "publish key %q was used before with different content", key)
	}
	return &Answer{Record: stored.Answer.Record, Refusal: stored.Answer.Refusal, Duplicate: true}
}

// publish checks a change against the current configuration and accepts or refuses it.
func (m *Machine) publish(p *Publish) *Answer {
	if v := m.version(); p.Expected != v {
		return &Answer{Refusal: m.conflictRefusal(p.Expected, v)}
	}
	for i := range p.Changed {
		Normalize(&p.Changed[i])
	}
	next, refusal := m.nextConfig(p)
	if refusal != nil {
		return &Answer{Refusal: refusal}
	}
	if issues := Check(next.Services); len(issues) > 0 {
		return &Answer{Refusal: refusalFromIssues(next.Services, issues)}
	}
	if err := m.fit(next); err != nil {
		return refused(model.ReasonGuaranteesTooBig, "%v", err)
	}
	return m.accept(p, next)
}

// checkKeyAndPublisher returns a refusal if the publish key or the publisher is
// missing or too long.
func checkKeyAndPublisher(p *Publish) *Answer {
	for _, f := range []struct{ name, value string }{{"publish_key", p.Key}, {"publisher", p.Publisher}} {
		if f.value == "" || len(f.value) > maxPublishFieldBytes {
			return &Answer{Refusal: model.RefuseField(f.name, "must have 1 to %d bytes", maxPublishFieldBytes)}
		}
	}
	return nil
}

func (m *Machine) version() uint64 {
	if m.current == nil {
		return 0
	}
	return m.current.Version
}

// conflictRefusal returns a version conflict that lists who published the versions
// after the expected one.
func (m *Machine) conflictRefusal(expected, current uint64) *model.Refusal {
	after := m.history
	for len(after) > 0 && after[0].Version <= expected {
		after = after[1:]
	}
	var parts []string
	if omitted := len(after) - maxConflictRecords; omitted > 0 {
		parts = append(parts, fmt.Sprintf("%d earlier ones", omitted))
		after = after[omitted:]
	}
	for i := range after {
		parts = append(parts, after[i].describe())
	}
	detail := fmt.Sprintf("version %d is accepted, not %d", current, expected)
	if len(parts) > 0 {
		detail += ": " + strings.Join(parts, "; ")
	}
	return model.Refuse(model.ReasonVersionConflict, "%s", detail)
}

func (r *Record) describe() string {
	s := fmt.Sprintf("version %d by %q at %s", r.Version, r.Publisher, r.AcceptedAt.UTC().Format(time.RFC3339))
	if len(r.Changed) > 0 {
		s += " changed " + strings.Join(r.Changed, ", ")
	}
	if len(r.Removed) > 0 {
		s += " removed " + strings.Join(r.Removed, ", ")
	}
	return s
}

// nextConfig returns the configuration that results from applying p to the current
// one, or a refusal if p is inconsistent or changes nothing.
func (m *Machine) nextConfig(p *Publish) (*model.Configuration, *model.Refusal) {
	services := servicesByName(m.current)
	seen := map[string]bool{}
	for i := range p.Changed {
		name := p.Changed[i].Name
		if seen[name] {
			return nil, model.RefuseField("changed", "%s", &DuplicateServiceError{Service: name})
		}
		seen[name] = true
	}
	for _, name := range p.Removed {
		if seen[name] {
			return nil, model.RefuseField("removed", "%s", &DuplicateServiceError{Service: name})
		}
		if services[name] == nil {
			return nil, model.RefuseField("removed", "service %q does not exist", name)
		}
		seen[name] = true
	}
	ch := &model.ConfigChange{
		From: p.Expected, To: p.Expected + 1, PublishKey: p.Key, Publisher: p.Publisher,
		AcceptedAt: p.At.UTC(), Changed: p.Changed, Removed: p.Removed,
	}
	nextConfig := ch.ApplyTo(m.current)
	if changed, removed := ChangedServices(m.current, nextConfig); len(changed)+len(removed) == 0 {
		return nil, model.RefuseField("changed", "the content equals version %d", p.Expected)
	}
	return nextConfig, nil
}

// refusalFromIssues returns a refusal with the first issue and the number of the
// others.
func refusalFromIssues(services []model.Service, issues []Issue) *model.Refusal {
	issue := &issues[0]
	path := services[issue.Service].Name + ": " + issue.Path
	detail := issue.Detail
	if issue.Value != "" {
		detail += ", found " + issue.Value
	}
	detail += "; fix: " + issue.Fix
	if n := len(issues) - 1; n > 0 {
		detail += fmt.Sprintf(" (and %d more)", n)
	}
	return model.RefuseField(path, "%s", detail)
}

// accept makes next the current configuration and appends it to the history.
func (m *Machine) accept(p *Publish, next *model.Configuration) *Answer {
	changed, removed := ChangedServices(m.current, next)
	r := Record{
		Version: next.Version, AcceptedAt: next.AcceptedAt, Publisher: p.Publisher, PublishKey: p.Key, Removed: removed,
	}
	for i := range changed {
		r.Changed = append(r.Changed, changed[i].Name)
	}
	m.current = next
	m.history = append(m.history, r)
	if excess := len(m.history) - historyLimit; excess > 0 {
		m.history = slices.Clone(m.history[excess:])
	}
	return &Answer{Record: &r}
}

// snapshotState is the encoded content of a snapshot.
type snapshotState struct {
	Applied  uint64               `cbor:"1,keyasint"`
	Current  *model.Configuration `cbor:"2,keyasint,omitempty"`
	History  []Record             `cbor:"3,keyasint,omitempty"`
	Accepted []*keyAnswer         `cbor:"4,keyasint,omitempty"`
	Refused  []*keyAnswer         `cbor:"5,keyasint,omitempty"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(&snapshotState{
		Applied: m.applied, Current: m.current, History: m.history,
		Accepted: m.accepted.order, Refused: m.refused.order,
	})
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var st snapshotState
	if err := codec.Unmarshal(data, &st); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = st.Applied
	m.current = st.Current
	m.history = st.History
	m.accepted.restore(st.Accepted)
	m.refused.restore(st.Refused)
	return nil
}
