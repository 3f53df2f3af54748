// Package report plots what happened in a region from the logs of its instances: the
// length of the queue, the accelerators in use by customer, borrowed and reclaimed
// accelerators, refusals, and changes of the leader and of the configuration. It also
// computes an upper bound on the jobs that could have been completed on time.
package report

import (
	"io"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/explain"
)

// Change is an event that concerns the whole region.
type Change struct {
	Time        time.Time
	Description string
	// Leader is set for a change of the leader, which the plots show as a dashed line.
	Leader bool
}

// point is a value that holds from the given time until the next point.
type point struct {
	from  time.Time
	value float64
}

// series is a named line of a plot, with its points in order of time.
type series struct {
	name   string
	points []point
}

// Report holds the changes, totals and plotted series of the logs.
type Report struct {
	From, To time.Time
	Changes  []Change
	Totals   []Total
	// Skipped counts lines that could not be read, LeftOut lines that instances
	// dropped because the reader of their log was slow. Both make the plots too low.
	Skipped explain.SkipCounts
	LeftOut int
	// Replayed is set if the report shows the replay of a recorded trace through the
	// decision code, and not what happened.
	Replayed bool

	queue      []series // accepted jobs that have not started; steps are not counted
	byCustomer []series // accelerators in use by customer
	use        []series // accelerators in use by guaranteed and by other jobs, and accelerators reclaimed
	refusals   []series // refusals per second by reason
}

// Total is a named count over the whole time of the logs.
type Total struct {
	Name  string
	Count int
}

// NoEventsError reports that the logs hold no readable line.
type NoEventsError struct{ Skipped explain.SkipCounts }

func (e *NoEventsError) Error() string {
	return "the logs have no line of a teaselpaddle instance; " + e.Skipped.String()
}

// Read makes a report from logs in any order. Its error is a *NoEventsError or that of
// a reader.
func Read(logs ...io.Reader) (*Report, error) {
	r := &Report{}
	var events []explain.Event
	for _, l := range logs {
		skipped, leftOut, err := explain.Scan(l, func(e explain.Event) { events = append(events, e) })
		r.Skipped = r.Skipped.Add(skipped)
		r.LeftOut += leftOut
		if err != nil {
			return nil, err
		}
	}
	if len(events) == 0 {
		return nil, &NoEventsError{Skipped: r.Skipped}
	}
	r.build(events)
	return r, nil
}

// build fills the report from events in any order.
func (r *Report) build(events []explain.Event) {
	slices.SortStableFunc(events, func(a, b explain.Event) int { return a.Time.Compare(b.Time) })
	r.From, r.To = events[0].Time, events[len(events)-1].Time
	c := newAggregator()
	for i := range events {
		c.process(&events[i])
	}
	c.fillReport(r)
}
