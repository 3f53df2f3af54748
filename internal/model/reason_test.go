package model

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against a reason without a counter, that is, a constant missing from
// both lists.
func TestEveryReasonIsListed(t *testing.T) {
	is := is.New(t)
	src, err := os.ReadFile("reason.go")
	is.NoErr(err)
	found := regexp.MustCompile(`Reason = "([a-z_]+)"`).FindAllSubmatch(src, -1)
	is.True(len(found) > 20)
	for _, m := range found {
		r := Reason(m[1])
		if !slices.Contains(RefusalReasons, r) && !slices.Contains(RetryReasons, r) {
			t.Errorf("reason %q is in neither list", r)
		}
	}
}
