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

// jobBatch is a set of submitted jobs, each followed to its final answer.
type jobBatch struct {
	run      *run
	caller   *load.Caller
	outcomes []*load.Outcome
	wg       sync.WaitGroup
}

// newJobBatch returns a batch whose caller uses the given entry instances, or all
// instances if none is given.
func (r *run) newJobBatch(entryAddresses ...string) *jobBatch {
	if len(entryAddresses) == 0 {
		entryAddresses = r.entryAddresses()
	}
	return &jobBatch{run: r, caller: load.NewCaller(entryAddresses)}
}

// submit submits one job in the background, beginning with entry instance i, and
// follows it to its final answer. Every third answer is cross-checked at the next
// entry instance.
func (b *jobBatch) submit(i int, spec model.JobSpec) *load.Outcome {
	o := &load.Outcome{Spec: spec}
	b.outcomes = append(b.outcomes, o)
	b.wg.Go(func() {
		b.caller.Follow(b.run.ctx, i, o)
		if o.Answer() != nil && i%3 == 0 {
			ctx, cancel := context.WithTimeout(b.run.ctx, 3*time.Second)
			defer cancel()
			b.caller.CrossCheck(ctx, i+1, o)
		}
	})
	return o
}

// mixedSpec returns the i-th specification of a mix: every fourth is a gang. Every
// second gang is repeatable, and so are the other jobs with an even i.
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

// withKeyOwnedBy returns s with a key that makes zone the owner of the job.
func withKeyOwnedBy(zone string, s model.JobSpec) model.JobSpec {
	key := s.Key
	for i := 0; model.OwnerZone(zones, s.Customer, s.Key) != zone; i++ {
		s.Key = fmt.Sprintf("%s.%d", key, i)
	}
	return s
}

// submitMix submits n jobs of the mix at a constant rate over the given time.
func (b *jobBatch) submitMix(prefix string, n int, over time.Duration) {
	for i := range n {
		b.submit(i, b.run.mixedSpec(prefix, i))
		if over > 0 {
			b.run.sleep(over / time.Duration(n))
		}
	}
}

// wait waits until all jobs have their final answer; it records a failure if the
// proof's time limit passes first.
func (b *jobBatch) wait() {
	done := make(chan struct{})
	go func() {
		b.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-b.run.ctx.Done():
		<-done // the callers use the same context, so they return
		b.run.failf("time limit exceeded with requests still open")
	}
}

// checkAgainstJournals waits for all answers, compares them with the workers'
// journals and adds the final states to the result line.
func (b *jobBatch) checkAgainstJournals(c load.Checker) {
	b.wait()
	events, err := load.ReadJournals(b.run.path("journals"))
	if err != nil {
		b.run.failf("journals: %v", err)
		return
	}
	findings := c.Check(b.outcomes, events)
	for i := range findings {
		b.run.failf("%s", &findings[i])
	}
	b.run.addFigure("jobs", len(b.outcomes))
	b.addStateFigures()
}

// addStateFigures adds the number of jobs in each final state and of refusals with
// each code to the result line.
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
	b.run.addFigure("states", strings.Join(parts, ","))
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
	b.run.addFigure("refused", strings.Join(parts, ","))
}

// requireDone records a failure for each selected job that is not done. A nil
// selected means all jobs.
func (b *jobBatch) requireDone(why string, selected func(*load.Outcome) bool) {
	for _, o := range b.outcomes {
		if (selected == nil || selected(o)) && o.State() != model.Done {
			b.run.failf("%s: %s", why, o)
		}
	}
}

func isRepeatable(o *load.Outcome) bool { return o.Spec.Repeatable }

// journalEvents returns the events in the journals of all workers.
func (r *run) journalEvents() []standin.Event {
	list, err := load.ReadJournals(r.path("journals"))
	if err != nil {
		r.fatalf("journals: %v", err)
	}
	return list
}

// jobIDHash returns the hash at the end of a job's id, which is the same in every
// zone.
func jobIDHash(s *model.JobSpec) string {
	id := string(model.NewJobID("z", s.Customer, s.Key))
	return id[strings.LastIndexByte(id, '.')+1:]
}

// waitForEvent waits until a journal has an event of this kind for one of the
// batch's jobs.
func (b *jobBatch) waitForEvent(kind standin.EventKind, limit time.Duration) {
	b.run.waitUntil(fmt.Sprintf("event %s", kind), limit, func() bool { return b.countEvents(kind) > 0 })
}

// countEvents returns the number of events of this kind in the journals that belong
// to the batch's jobs.
func (b *jobBatch) countEvents(kind standin.EventKind) int {
	hashes := map[string]bool{}
	for _, o := range b.outcomes {
		hashes[jobIDHash(&o.Spec)] = true
	}
	n := 0
	for _, e := range b.run.journalEvents() {
		if e.Event == kind && hashes[string(e.Job)[strings.LastIndexByte(string(e.Job), '.')+1:]] {
			n++
		}
	}
	return n
}
