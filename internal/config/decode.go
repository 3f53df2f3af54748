package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// kindNames maps JSON kinds to their names in messages.
var kindNames = map[hujson.Kind]string{
	'n': "null", 'f': "false", 't': "true", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
}

// decode stores a JSON value in rv and records the offset of each value. It adds
// an error for each invalid value and continues with the next one.
func (f *File) decode(v *hujson.Value, rv reflect.Value, path string) {
	f.valueOffsets[path] = v.StartOffset
	switch rv.Kind() {
	case reflect.Struct:
		if obj, ok := v.Value.(*hujson.Object); ok {
			f.decodeObject(obj, v.StartOffset, rv, path)
			return
		}
	case reflect.Slice:
		if arr, ok := v.Value.(*hujson.Array); ok {
			f.decodeArray(arr, rv, path)
			return
		}
	default:
		if lit, ok := v.Value.(hujson.Literal); ok && decodeScalar(lit, rv) {
			return
		}
	}
	f.undecoded[path] = true
	f.addError(KindWrongType, v.StartOffset, path, displayValue(v), "must be "+expectedType(rv.Kind()), "write "+expectedType(rv.Kind()))
}

// displayValue returns a literal as written and truncated, or the kind of an array
// or object.
func displayValue(v *hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok {
		return truncate(string(lit))
	}
	return kindNames[v.Value.Kind()]
}

// maxDisplayBytes is the maximum length of a value quoted in a message.
const maxDisplayBytes = 80

func truncate(s string) string {
	if len(s) <= maxDisplayBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxDisplayBytes], "") + "..."
}

func expectedType(k reflect.Kind) string {
	switch k {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "a whole number"
	}
	return "a number"
}

// decodeScalar stores a literal in a string, an int or a float64. It reports whether
// the literal has that type.
func decodeScalar(lit hujson.Literal, rv reflect.Value) bool {
	switch rv.Kind() {
	case reflect.String:
		rv.SetString(lit.String())
		return lit.Kind() == '"'
	case reflect.Int:
		n, err := strconv.ParseInt(string(lit), 10, 64)
		rv.SetInt(n)
		return err == nil
	case reflect.Float64:
		x, err := strconv.ParseFloat(string(lit), 64)
		rv.SetFloat(x)
		return err == nil && lit.Kind() == '0'
	}
	return false
}

func (f *File) decodeArray(arr *hujson.Array, rv reflect.Value, path string) {
	out := reflect.MakeSlice(rv.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		f.decode(&arr.Elements[i], out.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	if len(arr.Elements) > 0 {
		rv.Set(out)
	}
}

func (f *File) decodeObject(obj *hujson.Object, offset int, rv reflect.Value, path string) {
	fields := fieldsOf(rv.Type())
	keyOffsets := map[string]int{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name, _ := m.Name.Value.(hujson.Literal)
		key := name.String()
		p := joinPath(path, key)
		if at, duplicate := keyOffsets[key]; duplicate {
			line, column := f.position(at)
			f.addError(KindDuplicateKey, m.Name.StartOffset, p, truncate(string(name)),
				fmt.Sprintf("the key was given before at line %d, column %d", line, column), "keep one of the two")
			continue
		}
		keyOffsets[key] = m.Name.StartOffset
		index, ok := fields[key]
		if !ok {
			f.addError(KindUnknownKey, m.Name.StartOffset, joinPath(path, truncate(key)), truncate(string(name)), "the key is not known", suggest(key, fields))
			continue
		}
		f.decode(&m.Value, rv.Field(index), p)
	}
	for _, key := range required[rv.Type()] {
		if _, ok := keyOffsets[key]; !ok {
			f.addError(KindMissing, offset, joinPath(path, key), "", "the key is missing", fmt.Sprintf("add %q", key))
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldsOf returns the indexes of a struct type's fields by JSON key.
func fieldsOf(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out[key] = i
	}
	return out
}

// maxEdits is the largest edit distance at which a known key is suggested.
const maxEdits = 3

// suggest returns a fix for an unknown key: the known key with the smallest edit
// distance, or all known keys if none is close.
func suggest(key string, fields map[string]int) string {
	known := make([]string, 0, len(fields))
	for k := range fields {
		known = append(known, k)
	}
	slices.Sort(known)
	best := ""
	edits := maxEdits + 1
	for _, k := range known {
		if d := editDistance(truncate(key), k); d < edits {
			best = k
			edits = d
		}
	}
	if best != "" {
		return fmt.Sprintf("write %q, or remove the key", best)
	}
	return "remove the key; known keys are " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	prev := make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := range len(a) {
		row := make([]int, len(b)+1)
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			row[j+1] = min(prev[j+1]+1, row[j]+1, prev[j]+cost)
		}
		prev = row
	}
	return prev[len(b)]
}
