package explain

import (
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// recordedJob is a job of the recorded logs. The leader changed while it ran.
const recordedJob = "0a913fd8aba69b7f"

// Guards against a timeline that is out of order, lacks a part of the job, or omits the
// change of the leader that explains it.
func TestTimelineOfRecordedJob(t *testing.T) {
	is := is.New(t)
	control, err := os.Open("testdata/control.log")
	is.NoErr(err)
	defer func() { _ = control.Close() }()
	entry, err := os.Open("testdata/entry.log")
	is.NoErr(err)
	defer func() { _ = entry.Close() }()
	timeline, err := Read(recordedJob, control, entry)
	is.NoErr(err)
	is.Equal(timeline.LeftOut, 3)
	is.Equal(timeline.Skipped, 2) // one line of another program and one truncated line
	var messages []string
	for i, e := range timeline.Events {
		is.True(i == 0 || !e.Time.Before(timeline.Events[i-1].Time))
		messages = append(messages, e.Message)
	}
	for _, want := range []string{"submission judged", "job accepted", "run started", "run ended", "job concluded"} {
		is.True(slices.Contains(messages, want))
	}
	is.True(slices.Index(messages, "submission judged") < slices.Index(messages, "run started"))
	is.True(slices.Contains(messages, "leadership begun"))
	is.Equal(timeline.Events[slices.Index(messages, "job concluded")].Details(recordedJob) != "", true)
}

// Guards against a timeline that contains lines of other jobs.
func TestUnknownJobHasNoEvents(t *testing.T) {
	is := is.New(t)
	control, err := os.Open("testdata/control.log")
	is.NoErr(err)
	defer func() { _ = control.Close() }()
	timeline, err := Read("ffffffffffffffff", control)
	is.NoErr(err)
	is.Equal(len(timeline.Events), 0)
}
