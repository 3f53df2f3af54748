package region

import (
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// The log holds an order for a zone without a name. Guards against a process that ends when it applies
// the entry: so would each instance, at each start.
func TestEntryForZoneWithoutNameIsApplied(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	entry, err := codec.Marshal(&batch.Command{Zone: &batch.ZoneChange{Cordon: true, AtMS: 5}})
	is.NoErr(err)
	_, err = c.group.Propose(t.Context(), entry)
	is.NoErr(err)
	is.True(handle(t, c, &request{Ping: &struct{}{}}) != nil)
}
