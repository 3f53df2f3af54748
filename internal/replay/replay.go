package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// Options say what is replayed.
type Options struct {
	// TracePath is the file of the trace; it is not read if Events is set.
	TracePath string
	Events    []Event
	// PolicyPath is a file with a policy (JSON with comments) that replaces those
	// of the trace's services; "" keeps them.
	PolicyPath string
	// Naive replays through the naive reference.
	Naive bool
	Rules sched.Rules
	// LoseWork lets jobs that were taken off start from the beginning, as if no
	// checkpoint succeeded.
	LoseWork bool
	// Check is called with each snapshot and its plan; nil is none.
	Check func(*sched.Snapshot, sched.Plan)
	// Watch is called with each step; nil is none. Zones are replayed one after
	// another, each from the start of the trace.
	Watch func(Step)

	policy *model.Policy
}

// Report is the result of a replay, over all availability zones.
type Report struct {
	Zones      int    `json:"zones"`
	Completion Spread `json:"completion"`
	Small      Spread `json:"small_completion"`
	Large      Spread `json:"large_completion"`
	SmallWait  Spread `json:"small_wait"`
	LargeWait  Spread `json:"large_wait"`
	UrgentWait Spread `json:"urgent_wait"`
	// Reclaim is the wait of jobs that found a whole unused guaranteed shape.
	Reclaim         Spread `json:"reclaim"`
	GuaranteeMisses int    `json:"guarantee_misses"`
	// Fragmentation is the time average of the accelerators that stay free after
	// a decision while jobs wait: no waiting job could use them under the policy.
	// Scattered counts those of them that no waiting job could use under any
	// order, because they do not lie together. Both are per zone.
	Fragmentation float64 `json:"fragmentation_accelerators"`
	Scattered     float64 `json:"scattered_accelerators"`
	// LargeStarved is the share of time in which a large job waits although
	// enough accelerators are free.
	LargeStarved float64 `json:"large_starved_share"`
	Free         float64 `json:"free_accelerators"`
	Preemptions  int     `json:"preemptions"`
	Stopped      int     `json:"stopped_over_declared"`
	Rejected     int     `json:"rejected"`
	Failed       int     `json:"failed_or_cancelled"`
	Unfinished   int     `json:"unfinished"`
}

// Run replays a trace. It returns the error of a trace or policy that cannot be
// read.
func Run(o Options) (*Report, error) {
	if err := o.load(); err != nil {
		return nil, err
	}
	total, zones := o.replay()
	return total.report(zones), nil
}

// RunAll replays several traces, at most parallel at the same time, and reports
// on all of them together.
func RunAll(traces [][]Event, o Options, parallel int) (*Report, error) {
	if err := o.load(); err != nil {
		return nil, err
	}
	results := make([]*measures, len(traces))
	zones := 0
	free := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i := range traces {
		zones = max(zones, len(zonesOf(traces[i])))
		wg.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			own := o
			own.Events = traces[i]
			results[i], _ = own.replay()
		})
	}
	wg.Wait()
	total := newMeasures()
	for _, m := range results {
		total.merge(m)
	}
	return total.report(zones), nil
}

// replay replays the events zone by zone.
func (o *Options) replay() (*measures, int) {
	events := attachReports(o.Events)
	total := newMeasures()
	zones := zonesOf(events)
	for _, z := range zones {
		var own []Event
		for i := range events {
			if events[i].Zone == z || events[i].Zone == "" {
				own = append(own, events[i])
			}
		}
		d := newDriver(o, z)
		d.run(own)
		total.merge(d.m)
	}
	return total, len(zones)
}

func (o *Options) load() error {
	if o.Events == nil && o.TracePath != "" {
		f, err := os.Open(o.TracePath)
		if err != nil {
			return errors.Trace(err)
		}
		defer f.Close()
		if o.Events, err = Read(f); err != nil {
			return errors.Trace(err)
		}
	}
	if o.PolicyPath == "" {
		return nil
	}
	raw, err := os.ReadFile(o.PolicyPath)
	if err != nil {
		return errors.Trace(err)
	}
	if raw, err = hujson.Standardize(raw); err != nil {
		return errors.Trace(err)
	}
	o.policy = &model.Policy{}
	return errors.Trace(json.Unmarshal(raw, o.policy))
}

