// Package strictjson decodes JSON from people or other programs and refuses input
// that encoding/json accepts silently: unknown and duplicate keys, keys in a
// different letter case, null for scalars, invalid UTF-8 and unpaired surrogates.
// It reports the problems of a document with their paths and lines.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Limits bound the work for one document.
type Limits struct {
	Nesting int // levels of arrays and objects
	Tokens  int // keys, values and brackets
}

// maxProblems is the maximum number of problems reported for one document.
const maxProblems = 20

// Problem is one error in a document.
type Problem struct {
	// Path names the value, for example "instances[2].name"; empty for the whole
	// document.
	Path   string
	Line   int // starts at 1; 0 if it is not known
	Detail string
}

func (p *Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	return b.String() + p.Detail
}

// Error lists the problems of a document.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	var parts []string
	for i := range e.Problems {
		parts = append(parts, e.Problems[i].String())
	}
	return strings.Join(parts, "; ")
}

// Decode decodes data into v, a pointer. The error is an *Error.
func Decode(data []byte, v any, l Limits) error {
	c := &checker{data: data, limits: l, dec: json.NewDecoder(bytes.NewReader(data))}
	c.dec.UseNumber()
	if c.checkEncoding() {
		c.checkDocument(reflect.TypeOf(v).Elem())
	}
	if len(c.problems) > 0 {
		return &Error{Problems: c.problems}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &Error{Problems: []Problem{{Detail: err.Error()}}}
	}
	return nil
}

// Lines returns the line of each value of a valid document by path.
func Lines(data []byte, v any) map[string]int {
	c := &checker{
		data: data, limits: Limits{Nesting: 64, Tokens: 1 << 20},
		dec: json.NewDecoder(bytes.NewReader(data)), lines: map[string]int{},
	}
	c.dec.UseNumber()
	c.checkDocument(reflect.TypeOf(v).Elem())
	return c.lines
}

// checker checks a document against a Go type.
type checker struct {
	data     []byte
	dec      *json.Decoder
	limits   Limits
	tokens   int
	depth    int
	problems []Problem
	lines    map[string]int // nil if not wanted
	stopped  bool           // the rest of the document is not checked
}

// line returns the line of the decoder's position.
func (c *checker) line() int {
	at := min(int(c.dec.InputOffset()), len(c.data))
	return 1 + bytes.Count(c.data[:at], []byte{'\n'})
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Line: c.line(), Detail: fmt.Sprintf(format, args...)})
	if len(c.problems) >= maxProblems {
		c.stopped = true
	}
}

// fatal adds a problem after which the rest of the document cannot be checked.
func (c *checker) fatal(path, format string, args ...any) {
	c.add(path, format, args...)
	c.stopped = true
}

// checkEncoding reports whether the document is valid UTF-8 without unpaired
// surrogates. If it is not, checkEncoding adds a problem.
func (c *checker) checkEncoding() bool {
	switch {
	case !utf8.Valid(c.data):
		c.problems = append(c.problems, Problem{Detail: "is not valid UTF-8"})
	case hasUnpairedSurrogate(c.data):
		c.problems = append(c.problems, Problem{Detail: "has a \\u escape of an unpaired surrogate"})
	}
	return len(c.problems) == 0
}

// hasUnpairedSurrogate reports whether data has a \u escape of a surrogate that is not
// part of a pair. encoding/json would replace it, so that different strings become equal.
func hasUnpairedSurrogate(data []byte) bool {
	for i := 0; i+1 < len(data); i++ {
		if data[i] != '\\' {
			continue
		}
		i++
		if data[i] != 'u' {
			continue
		}
		u := parseHexEscape(data, i+1)
		if u < 0xd800 || u > 0xdfff {
			continue
		}
		low := -1
		if i+6 < len(data) && data[i+5] == '\\' && data[i+6] == 'u' {
			low = parseHexEscape(data, i+7)
		}
		if u > 0xdbff || low < 0xdc00 || low > 0xdfff {
			return true
		}
		i += 10
	}
	return false
}

// parseHexEscape returns the value of the four hex digits at i, or -1.
func parseHexEscape(data []byte, i int) int {
	if i+4 > len(data) {
		return -1
	}
	n, err := strconv.ParseUint(string(data[i:i+4]), 16, 16)
	if err != nil {
		return -1
	}
	return int(n)
}

func (c *checker) checkDocument(t reflect.Type) {
	c.checkValue(t, "")
	if c.stopped {
		return
	}
	if _, err := c.dec.Token(); err != io.EOF {
		c.fatal("", "has data after the JSON value")
	}
}

// nextToken returns the next token, which is nil for null. If there is no token or
// the limit is exceeded, it adds a problem, sets stopped and returns nil.
func (c *checker) nextToken(path string) json.Token {
	c.tokens++
	if c.tokens > c.limits.Tokens {
		c.fatal("", "has more than %d values and keys", c.limits.Tokens)
		return nil
	}
	tok, err := c.dec.Token()
	if err == nil {
		return tok
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		c.fatal(path, "ends unexpectedly")
	} else {
		c.fatal(path, "is not JSON: %v", err)
	}
	return nil
}

