package config

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
)

// The seed is fixed so that every run checks the same cases.
func init() { _ = flag.Set("rapid.seed", "20260501") }

// service returns a valid service; services with different weights differ.
func service(name string, weight int) model.Service {
	return model.Service{
		Name:      name,
		Customers: []model.Customer{{Name: "c-" + name, Weight: weight, QueueLimit: 10}},
		Policy:    model.Policy{MaxFailures: 3, RetentionSeconds: 3600},
	}
}

var baseTime = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

// publishTo applies a publish to a machine.
func publishTo(t interface{ Fatal(...any) }, m *Machine, index uint64, p Publish) *Answer {
	p.At = baseTime.Add(time.Duration(index) * time.Second)
	entry, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(index, entry).(*Answer)
}

// Guards against two concurrent publishers that both succeed, and against a version
// conflict that does not say who published what and when.
func TestOnePublisherWins(t *testing.T) {
	is := is.New(t)
	m := NewMachine(FitSums)
	group := replica.NewLocal("a", m)
	var wg sync.WaitGroup
	answers := make([]*Answer, 8)
	for i := range answers {
		wg.Go(func() {
			p := Publish{At: baseTime, Key: fmt.Sprint("k", i), Publisher: fmt.Sprint("op", i), Changed: []model.Service{service("s", i+1)}}
			entry, _ := p.Encode()
			out, _ := group.Propose(t.Context(), entry)
			answers[i] = out.(*Answer)
		})
	}
	wg.Wait()
	winner := m.Current().Publisher
	for i, a := range answers {
		if a.Refusal == nil {
			is.Equal(winner, fmt.Sprint("op", i))
			continue
		}
		is.Equal(a.Refusal.Reason, model.ReasonVersionConflict)
		is.Equal(a.Refusal.Detail, fmt.Sprintf("version 1 is accepted, not 0: version 1 by %q at 2026-05-01T12:00:00Z changed s", winner))
	}
	is.Equal(len(m.History(0)), 1)
}

// Guards against a resend that is applied twice or gets another answer, and against
// reuse of a key with different content.
func TestPublishKeys(t *testing.T) {
	is := is.New(t)
	m := NewMachine(FitSums)
	first := Publish{Key: "k", Publisher: "op", Changed: []model.Service{service("s", 1)}}
	a := publishTo(t, m, 1, first)
	is.Equal(a.Record.Version, uint64(1))
	publishTo(t, m, 2, Publish{Expected: 1, Key: "l", Publisher: "op", Changed: []model.Service{service("t", 1)}})
	resent := publishTo(t, m, 3, first)
	is.True(resent.Duplicate)
	is.Equal(resent.Record, a.Record)
	other := first
	other.Changed = []model.Service{service("s", 2)}
	is.Equal(publishTo(t, m, 4, other).Refusal.Reason, model.ReasonPublishKeyReuse)
	stale := Publish{Key: "m", Publisher: "op", Changed: []model.Service{service("u", 1)}}
	refusal := publishTo(t, m, 5, stale).Refusal
	is.Equal(refusal.Reason, model.ReasonVersionConflict)
	publishTo(t, m, 6, Publish{Expected: 2, Key: "n", Publisher: "op", Removed: []string{"t"}})
	is.Equal(publishTo(t, m, 7, stale).Refusal.Detail, refusal.Detail) // the stored answer, not a new one
	is.Equal(m.Current().Version, uint64(3))
}

