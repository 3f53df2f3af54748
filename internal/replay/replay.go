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

// Options configures a replay.
type Options struct {
	// TracePath is the file of the trace; it is not read if Events is set.
	TracePath string
	Events    []Event
	// PolicyPath is a file with a policy (JSON with comments) that replaces the
	// policies of the trace's services; "" keeps them.
	PolicyPath string
	// Naive makes the naive reference decide instead of the policy.
	Naive bool
	Rules sched.Rules
	// LoseWork makes preempted jobs start from the beginning, as if no checkpoint
	// succeeded.
	LoseWork bool
	// OnDecision, if not nil, is called with each snapshot and its plan.
	OnDecision func(*sched.Snapshot, sched.Plan)
	// OnStep, if not nil, is called with each step. Zones are replayed one after
	// another, each from the start of the trace.
	OnStep func(Step)

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
	// Reclaim is the wait of jobs for which a guaranteed shape of their customer
	// was unused when they were submitted.
	Reclaim         Spread `json:"reclaim"`
	GuaranteeMisses int    `json:"guarantee_misses"`
	// Fragmentation is the time average of the accelerators that stay free after
	// a decision while jobs wait: no waiting job could use them under the policy.
	// Scattered counts those of them that no waiting job could use in any order
	// of starts, because they are not adjacent. Both are per zone.
	Fragmentation float64 `json:"fragmentation_accelerators"`
	Scattered     float64 `json:"scattered_accelerators"`
	// LargeStarved is the share of time during which a large job waits although
	// enough accelerators are free in total.
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
	if err := o.readFiles(); err != nil {
		return nil, err
	}
	total, zones := o.replayZones()
	return total.report(zones), nil
}

// RunAll replays several traces, at most parallel of them concurrently, and
// returns one report over all of them.
func RunAll(traces [][]Event, o Options, parallel int) (*Report, error) {
	if err := o.readFiles(); err != nil {
		return nil, err
	}
	results := make([]*measures, len(traces))
	zones := 0
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i := range traces {
		zones = max(zones, len(zonesOf(traces[i])))
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			opts := o
			opts.Events = traces[i]
			results[i], _ = opts.replayZones()
		})
	}
	wg.Wait()
	total := newMeasures()
	for _, m := range results {
		total.merge(m)
	}
	return total.report(zones), nil
}

// replayZones replays the events zone by zone. It returns the measures over all
// zones and the number of zones.
func (o *Options) replayZones() (*measures, int) {
	events := attachReports(o.Events)
	total := newMeasures()
	zones := zonesOf(events)
	for _, z := range zones {
		var zoneEvents []Event
		for i := range events {
			if events[i].Zone == z || events[i].Zone == "" {
				zoneEvents = append(zoneEvents, events[i])
			}
		}
		d := newDriver(o, z)
		d.run(zoneEvents)
		total.merge(d.results)
	}
	return total, len(zones)
}

// readFiles reads the trace and the policy file that the options name.
func (o *Options) readFiles() error {
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

// withPolicy returns a configuration of the trace with the policy of the options
// in all services.
func (o *Options) withPolicy(c *model.Configuration) *model.Configuration {
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
	m.scatteredSum += o.scatteredSum
	m.starvedSum += o.starvedSum
	m.freeSum += o.freeSum
	m.fragmentationSum += o.fragmentationSum
	m.completions = append(m.completions, o.completions...)
	m.small = append(m.small, o.small...)
	m.large = append(m.large, o.large...)
	m.smallWaits = append(m.smallWaits, o.smallWaits...)
	m.largeWaits = append(m.largeWaits, o.largeWaits...)
	m.urgentWaits = append(m.urgentWaits, o.urgentWaits...)
	m.reclaimWaits = append(m.reclaimWaits, o.reclaimWaits...)
	m.guaranteeMisses += o.guaranteeMisses
	m.preemptions += o.preemptions
	m.stopped += o.stopped
	m.rejected += o.rejected
	m.unfinished += o.unfinished
	m.failed += o.failed
}

func (m *measures) report(zones int) *Report {
	s := max(m.seconds, 1)
	return &Report{
		Zones: zones, Completion: spread(m.completions), Small: spread(m.small), Large: spread(m.large),
		SmallWait: spread(m.smallWaits), LargeWait: spread(m.largeWaits), UrgentWait: spread(m.urgentWaits),
		Reclaim: spread(m.reclaimWaits), GuaranteeMisses: m.guaranteeMisses,
		Fragmentation: m.fragmentationSum / s, Scattered: m.scatteredSum / s, LargeStarved: m.starvedSum / s, Free: m.freeSum / s,
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

// printer writes lines to w until the first error, which it keeps.
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
