package telemetry

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxLabelBytes bounds the value of a label.
const maxLabelBytes = 128

// Labeled returns the name of a metric with one label. The metrics library panics at a name that is
// not valid, so any value is made valid: it is cut to maxLabelBytes, control characters are replaced, and
// what the exposition format reserves is escaped.
func Labeled(name, label, value string) string {
	return name + "{" + label + `="` + labelValue(value) + `"}`
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

func labelValue(s string) string {
	s = strings.ToValidUTF8(s, "_")
	if len(s) > maxLabelBytes {
		cut := maxLabelBytes
		for !utf8.RuneStart(s[cut]) {
			cut--
		}
		s = s[:cut]
	}
	s = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '_'
		}
		return r
	}, s)
	return labelEscapes.Replace(s)
}
