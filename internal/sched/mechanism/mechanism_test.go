package mechanism

import (
	"slices"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against a misspelt name that switches nothing off without a word.
func TestUnknownNames(t *testing.T) {
	is := is.New(t)
	s, err := NewSet([]Name{Claims, Headroom})
	is.NoErr(err)
	is.True(s[Claims] && s[Headroom] && !s[Locality])
	_, err = NewSet([]Name{Claims, "claim"})
	var unknown *UnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Name, Name("claim"))
	is.True(slices.IsSorted(All))
}
