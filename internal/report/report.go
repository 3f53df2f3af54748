// Package report draws what happened in a region from the logs of its instances:
// the queue, the accelerators in use by customer, what was borrowed and taken back,
// refusals, changes of the leader and of the configuration.
package report

import (
	"io"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/explain"
)

// Change is a point in time at which something for the whole region happened.
type Change struct {
	Time time.Time
	What string
	// Leader is set for a change of the leader; the plots show it as a line.
	Leader bool
}

// point is a value that holds from a time on.
type point struct {
	at    time.Time
	value float64
}

// series is a named line of a plot.
type series struct {
	name   string
	points []point
}

// Report is what the logs show.
type Report struct {
	From, To time.Time
	Changes  []Change
	Totals   []Total
	// Skipped counts lines that could not be read, LeftOut lines that instances did
	// not write because their reader was slow. Both make the plots too low.
	Skipped, LeftOut int
	// Replayed is set if the report shows what the decision code makes of a recorded
	// trace, and not what happened.
	Replayed bool

	queue    []series // jobs accepted and not begun; steps are not counted
	customer []series // accelerators in use by customer
	use      []series // accelerators in use: guaranteed, other; taken back
	refused  []series // refusals a second by reason
}

// Total is a count over the whole time.
type Total struct {
	What  string
	Count int
}

// NoEventsError says that no line of the logs could be read.
type NoEventsError struct{ Skipped int }

func (e *NoEventsError) Error() string {
	return "the logs have no line of a teaselpaddle instance"
}

// Read reads logs in any order. Its error is a *NoEventsError or that of a reader.
func Read(logs ...io.Reader) (*Report, error) {
	r := &Report{}
	var all []explain.Event
	for _, l := range logs {
		skipped, leftOut, err := explain.Scan(l, func(e explain.Event) { all = append(all, e) })
		r.Skipped += skipped
		r.LeftOut += leftOut
		if err != nil {
			return nil, err
		}
	}
	if len(all) == 0 {
		return nil, &NoEventsError{Skipped: r.Skipped}
	}
	r.count(all)
	return r, nil
}

// count makes the report from events in any order.
func (r *Report) count(all []explain.Event) {
	slices.SortStableFunc(all, func(a, b explain.Event) int { return a.Time.Compare(b.Time) })
	r.From, r.To = all[0].Time, all[len(all)-1].Time
	c := newCounter()
	for i := range all {
		c.take(&all[i])
	}
	c.fill(r)
}
