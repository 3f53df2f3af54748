//go:build prove

package prove

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/load"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// jobBatch is a number of requests that are followed to their answers.
type jobBatch struct {
	r        *run
	caller   *load.Caller
	outcomes []*load.Outcome
	wg       sync.WaitGroup
}

// newJobBatch returns a batch whose caller uses the given entry instances, or all.
func (r *run) newJobBatch(entryAddresses ...string) *jobBatch {
	if len(entryAddresses) == 0 {
		entryAddresses = r.entryAddresses()
	}
	return &jobBatch{r: r, caller: load.NewCaller(entryAddresses)}
}

// submit follows one request in the background, beginning with entry number i.
func (b *jobBatch) submit(i int, spec model.JobSpec) *load.Outcome {
	o := &load.Outcome{Spec: spec}
	b.outcomes = append(b.outcomes, o)
	b.wg.Go(func() {
		b.caller.Follow(b.r.ctx, i, o)
		if o.Answer() != nil && i%3 == 0 {
			ctx, cancel := context.WithTimeout(b.r.ctx, 3*time.Second)
			defer cancel()
			b.caller.CrossCheck(ctx, i+1, o)
		}
	})
	return o
}

// mixedSpec returns the i-th request of a mix: every fourth is a gang, every second is
// repeatable.
func (r *run) mixedSpec(prefix string, i int) model.JobSpec {
	s := model.JobSpec{
		Customer: customers[i%len(customers)], Key: fmt.Sprintf("%s-%d-%d", prefix, r.seed, i),
		Repeatable: i%2 == 0, Tasks: 1, Accelerators: 1, CPU: 1, MemoryMiB: 256, EstimatedSeconds: 1,
		Payload: fmt.Sprintf("sleep=%dms", 20+r.rng.IntN(280)),
	}
	if i%4 == 3 {
		s.Tasks = 4
		s.Accelerators = 2
		s.Adjacent = true
		s.Repeatable = i%8 == 7
	}
	return s
}

// withKeyOwnedBy returns the request with a key that the zone owns.
func withKeyOwnedBy(zone string, s model.JobSpec) model.JobSpec {
	key := s.Key
	for i := 0; model.OwnerZone(zones, s.Customer, s.Key) != zone; i++ {
		s.Key = fmt.Sprintf("%s.%d", key, i)
	}
	return s
}

// submitMix sends n requests at a constant rate over the given time.
func (b *jobBatch) submitMix(prefix string, n int, over time.Duration) {
	for i := range n {
		b.submit(i, b.r.mixedSpec(prefix, i))
		if over > 0 {
			b.r.sleep(over / time.Duration(n))
		}
	}
}

// wait waits until all requests have their answer.
func (b *jobBatch) wait() {
	done := make(chan struct{})
	go func() {
		b.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-b.r.ctx.Done():
		<-done // the callers end with the same context
		b.r.failf("time bound passed with requests open")
	}
}

// checkAgainstJournals compares the answers with the journals and notes the final states.
func (b *jobBatch) checkAgainstJournals(c load.Checker) {
	b.wait()
	events, err := load.ReadJournals(b.r.path("journals"))
	if err != nil {
		b.r.failf("journals: %v", err)
		return
	}
	findings := c.Check(b.outcomes, events)
	for i := range findings {
		b.r.failf("%s", &findings[i])
	}
	b.r.addFigure("jobs", len(b.outcomes))
	b.addStateFigures()
}

func (b *jobBatch) addStateFigures() {
	states := map[model.JobState]int{}
	for _, o := range b.outcomes {
		st := o.State()
		if st == "" {
			st = "none"
		}
		states[st]++
	}
	var parts []string
	for st, n := range states {
		parts = append(parts, fmt.Sprintf("%s:%d", st, n))
	}
	sort.Strings(parts)
	b.r.addFigure("states", strings.Join(parts, ","))
	refused := map[model.Reason]int{}
	for _, o := range b.outcomes {
		for code, n := range o.Refusals {
			refused[code] += n
		}
	}
	parts = nil
	for code, n := range refused {
		parts = append(parts, fmt.Sprintf("%s:%d", strings.ReplaceAll(string(code), " ", "_"), n))
	}
	sort.Strings(parts)
	b.r.addFigure("refused", strings.Join(parts, ","))
}

// requireDone fails the proof for each request that f selects and that is not
// done.
func (b *jobBatch) requireDone(why string, selected func(*load.Outcome) bool) {
	for _, o := range b.outcomes {
		if (selected == nil || selected(o)) && o.State() != model.Done {
			b.r.failf("%s: %s", why, o)
		}
	}
}

func isRepeatable(o *load.Outcome) bool { return o.Spec.Repeatable }

// journalEvents returns the events of the workers' journals.
func (r *run) journalEvents() []standin.Event {
	list, err := load.ReadJournals(r.path("journals"))
	if err != nil {
		r.fatalf("journals: %v", err)
	}
	return list
}

// jobIDHash returns the part of a job's id that is the same in every zone.
func jobIDHash(s *model.JobSpec) string {
	id := string(model.NewJobID("z", s.Customer, s.Key))
	return id[strings.LastIndexByte(id, '.')+1:]
}

// waitForEvent waits for an event of one of the batch's jobs.
func (b *jobBatch) waitForEvent(kind standin.EventKind, limit time.Duration) {
	b.r.waitUntil(fmt.Sprintf("event %s", kind), limit, func() bool { return b.countEvents(kind) > 0 })
}

// countEvents returns the events of the batch's jobs.
func (b *jobBatch) countEvents(kind standin.EventKind) int {
	hashes := map[string]bool{}
	for _, o := range b.outcomes {
		hashes[jobIDHash(&o.Spec)] = true
	}
	n := 0
	for _, e := range b.r.journalEvents() {
		if e.Event == kind && hashes[string(e.Job)[strings.LastIndexByte(string(e.Job), '.')+1:]] {
			n++
		}
	}
	return n
}
