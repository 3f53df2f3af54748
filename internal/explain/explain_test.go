package explain

import (
	"os"
	"slices"
	"strings"
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

// Guards against a log that ends at its first very long line, and against skipped lines
// without a reason.
func TestUnreadableLinesAreCountedByReason(t *testing.T) {
	is := is.New(t)
	log := `{"ts":"2026-07-16T02:00:00Z","msg":"a","instance":"c1"}` + "\n" +
		"{" + strings.Repeat("x", 2*maxLine) + "}\n" +
		"Jul 16 host kernel: link is up\n\n" +
		`{"ts":"2026-07-16T02:00:01Z","msg":"cut o` + "\n" +
		`{"level":"info"}` + "\n" +
		`{"ts":"2026-07-16T02:00:02Z","msg":"b","instance":"c1"}`
	var messages []string
	skipped, _, err := Scan(strings.NewReader(log), func(e Event) { messages = append(messages, e.Message) })
	is.NoErr(err)
	is.Equal(messages, []string{"a", "b"})
	is.Equal(skipped, SkipCounts{SkipTooLong: 1, SkipNoObject: 1, SkipCutShort: 1, SkipNoMessage: 1})
	is.Equal(skipped.String(), "4 lines could not be read (1 cut short, 1 longer than 1 MiB, 1 not of an instance, 1 without time or message)")
}

// Guards against a timeline that is buried under the configurations which a restarted
// instance applies again.
func TestReplayedConfigurationsAreLeftOut(t *testing.T) {
	is := is.New(t)
	log := `{"ts":"2026-07-16T02:00:00Z","msg":"configuration in force","instance":"c1","version":7}
{"ts":"2026-07-16T02:00:00.1Z","msg":"job recorded","instance":"c1","job":"j1"}
{"ts":"2026-07-16T02:00:00.2Z","msg":"configuration in force","instance":"c2","version":3}
{"ts":"2026-07-16T02:00:00.3Z","msg":"configuration in force","instance":"c2","version":7}
{"ts":"2026-07-16T02:00:00.4Z","msg":"configuration in force","instance":"c1","version":9}
`
	timeline, err := Read("j1", strings.NewReader(log))
	is.NoErr(err)
	var versions []int64
	for _, e := range timeline.Events {
		if e.Message == configMessage {
			versions = append(versions, e.Number("version"))
		}
	}
	is.Equal(versions, []int64{7, 7, 9})
}

// Guards against a step whose wait is unexplained because a zone was cordoned long before
// the job, and against a timeline that takes a zone for cordoned because an instance applied
// its log again.
func TestCordonedZoneExplainsWait(t *testing.T) {
	is := is.New(t)
	log := `{"ts":"2026-07-16T02:00:00Z","msg":"zone cordoned","instance":"c1","zone":"z1","generation":1}
{"ts":"2026-07-16T02:00:00.1Z","msg":"zone cordoned","instance":"c2","zone":"z1","generation":1}
{"ts":"2026-07-16T02:00:01Z","msg":"zone cordoned","instance":"c1","zone":"z2","generation":1}
{"ts":"2026-07-16T02:01:00Z","msg":"zone uncordoned","instance":"c1","zone":"z2","generation":2}
{"ts":"2026-07-16T02:02:00Z","msg":"zone cordoned","instance":"c3","zone":"z2","generation":1}
{"ts":"2026-07-16T02:09:00Z","msg":"step waits for room","instance":"c1","job":"j1"}
{"ts":"2026-07-16T02:09:01Z","msg":"zone uncordoned","instance":"c1","zone":"z1","generation":2}
{"ts":"2026-07-16T02:09:02Z","msg":"step waits for room","instance":"c1","job":"j1"}
`
	timeline, err := Read("j1", strings.NewReader(log))
	is.NoErr(err)
	var lines []string
	for _, e := range timeline.Events {
		lines = append(lines, e.Message+" "+e.Details("j1"))
	}
	is.Equal(lines, []string{
		"zone cordoned generation=1 zone=z1", "step waits for room cordonedZones=[z1]", "zone uncordoned generation=2 zone=z1", "step waits for room ",
	})
}
