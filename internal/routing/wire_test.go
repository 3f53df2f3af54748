package routing

import (
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// Guards against a field that is set and never arrives.
func TestMessagesArriveWhole(t *testing.T) {
	is := is.New(t)
	in := &Request{Op: OpSubmit, Submission: 7, Limit: 9, WaitMillis: 3, LeaderOnly: true, Customer: "c"}
	data, err := codec.Marshal(in)
	is.NoErr(err)
	var out Request
	is.NoErr(codec.Unmarshal(data, &out))
	is.Equal(&out, in)
}
