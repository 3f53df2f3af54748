package link

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an error that ends in "<nil>" instead of saying what is wrong.
func TestFrameErrorWithoutCause(t *testing.T) {
	is := is.New(t)
	is.True(!strings.Contains((&FrameError{Peer: "i"}).Error(), "nil"))
	is.True(strings.Contains((&FrameError{Peer: "i", Cause: &ClosedError{}}).Error(), (&ClosedError{}).Error()))
}
