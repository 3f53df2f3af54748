package routing

import (
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Guards against a field of a request that is lost in encoding or decoding.
func TestRequestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, in := range []*Request{
		{Submit: &Submit{ID: "z.1", Spec: &model.JobSpec{Customer: "c"}, Submission: 7}, LeaderOnly: true},
		{Cancel: &Cancel{ID: "z.1"}},
		{Get: &Get{ID: "z.1", WaitMillis: 3}},
		{List: &List{Customer: "c"}},
		{List: &List{}},
		{Report: &workerapi.Report{Worker: "w", Job: "z.1", Fence: 4}},
		{View: &View{Part: PartStatus}},
		{Publish: &config.Publish{Expected: 3, Key: "k"}},
		{Accepted: &struct{}{}},
		{History: &History{Limit: 9}},
	} {
		data, err := codec.Marshal(in)
		is.NoErr(err)
		var out Request
		is.NoErr(codec.Unmarshal(data, &out))
		is.Equal(&out, in)
	}
}
