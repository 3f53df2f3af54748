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

// Bounds on what the state machine keeps. At the designed 11,000 changes a day
// (7.6 a minute) 2048 records cover 4.5 hours; a zone that was cut off for
// longer gets the whole configuration. 4096 keys cover 9 hours. A resend after
// its key was dropped is still never applied twice, because the version that it
// expects has passed; it gets version_conflict. Refused publishes have a ring of
// their own so that they cannot push out the keys of accepted ones.
const (
	historyLimit      = 2048
	acceptedKeysLimit = 4096
	refusedKeysLimit  = 512
	maxPublishedBytes = 200 // of a publish key and of a publisher's name
	maxConflictShown  = 5   // records in the detail of a version conflict
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
	accepted *keyring
	refused  *keyring
}

// NewMachine returns an empty machine that checks guarantees with fit.
func NewMachine(fit Fit) *Machine {
	return &Machine{fit: fit, accepted: newKeyring(acceptedKeysLimit), refused: newKeyring(refusedKeysLimit)}
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

// Since returns the change from version to the current configuration, or nil if
// there is none. It is the whole configuration if the history does not reach
// back to version.
func (m *Machine) Since(version uint64) *model.ConfigChange {
	m.mu.RLock()
	defer m.mu.RUnlock()
	cur := m.current
	if cur == nil || version >= cur.Version {
		return nil
	}
	ch := model.WholeConfig(cur)
	if version == 0 || len(m.history) == 0 || version+1 < m.history[0].Version {
		return ch
	}
	ch.From = version
	ch.Changed = nil
	services := byName(cur)
	for _, name := range m.touchedSince(version) {
		if s := services[name]; s != nil {
			ch.Changed = append(ch.Changed, *s)
			continue
		}
		ch.Removed = append(ch.Removed, name)
	}
	return ch
}

// touchedSince returns the sorted names of the services that changes after
// version concern.
func (m *Machine) touchedSince(version uint64) []string {
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
	if a := checkPublisher(&p); a != nil {
		return a
	}
	if a := m.answered(p.Key, digest); a != nil {
		return a
	}
	a := m.publish(&p)
	ring := m.accepted
	if a.Refusal != nil {
		ring = m.refused
	}
	ring.add(&remembered{Key: p.Key, Digest: digest, Answer: a})
	return a
}

// answered returns the answer to a key that was used before, or nil.
func (m *Machine) answered(key string, digest []byte) *Answer {
	r := m.accepted.byKey[key]
	if r == nil {
		r = m.refused.byKey[key]
	}
	if r == nil {
		return nil
	}
	if !r.matches(digest) {
		return refused(model.ReasonPublishKeyReuse, "publish key %q was used for a different content", key)
	}
	return &Answer{Record: r.Answer.Record, Refusal: r.Answer.Refusal, Again: true}
}

func (m *Machine) publish(p *Publish) *Answer {
	if v := m.version(); p.Expected != v {
		return &Answer{Refusal: m.conflict(p.Expected, v)}
	}
	for i := range p.Changed {
		Normalize(&p.Changed[i])
	}
	next, err := m.next(p)
	if err != nil {
		return &Answer{Refusal: err}
	}
	if issues := Check(next.Services); len(issues) > 0 {
		return &Answer{Refusal: refusalOf(next.Services, issues)}
	}
	if err := m.fit(next); err != nil {
		return refused(model.ReasonGuaranteesTooBig, "%v", err)
	}
	return m.accept(p, next)
}

func checkPublisher(p *Publish) *Answer {
	for _, f := range []struct{ name, value string }{{"publish_key", p.Key}, {"publisher", p.Publisher}} {
		if f.value == "" || len(f.value) > maxPublishedBytes {
			return &Answer{Refusal: model.RefuseField(f.name, "must have 1 to %d bytes", maxPublishedBytes)}
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

// conflict says who published the versions after the expected one.
func (m *Machine) conflict(expected, current uint64) *model.Refusal {
	after := m.history
	for len(after) > 0 && after[0].Version <= expected {
		after = after[1:]
	}
	var parts []string
	if more := len(after) - maxConflictShown; more > 0 {
		parts = append(parts, fmt.Sprintf("%d earlier ones", more))
		after = after[more:]
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

// next returns the configuration that p asks for.
func (m *Machine) next(p *Publish) (*model.Configuration, *model.Refusal) {
	services := byName(m.current)
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
	next := ch.ApplyTo(m.current)
	if changed, removed := Between(m.current, next); len(changed)+len(removed) == 0 {
		return nil, model.RefuseField("changed", "the content equals version %d", p.Expected)
	}
	return next, nil
}

// refusalOf reports the first issue by its place and the number of the others.
func refusalOf(services []model.Service, issues []Issue) *model.Refusal {
	is := &issues[0]
	path := services[is.Service].Name + ": " + is.Path
	detail := is.Detail
	if is.Value != "" {
		detail += ", found " + is.Value
	}
	detail += "; fix: " + is.Fix
	if n := len(issues) - 1; n > 0 {
		detail += fmt.Sprintf(" (and %d more)", n)
	}
	return model.RefuseField(path, "%s", detail)
}

func (m *Machine) accept(p *Publish, next *model.Configuration) *Answer {
	changed, removed := Between(m.current, next)
	r := Record{
		Version: next.Version, AcceptedAt: next.AcceptedAt, Publisher: p.Publisher, PublishKey: p.Key, Removed: removed,
	}
	for i := range changed {
		r.Changed = append(r.Changed, changed[i].Name)
	}
	m.current = next
	m.history = append(m.history, r)
	if over := len(m.history) - historyLimit; over > 0 {
		m.history = slices.Clone(m.history[over:])
	}
	return &Answer{Record: &r}
}

// state is the snapshot's content.
type state struct {
	Applied  uint64               `cbor:"1,keyasint"`
	Current  *model.Configuration `cbor:"2,keyasint,omitempty"`
	History  []Record             `cbor:"3,keyasint,omitempty"`
	Accepted []*remembered        `cbor:"4,keyasint,omitempty"`
	Refused  []*remembered        `cbor:"5,keyasint,omitempty"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(&state{
		Applied: m.applied, Current: m.current, History: m.history,
		Accepted: m.accepted.order, Refused: m.refused.order,
	})
}

// Restore replaces the state by a snapshot's.
func (m *Machine) Restore(data []byte) error {
	var st state
	if err := codec.Unmarshal(data, &st); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = st.Applied
	m.current = st.Current
	m.history = st.History
	m.accepted.fill(st.Accepted)
	m.refused.fill(st.Refused)
	return nil
}
