package batch

import (
	"testing"

	"github.com/matryer/is"
)

// crashBed is a machine with a job "j1" of one unit.
type crashBed struct {
	*is.I
	t   *testing.T
	m   *Machine
	run int
}

func newCrashBed(t *testing.T) *crashBed {
	b := &crashBed{I: is.New(t), t: t, m: newTestMachine(t)}
	b.Equal(apply(t, b.m, submit("j1", "k1", Step{Count: 1})), OK)
	return b
}

// loseRun starts the unit on w1 and ends the run as given, afterMS later.
func (b *crashBed) loseRun(afterMS int64, e End) {
	b.t.Helper()
	b.run++
	e.Unit, e.Run = UnitRef{Job: "j1"}, b.run
	s := Start{Unit: e.Unit, Run: e.Run, Worker: "w1", Incarnation: 1}
	b.Equal(apply(b.t, b.m, &Command{Starts: &Starts{Starts: []Start{s}, AtMS: 1000}}), []bool{true})
	apply(b.t, b.m, &Command{Ends: &Ends{Ends: []End{e}, AtMS: 1000 + afterMS}})
}

func (b *crashBed) job() *Job {
	var j *Job
	b.m.View(func(v *View) { j = v.Job("j1", "c1") })
	return j
}

// Guards against giving up a unit for less than two crashes with no other explanation, and
// against one that is started for ever because it always has company.
func TestUnitIsGivenUpForCrashes(t *testing.T) {
	crash := func(blame Blame) End { return End{How: EndCrashed, Blame: blame} }
	for _, c := range []struct {
		name    string
		blame   []Blame
		givenUp bool
	}{
		{"one", []Blame{BlameSole}, false},
		{"two", []Blame{BlameSole, BlameSole}, true},
		{"company first", []Blame{BlameShared, BlameSole}, false},
		{"company first, then two", []Blame{BlameShared, BlameSole, BlameSole}, true},
		{"four in company, one after others", []Blame{BlameShared, BlameNone, BlameShared, BlameShared}, false},
		{"four in company", []Blame{BlameShared, BlameShared, BlameShared, BlameShared}, true},
		{"four at work", []Blame{BlameNone, BlameNone, BlameNone, BlameNone}, false},
		{"five at work", []Blame{BlameNone, BlameNone, BlameNone, BlameNone, BlameNone}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newCrashBed(t)
			for _, blame := range c.blame {
				b.loseRun(100, crash(blame))
			}
			b.Equal(b.job().State == Failed, c.givenUp)
			b.Equal(b.job().FailedBy == FailedByCrashes, c.givenUp)
		})
	}
}

// Guards against giving up a lasting unit for crashes that are hours apart, and against
// starting one for ever that crashes workers which take long to come back.
func TestCrashAfterLongRunBeginsNewRecord(t *testing.T) {
	b := newCrashBed(t)
	for i := range 10 {
		b.loseRun(crashRecordMS, End{How: EndCrashed, Blame: []Blame{BlameShared, BlameNone}[i%2]})
	}
	b.Equal(b.job().State, Running)
	b.loseRun(crashRecordMS, End{How: EndCrashed, Blame: BlameSole})
	b.loseRun(crashRecordMS, End{How: EndCrashed, Blame: BlameSole})
	b.Equal(b.job().State, Failed)
}

// Guards against taking a worker that is cut off for one that has crashed, and against
// crashes that are not counted because they are known only after the lease has expired.
func TestSilentWorkerIsFoundCrashedLater(t *testing.T) {
	b := newCrashBed(t)
	for range 10 {
		b.loseRun(5000, End{How: EndLeaseExpired, Silent: true})
	}
	b.Equal(b.job().State, Running)
	b.Equal(b.job().UnitGroups[0].Units[0].Crashes.SilentWorkers(), 10)

	b = newCrashBed(t)
	for incarnation := int64(2); incarnation < 6; incarnation++ {
		b.Equal(b.job().State == Failed, false)
		b.run++
		ref := UnitRef{Job: "j1"}
		s := Start{Unit: ref, Run: b.run, Worker: "w1", Incarnation: incarnation - 1}
		b.Equal(apply(t, b.m, &Command{Starts: &Starts{Starts: []Start{s}, AtMS: 1000}}), []bool{true})
		apply(t, b.m, &Command{Ends: &Ends{Ends: []End{{Unit: ref, Run: b.run, How: EndLeaseExpired, Silent: true}}, AtMS: 6000}})
		apply(t, b.m, &Command{Worker: &WorkerChange{Worker: Worker{ID: "w1", Incarnation: incarnation, Service: "s"}}})
	}
	b.Equal(b.job().State, Failed)
}

// Guards against counting a worker as crashed because its silence was remembered from before
// it answered again.
func TestWorkerThatAnswersAgainHasNotCrashed(t *testing.T) {
	b := newCrashBed(t)
	b.loseRun(5000, End{How: EndLeaseExpired, Silent: true})
	b.loseRun(100, End{How: EndStopped})
	apply(t, b.m, &Command{Worker: &WorkerChange{Worker: Worker{ID: "w1", Incarnation: 2, Service: "s"}}})
	b.Equal(b.job().UnitGroups[0].Units[0].Crashes.Suspicion(), 0)
}
