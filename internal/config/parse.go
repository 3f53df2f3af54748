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

// required lists the keys that must be present in each object.
var required = map[reflect.Type][]string{
	reflect.TypeFor[model.Service]():   {"service", "customers", "policy"},
	reflect.TypeFor[model.Customer]():  {"name", "weight", "queue_limit"},
	reflect.TypeFor[model.Guarantee](): {"availability_zone", "shape", "count"},
	reflect.TypeFor[model.Shape]():     {"accelerators"},
	reflect.TypeFor[model.RackSpec]():  {"availability_zone", "racks", "workers_per_rack", "accelerators_per_worker"},
	reflect.TypeFor[model.Policy]():    {"checkpoint_bound_seconds", "fragmentation_weight", "max_failures", "retention_seconds"},
}

// File is one parsed operators' file.
type File struct {
	Name    string
	Service model.Service

	raw       []byte          // nil for a service that was not read from a file
	lines     []int           // offset of each line
	positions map[string]int  // offset of each value by path
	bad       map[string]bool // paths whose value could not be read
	errs      Errors
}

// Parse reads one operators' file and checks it by itself. The returned errors
// are complete for this file; the file's service is usable only if there are
// none.
func Parse(name string, raw []byte) (*File, Errors) {
	if raw == nil {
		raw = []byte{}
	}
	f := &File{Name: name, raw: raw, lines: lineStarts(raw), positions: map[string]int{}, bad: map[string]bool{}}
	if f.bounded() {
		f.parse()
	}
	sortErrors(f.errs)
	return f, f.errs
}

// bounded reports whether the file can be handed to the parser.
func (f *File) bounded() bool {
	switch {
	case len(f.raw) > maxFileBytes:
		f.fail(KindOutOfRange, 0, "", "", fmt.Sprintf("the file is larger than %d bytes", maxFileBytes),
			"split the service's customers into several services")
	case !utf8.Valid(f.raw):
		f.fail(KindSyntax, invalidUTF8(f.raw), "", "", "the file is not valid UTF-8", "save the file as UTF-8")
	default:
		if at, deep := depthExceeded(f.raw); deep {
			f.fail(KindSyntax, at, "", "", fmt.Sprintf("nested deeper than %d levels", maxDepth), "remove the nesting")
		}
	}
	return len(f.errs) == 0
}

func (f *File) parse() {
	v, err := hujson.Parse(f.raw)
	if err != nil {
		f.syntax(err)
		return
	}
	f.decode(&v, reflect.ValueOf(&f.Service).Elem(), "")
	for _, is := range checkService(&f.Service) {
		f.report(is, "")
	}
}

// syntax reports an error of the JSON parser. The parser gives the place only
// as the text "hujson: line L, column C: ".
func (f *File) syntax(err error) {
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

func (f *File) fail(kind Kind, offset int, path, value, detail, fix string) {
	line, column := f.place(offset)
	f.errs = append(f.errs, &FileError{
		Kind: kind, File: f.Name, Line: line, Column: column, Path: path, Value: value, Detail: detail, Fix: fix,
	})
}

// report adds an issue of the file's service. Issues of values that are missing
// or unreadable are left out: those were reported by decode. detail is added to
// the issue's.
func (f *File) report(is Issue, detail string) {
	if f.raw == nil {
		f.errs = append(f.errs, &FileError{
			Kind: is.Kind, File: f.Name, Path: is.Path, Value: is.Value, Detail: is.Detail + detail, Fix: is.Fix,
		})
		return
	}
	at, present := f.positions[is.Path]
	if !present || f.bad[is.Path] {
		return
	}
	f.fail(is.Kind, at, is.Path, is.Value, is.Detail+detail, is.Fix)
}

// where returns "file:line:column" of a path.
func (f *File) where(path string) string {
	if f.raw == nil {
		return f.Name + ": " + path
	}
	line, column := f.place(f.positions[path])
	return fmt.Sprintf("%s:%d:%d", f.Name, line, column)
}

func (f *File) place(offset int) (line, column int) {
	line = sort.SearchInts(f.lines, offset+1)
	start := f.lines[line-1]
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

// depthExceeded returns the offset of the first bracket below maxDepth levels.
// It skips strings and comments.
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
