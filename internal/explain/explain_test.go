package explain

import (
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// The logs were recorded on a day on which the leader changed while the job ran.
const recorded = "0a913fd8aba69b7f"

// Guards against a story that is out of order, loses a part of the job, or leaves
// out the change of the leader that explains it.
func TestStoryOfRecordedJob(t *testing.T) {
	is := is.New(t)
	control, err := os.Open("testdata/control.log")
	is.NoErr(err)
	defer func() { _ = control.Close() }()
	entry, err := os.Open("testdata/entry.log")
	is.NoErr(err)
	defer func() { _ = entry.Close() }()
	s, err := Read(recorded, control, entry)
	is.NoErr(err)
	is.Equal(s.LeftOut, 3)
	is.Equal(s.Skipped, 2) // a foreign line and a cut one
	var messages []string
	for i, e := range s.Events {
		is.True(i == 0 || !e.Time.Before(s.Events[i-1].Time))
		messages = append(messages, e.Message)
	}
	for _, want := range []string{"submission judged", "job accepted", "run started", "run ended", "job concluded"} {
		is.True(slices.Contains(messages, want))
	}
	is.True(slices.Index(messages, "submission judged") < slices.Index(messages, "run started"))
	is.True(slices.Contains(messages, "leadership begun"))
	is.Equal(s.Events[slices.Index(messages, "job concluded")].Details(recorded) != "", true)
}

// Guards against a story made of another job's lines.
func TestUnknownJobHasNoStory(t *testing.T) {
	is := is.New(t)
	control, err := os.Open("testdata/control.log")
	is.NoErr(err)
	defer func() { _ = control.Close() }()
	s, err := Read("ffffffffffffffff", control)
	is.NoErr(err)
	is.Equal(len(s.Events), 0)
}