// Guards against accepting a publish that only the client has checked.
func TestPublishIsValidated(t *testing.T) {
	bad := service("s", 0)
	big := service("s", 1)
	big.Racks = []model.RackSpec{{AvailabilityZone: "z", Racks: 1, WorkersPerRack: 1, AcceleratorsPerWorker: 8}}
	big.Customers[0].Guarantees = []model.Guarantee{{AvailabilityZone: "z", Shape: model.Shape{Accelerators: 8}, Count: 2}}
	foreign := service("u", 1)
	foreign.Customers[0].Name = "c-t"
	ok := service("s", 1)
	cases := []struct {
		name    string
		publish Publish
		reason  model.Reason
		detail  string
	}{
		{"no key", Publish{Publisher: "op", Changed: []model.Service{ok}}, model.ReasonInvalid, "must have 1 to 200 bytes"},
		{"no publisher", Publish{Key: "k", Changed: []model.Service{ok}}, model.ReasonInvalid, "must have 1 to 200 bytes"},
		{"range", Publish{Changed: []model.Service{bad}}, model.ReasonInvalid, "must be between 1 and 1000, found 0"},
		{"does not fit", Publish{Changed: []model.Service{big}}, model.ReasonGuaranteesTooBig, "guarantees of 16 accelerators"},
		{"customer of another service", Publish{Changed: []model.Service{foreign}}, model.ReasonInvalid, "the customer is given twice"},
		{"twice", Publish{Changed: []model.Service{ok, ok}}, model.ReasonInvalid, "listed twice"},
		{"changed and removed", Publish{Changed: []model.Service{service("t", 2)}, Removed: []string{"t"}}, model.ReasonInvalid, "listed twice"},
		{"removed is not there", Publish{Removed: []string{"s"}}, model.ReasonInvalid, "does not exist"},
		{"nothing changes", Publish{Changed: []model.Service{service("t", 1)}}, model.ReasonInvalid, "equals version 1"},
		{"empty", Publish{}, model.ReasonInvalid, "equals version 1"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine(FitSums)
			publishTo(t, m, 1, Publish{Key: "first", Publisher: "op", Changed: []model.Service{service("t", 1)}})
			p := c.publish
			p.Expected = 1
			if i > 1 { // the first two cases test a missing key and a missing publisher
				p.Key = "k"
				p.Publisher = "op"
			}
			a := publishTo(t, m, 2, p)
			is.True(a.Refusal != nil)
			is.Equal(a.Refusal.Reason, c.reason)
			is.True(strings.Contains(a.Refusal.Detail, c.detail)) // got another detail
			is.Equal(m.Current().Version, uint64(1))
		})
	}
}

// Guards against a change that does not turn a zone's version into the current one, and
// against a replica that differs from the others after a restore.
func TestChangeSinceReachesCurrent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := NewMachine(FitSums)
		seen := []*model.Configuration{nil}
		steps := rapid.SliceOfN(rapid.IntRange(0, 39), 1, 40).Draw(rt, "steps")
		for i, step := range steps {
			name := fmt.Sprint("s", step%5)
			p := Publish{Expected: uint64(len(seen) - 1), Key: fmt.Sprint("k", i), Publisher: "op"}
			if step%4 == 3 {
				p.Removed = []string{name}
			} else {
				p.Changed = []model.Service{service(name, 1+step)}
			}
			if a := publishTo(rt, m, uint64(i+1), p); a.Refusal == nil {
				seen = append(seen, m.Current())
			}
		}
		for _, old := range seen {
			var version uint64
			if old != nil {
				version = old.Version
			}
			got := old
			if ch := m.ChangeSince(version); ch != nil {
				got = ch.ApplyTo(old)
			}
			if len(Differences(got, m.Current())) > 0 || (got != nil && got.Version != m.Current().Version) {
				rt.Fatalf("from version %d: got %+v, want %+v", version, got, m.Current())
			}
		}
		data, err := m.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		restored := NewMachine(FitSums)
		if err := restored.Restore(data); err != nil {
			rt.Fatal(err)
		}
		p := Publish{Expected: uint64(len(seen) - 1), Key: "last", Publisher: "op", Changed: []model.Service{service("z", 1)}}
		publishTo(rt, m, 100, p)
		publishTo(rt, restored, 100, p)
		x, _ := m.Snapshot()
		y, _ := restored.Snapshot()
		if string(x) != string(y) {
			rt.Fatal("a restored replica differs")
		}
	})
}

// Guards against a history and keys that grow without bound, and against an incomplete
// change for a zone with an old version.
func TestHistoryAndKeysAreBounded(t *testing.T) {
	is := is.New(t)
	m := NewMachine(FitSums)
	const publishes = historyLimit + 10
	for i := range uint64(publishes) {
		publishTo(t, m, i+1, Publish{Expected: i, Key: fmt.Sprint("k", i), Publisher: "op", Changed: []model.Service{service("s", 1+int(i%2))}})
	}
	is.Equal(len(m.History(0)), historyLimit)
	is.Equal(m.History(1)[0].Version, uint64(publishes))
	is.Equal(m.ChangeSince(9).From, uint64(0))
	is.Equal(m.ChangeSince(10).From, uint64(10))
	is.Equal(m.ChangeSince(publishes), nil)
	for i := range uint64(refusedKeysLimit + acceptedKeysLimit) {
		publishTo(t, m, publishes+i+1, Publish{Key: fmt.Sprint("r", i), Publisher: "op"})
	}
	is.Equal(len(m.refused.order), refusedKeysLimit)
	is.Equal(len(m.accepted.byKey), publishes) // refused keys do not evict accepted ones
}
