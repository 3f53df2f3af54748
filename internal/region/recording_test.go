package region

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Thousands of workers announce themselves at once and repeat what was not answered in time. Guards
// against several commits for one worker, against more commits at once than the bound, and against
// slots that are lost with callers that gave up.
func TestRecordingsAreBounded(t *testing.T) {
	is := is.New(t)
	var r recordings
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	first, err := r.begin(t.Context(), "w")
	is.NoErr(err)
	_, err = r.begin(short(), "w")
	is.True(err != nil) // another announcement of the worker is being committed
	var all []func()
	for i := 1; i < maxRecordings; i++ {
		done, err := r.begin(t.Context(), fmt.Sprint("w", i))
		is.NoErr(err)
		all = append(all, done)
	}
	_, err = r.begin(short(), "late")
	is.True(err != nil)
	repeated := make(chan error)
	go func() {
		done, err := r.begin(t.Context(), "w")
		if err == nil {
			done()
		}
		repeated <- err
	}()
	first()
	is.NoErr(<-repeated)
	for _, done := range all {
		done()
	}
	is.Equal(len(r.slots), 0)
	is.Equal(len(r.byWorker), 0)
}