// config puts the policy of the options into a configuration of the trace.
func (o *Options) config(c *model.Configuration) *model.Configuration {
	if o.policy == nil || c == nil {
		return c
	}
	out := *c
	out.Services = slices.Clone(c.Services)
	for i := range out.Services {
		out.Services[i].Policy = *o.policy
	}
	return &out
}

func zonesOf(events []Event) []string {
	var out []string
	for i := range events {
		if z := events[i].Zone; z != "" && !slices.Contains(out, z) {
			out = append(out, z)
		}
	}
	slices.Sort(out)
	return out
}

func (m *measures) merge(o *measures) {
	m.seconds += o.seconds
	m.unusableSum += o.unusableSum
	m.starvedSum += o.starvedSum
	m.freeSum += o.freeSum
	m.idleSum += o.idleSum
	m.complete = append(m.complete, o.complete...)
	m.small = append(m.small, o.small...)
	m.large = append(m.large, o.large...)
	m.smallWait = append(m.smallWait, o.smallWait...)
	m.largeWait = append(m.largeWait, o.largeWait...)
	m.urgentWait = append(m.urgentWait, o.urgentWait...)
	m.reclaims = append(m.reclaims, o.reclaims...)
	m.misses += o.misses
	m.preemptions += o.preemptions
	m.stopped += o.stopped
	m.rejected += o.rejected
	m.unfinished += o.unfinished
	m.failed += o.failed
}

func (m *measures) report(zones int) *Report {
	s := max(m.seconds, 1)
	return &Report{
		Zones: zones, Completion: spread(m.complete), Small: spread(m.small), Large: spread(m.large),
		SmallWait: spread(m.smallWait), LargeWait: spread(m.largeWait), UrgentWait: spread(m.urgentWait),
		Reclaim: spread(m.reclaims), GuaranteeMisses: m.misses,
		Fragmentation: m.idleSum / s, Scattered: m.unusableSum / s, LargeStarved: m.starvedSum / s, Free: m.freeSum / s,
		Preemptions: m.preemptions, Stopped: m.stopped, Rejected: m.rejected, Failed: m.failed, Unfinished: m.unfinished,
	}
}

// JSON returns the report as JSON.
func (r *Report) JSON() ([]byte, error) {
	b, err := json.MarshalIndent(r, "", "  ")
	return b, errors.Trace(err)
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	p := &printer{w: w}
	p.line("availability zones      %d\n", r.Zones)
	p.spread("completion, all jobs", r.Completion)
	p.spread("completion, small jobs", r.Small)
	p.spread("completion, large jobs", r.Large)
	p.spread("wait, small jobs", r.SmallWait)
	p.spread("wait, large jobs", r.LargeWait)
	p.spread("wait, urgent jobs", r.UrgentWait)
	p.spread("reclaim of guarantees", r.Reclaim)
	p.line("guarantee misses        %d\n", r.GuaranteeMisses)
	p.line("fragmentation           %.2f accelerators per zone free while jobs wait\n", r.Fragmentation)
	p.line("scattered               %.2f accelerators per zone free but of no use to any waiting job\n", r.Scattered)
	p.line("large job starved       %.2f%% of the time\n", 100*r.LargeStarved)
	p.line("free accelerators       %.1f per zone\n", r.Free)
	p.line("preemptions             %d\n", r.Preemptions)
	p.line("stopped over declared   %d\n", r.Stopped)
	p.line("rejected                %d\n", r.Rejected)
	p.line("failed or cancelled     %d\n", r.Failed)
	p.line("unfinished at the end   %d\n", r.Unfinished)
	return p.err
}

// printer keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, err := fmt.Fprintf(p.w, format, args...)
		p.err = errors.Trace(err)
	}
}

func (p *printer) spread(name string, s Spread) {
	p.line("%-23s %d jobs, mean %.1f s, p50 %.1f s, p95 %.1f s, p99 %.1f s, max %.1f s\n",
		name, s.Jobs, s.Mean, s.P50, s.P95, s.P99, s.Max)
}
