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
	s = cutTo(strings.ToValidUTF8(s, "_"), maxLabelBytes)
	s = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '_'
		}
		return r
	}, s)
	return labelEscapes.Replace(s)
}

// maxLoggedBytes bounds a text from outside in a log line.
const maxLoggedBytes = 200

// Cut returns a text from outside for a log line, cut to maxLoggedBytes.
func Cut(s string) string { return cutTo(s, maxLoggedBytes) }

// cutTo cuts a text to at most n bytes, between two characters if it is valid UTF-8.
func cutTo(s string, n int) string {
	if len(s) <= n {
		return s
	}
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}