// checkValue checks the next value against t. A nil t accepts any value.
func (c *checker) checkValue(t reflect.Type, path string) {
	tok := c.nextToken(path)
	if c.stopped {
		return
	}
	if c.lines != nil {
		c.lines[path] = c.line()
	}
	c.checkToken(tok, t, path)
}

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// checkedType returns the type to check a value against: t without pointers, or nil for
// interfaces and types that decode themselves.
func checkedType(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || t.Kind() == reflect.Interface || reflect.PointerTo(t).Implements(jsonUnmarshalerType) {
		return nil
	}
	return t
}

// isText reports whether values of t are JSON strings. []byte is a base64 string.
func isText(t reflect.Type) bool {
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8 {
		return true
	}
	return t.Kind() == reflect.String || reflect.PointerTo(t).Implements(textUnmarshalerType)
}

// canBeNull reports whether null decodes to nil for t, which has the same meaning as
// omitting the key.
func canBeNull(t reflect.Type) bool {
	if t == nil {
		return true
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map, reflect.Interface:
		return true
	}
	return false
}

func (c *checker) checkToken(tok json.Token, t reflect.Type, path string) {
	if tok == nil && canBeNull(t) {
		return
	}
	t = checkedType(t)
	switch x := tok.(type) {
	case json.Delim:
		c.checkNested(x, t, path)
	case string:
		if t != nil && !isText(t) {
			c.add(path, "must be %s, not a string", kindName(t))
		}
	case bool:
		if t != nil && t.Kind() != reflect.Bool {
			c.add(path, "must be %s, not a boolean", kindName(t))
		}
	case json.Number:
		c.checkNumber(x, t, path)
	case nil:
		c.add(path, "must not be null")
	}
}

func (c *checker) checkNested(open json.Delim, t reflect.Type, path string) {
	c.depth++
	defer func() { c.depth-- }()
	if c.depth > c.limits.Nesting {
		c.fatal("", "is nested deeper than %d levels", c.limits.Nesting)
		return
	}
	if open == '{' {
		c.checkObject(t, path)
		return
	}
	var elem reflect.Type
	if t != nil {
		if t.Kind() != reflect.Slice {
			c.add(path, "must be %s, not an array", kindName(t))
		} else {
			elem = t.Elem()
		}
	}
	for i := 0; c.dec.More() && !c.stopped; i++ {
		c.checkValue(elem, path+"["+strconv.Itoa(i)+"]")
	}
	c.readClosing(path)
}

// readClosing reads the closing bracket of an array or an object.
func (c *checker) readClosing(path string) {
	if !c.stopped {
		c.nextToken(path)
	}
}

func (c *checker) checkObject(t reflect.Type, path string) {
	var known map[string]reflect.Type
	var elem reflect.Type
	if t != nil {
		switch t.Kind() {
		case reflect.Struct:
			known = fieldTypes(t)
		case reflect.Map:
			elem = t.Elem()
		default:
			c.add(path, "must be %s, not an object", kindName(t))
		}
	}
	seen := map[string]bool{}
	for c.dec.More() && !c.stopped {
		key, ok := c.nextToken(path).(string)
		if c.stopped {
			return
		}
		if !ok {
			c.fatal(path, "is not JSON: a key must be a string")
			return
		}
		at := joinPath(path, key)
		if seen[key] {
			c.add(at, "is given twice")
		}
		seen[key] = true
		ft := elem
		if known != nil {
			ft, ok = known[key]
			if !ok {
				c.add(at, "is not known")
			}
		}
		c.checkValue(ft, at)
	}
	c.readClosing(path)
}

func joinPath(path, key string) string {
	if len(key) > 64 {
		key = strings.ToValidUTF8(key[:64], "") + "..."
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldTypes returns the types of a struct's fields by JSON key.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct {
			maps.Copy(out, fieldTypes(f.Type))
			continue
		}
		if name == "-" || !f.IsExported() {
			continue
		}
		if name == "" {
			name = f.Name
		}
		out[name] = f.Type
	}
	return out
}

func (c *checker) checkNumber(n json.Number, t reflect.Type, path string) {
	if t == nil {
		return
	}
	var err error
	switch t.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		_, err = strconv.ParseInt(n.String(), 10, t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		_, err = strconv.ParseUint(n.String(), 10, t.Bits())
	case reflect.Float32, reflect.Float64:
		_, err = strconv.ParseFloat(n.String(), t.Bits())
	default:
		c.add(path, "must be %s, not a number", kindName(t))
		return
	}
	if err != nil {
		c.add(path, "must be %s, not %.40s", kindName(t), n.String())
	}
}

func kindName(t reflect.Type) string {
	if isText(t) {
		return "a string"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "an array"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	}
	return "a whole number"
}
