package telemetry

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// Guards against a text from outside that makes the name of a metric invalid: the metrics library
// panics at it.
func FuzzLabeled(f *testing.F) {
	for _, s := range []string{"", "plain", `unit needs more "gpu" than is left`, `\`, `a\"`, "a\nb", "\xff\x00", strings.Repeat("é", 100), `"},x="`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		name := Labeled("teaselpaddle_test_total", "reason", s)
		if err := metrics.ValidateMetric(name); err != nil {
			t.Error(err)
		}
		if !utf8.ValidString(name) || len(name) > 2*maxLabelBytes+100 {
			t.Errorf("label of %q is %q", s, name)
		}
	})
}

// Guards against values that are told apart no more although they are valid.
func TestValidLabelsAreKept(t *testing.T) {
	is := is.New(t)
	is.Equal(Labeled("m", "customer", "ministry-of-works"), `m{customer="ministry-of-works"}`)
	is.Equal(Labeled("m", "customer", `a "b" \c é`), `m{customer="a \"b\" \\c é"}`)
}
