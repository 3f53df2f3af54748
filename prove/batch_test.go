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

// batch is a number of requests that are followed to their answers.
type batch struct {
	r        *run
	caller   *load.Caller
	outcomes []*load.Outcome
	wg       sync.WaitGroup
}

// newBatch returns a batch whose caller uses the given entry instances, or all.
func (r *run) newBatch(entries ...string) *batch {
	if len(entries) == 0 {
		entries = r.entries()
	}
	return &batch{r: r, caller: load.NewCaller(entries)}
}

// send follows one request in the background, beginning with entry number i.
func (b *batch) send(i int, spec model.JobSpec) *load.Outcome {
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

// mix returns the i-th request of a mix: every fourth is a gang, every second is
// repeatable.
func (r *run) mix(prefix string, i int) model.JobSpec {
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

// owned returns the request with a key that the zone owns.
func owned(zone string, s model.JobSpec) model.JobSpec {
	key := s.Key
	for i := 0; model.OwnerZone(zones, s.Customer, s.Key) != zone; i++ {
		s.Key = fmt.Sprintf("%s.%d", key, i)
	}
	return s
}

// sendMix sends n requests at a constant rate over the given time.
func (b *batch) sendMix(prefix string, n int, over time.Duration) {
	for i := range n {
		b.send(i, b.r.mix(prefix, i))
		if over > 0 {
			b.r.sleep(over / time.Duration(n))
		}
	}
}

// wait waits until all requests have their answer.
func (b *batch) wait() {
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

// check compares the answers with the journals and notes the final states.
func (b *batch) check(c load.Checker) {
	b.wait()
	events, err := load.ReadJournals(b.r.path("journals"))
	if err != nil {
		b.r.failf("journals: %v", err)
		return
	}
	found := c.Check(b.outcomes, events)
	for i := range found {
		b.r.failf("%s", &found[i])
	}
	b.r.note("jobs", len(b.outcomes))
	b.noteStates()
}

func (b *batch) noteStates() {
	n := map[model.JobState]int{}
	for _, o := range b.outcomes {
		st := o.State()
		if st == "" {
			st = "none"
		}
		n[st]++
	}
	var parts []string
	for st, k := range n {
		parts = append(parts, fmt.Sprintf("%s:%d", st, k))
	}
	sort.Strings(parts)
	b.r.note("states", strings.Join(parts, ","))
	refused := map[model.Reason]int{}
	for _, o := range b.outcomes {
		for code, k := range o.Refusals {
			refused[code] += k
		}
	}
	parts = nil
	for code, k := range refused {
		parts = append(parts, fmt.Sprintf("%s:%d", strings.ReplaceAll(string(code), " ", "_"), k))
	}
	sort.Strings(parts)
	b.r.note("refused", strings.Join(parts, ","))
}

// mustBeDone fails the proof for each request that f selects and that is not
// done.
func (b *batch) mustBeDone(why string, f func(*load.Outcome) bool) {
	for _, o := range b.outcomes {
		if (f == nil || f(o)) && o.State() != model.Done {
			b.r.failf("%s: %s", why, o)
		}
	}
}

func repeatable(o *load.Outcome) bool { return o.Spec.Repeatable }

// events returns the events of the workers' journals.
func (r *run) events() []standin.Event {
	list, err := load.ReadJournals(r.path("journals"))
	if err != nil {
		r.fatalf("journals: %v", err)
	}
	return list
}

// hash returns the part of a job's id that is the same in every zone.
func hash(s *model.JobSpec) string {
	id := string(model.NewJobID("z", s.Customer, s.Key))
	return id[strings.LastIndexByte(id, '.')+1:]
}

// waitEvent waits for an event of one of the batch's jobs.
func (b *batch) waitEvent(kind standin.EventKind, limit time.Duration) {
	b.r.until(fmt.Sprintf("event %s", kind), limit, func() bool { return b.count(kind) > 0 })
}

// count returns the events of the batch's jobs.
func (b *batch) count(kind standin.EventKind) int {
	mine := map[string]bool{}
	for _, o := range b.outcomes {
		mine[hash(&o.Spec)] = true
	}
	n := 0
	for _, e := range b.r.events() {
		if e.Event == kind && mine[string(e.Job)[strings.LastIndexByte(string(e.Job), '.')+1:]] {
			n++
		}
	}
	return n
}
