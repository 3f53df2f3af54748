package config

import (
	"bytes"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Limits on one file. The parser recurses once per level, so the depth is
// checked before it runs.
const (
	maxFileBytes = 1 << 20
	maxDepth     = 32
)

// required lists the keys that must be present in the object of each type.
var required = map[reflect.Type][]string{
	reflect.TypeFor[model.Service]():   {"service", "customers", "policy"},
	reflect.TypeFor[model.Customer]():  {"name", "weight", "queue_limit"},
	reflect.TypeFor[model.Guarantee](): {"availability_zone", "shape", "count"},
	reflect.TypeFor[model.Shape]():     {"accelerators"},
	reflect.TypeFor[model.RackSpec]():  {"availability_zone", "racks", "workers_per_rack", "accelerators_per_worker"},
	reflect.TypeFor[model.Policy]():    {"checkpoint_bound_seconds", "fragmentation_weight", "max_failures", "retention_seconds"},
}

// File is one parsed configuration file.
type File struct {
	Name    string
	Service model.Service

	raw          []byte          // nil for a service that was not read from a file
	lineOffsets  []int           // offset of each line
	valueOffsets map[string]int  // offset of each value by path
	undecoded    map[string]bool // paths whose value could not be decoded
	errs         Errors
}

// Parse parses one configuration file and checks it on its own. It returns all
// errors of the file; the file's service is valid only if there are none.
func Parse(name string, raw []byte) (*File, Errors) {
	if raw == nil {
		raw = []byte{}
	}
	f := &File{Name: name, raw: raw, lineOffsets: lineStarts(raw), valueOffsets: map[string]int{}, undecoded: map[string]bool{}}
	if f.withinLimits() {
		f.parse()
	}
	sortErrors(f.errs)
	return f, f.errs
}

// withinLimits reports whether the file is safe to parse, and adds an error if not.
func (f *File) withinLimits() bool {
	switch {
	case len(f.raw) > maxFileBytes:
		f.addError(KindOutOfRange, 0, "", "", fmt.Sprintf("the file is larger than %d bytes", maxFileBytes),
			"split the service's customers into several services")
	case !utf8.Valid(f.raw):
		f.addError(KindSyntax, invalidUTF8(f.raw), "", "", "the file is not valid UTF-8", "save the file as UTF-8")
	default:
		if at, exceeded := depthExceeded(f.raw); exceeded {
			f.addError(KindSyntax, at, "", "", fmt.Sprintf("nested deeper than %d levels", maxDepth), "remove the nesting")
		}
	}
	return len(f.errs) == 0
}

func (f *File) parse() {
	v, err := hujson.Parse(f.raw)
	if err != nil {
		f.addSyntaxError(err)
		return
	}
	f.decode(&v, reflect.ValueOf(&f.Service).Elem(), "")
	for _, issue := range checkService(&f.Service) {
		f.addIssue(issue, "")
	}
}

// addSyntaxError adds an error of the JSON parser. The parser reports the position
// only in the error text, as "hujson: line L, column C: ".
func (f *File) addSyntaxError(err error) {
	e := &FileError{
		Kind: KindSyntax, File: f.Name, Line: 1, Column: 1, Detail: err.Error(),
		Fix: "correct the JSON; comments and trailing commas are allowed",
	}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		e.Line = line
		e.Column = column
		_, e.Detail, _ = strings.Cut(err.Error(), fmt.Sprintf("column %d: ", column))
	}
	f.errs = append(f.errs, e)
}

func (f *File) addError(kind Kind, offset int, path, value, detail, fix string) {
	line, column := f.position(offset)
	f.errs = append(f.errs, &FileError{
		Kind: kind, File: f.Name, Line: line, Column: column, Path: path, Value: value, Detail: detail, Fix: fix,
	})
}

// addIssue adds an issue of the file's service, with detail appended to the issue's
// detail. Issues of values that are missing or could not be decoded are skipped,
// because decode has already reported these values.
func (f *File) addIssue(issue Issue, detail string) {
	if f.raw == nil {
		f.errs = append(f.errs, &FileError{
			Kind: issue.Kind, File: f.Name, Path: issue.Path, Value: issue.Value, Detail: issue.Detail + detail, Fix: issue.Fix,
		})
		return
	}
	at, present := f.valueOffsets[issue.Path]
	if !present || f.undecoded[issue.Path] {
		return
	}
	f.addError(issue.Kind, at, issue.Path, issue.Value, issue.Detail+detail, issue.Fix)
}

// location returns the position of a path as "file:line:column", or "name: path" for
// a service that was not read from a file.
func (f *File) location(path string) string {
	if f.raw == nil {
		return f.Name + ": " + path
	}
	line, column := f.position(f.valueOffsets[path])
	return fmt.Sprintf("%s:%d:%d", f.Name, line, column)
}

// position returns the line and column of a byte offset. Both start at 1; the column
// counts characters.
func (f *File) position(offset int) (line, column int) {
	line = sort.SearchInts(f.lineOffsets, offset+1)
	start := f.lineOffsets[line-1]
	return line, 1 + utf8.RuneCount(f.raw[start:min(offset, len(f.raw))])
}

// lineStarts returns the offset of the first byte of each line.
func lineStarts(raw []byte) []int {
	out := []int{0}
	for i, b := range raw {
		if b == '\n' {
			out = append(out, i+1)
		}
	}
	return out
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8.
func invalidUTF8(raw []byte) int {
	for i := 0; i < len(raw); {
		r, n := utf8.DecodeRune(raw[i:])
		if r == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
	return 0
}

// depthExceeded returns the offset of the first bracket that is nested deeper than
// maxDepth levels. It skips strings and comments.
func depthExceeded(raw []byte) (int, bool) {
	level := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = skipString(raw, i)
		case '/':
			i = skipComment(raw, i)
		case '{', '[':
			level++
			if level > maxDepth {
				return i, true
			}
		case '}', ']':
			level--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string at i.
func skipString(raw []byte, i int) int {
	for i++; i < len(raw) && raw[i] != '"'; i++ {
		if raw[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i, or i.
func skipComment(raw []byte, i int) int {
	rest := raw[i:]
	end := -1
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		if n := bytes.Index(rest[2:], []byte("*/")); n >= 0 {
			end = n + 3
		}
	default:
		return i
	}
	if end < 0 {
		return len(raw)
	}
	return i + end
}
