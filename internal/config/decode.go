package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// kindNames names the JSON kinds in messages.
var kindNames = map[hujson.Kind]string{
	'n': "null", 'f': "false", 't': "true", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
}

// decode stores a JSON value in rv and records where each value is. Each fault
// is reported and decoding goes on with the next value.
func (f *File) decode(v *hujson.Value, rv reflect.Value, path string) {
	f.positions[path] = v.StartOffset
	switch rv.Kind() {
	case reflect.Struct:
		if obj, ok := v.Value.(*hujson.Object); ok {
			f.object(obj, v.StartOffset, rv, path)
			return
		}
	case reflect.Slice:
		if arr, ok := v.Value.(*hujson.Array); ok {
			f.array(arr, rv, path)
			return
		}
	default:
		if lit, ok := v.Value.(hujson.Literal); ok && scalar(lit, rv) {
			return
		}
	}
	f.bad[path] = true
	f.fail(KindWrongType, v.StartOffset, path, shown(v), "must be "+wanted(rv.Kind()), "write "+wanted(rv.Kind()))
}

// shown returns a literal as written, or the kind of a composite.
func shown(v *hujson.Value) string {
	if lit, ok := v.Value.(hujson.Literal); ok {
		return clip(string(lit))
	}
	return kindNames[v.Value.Kind()]
}

// maxShown is the longest value that is repeated in a message.
const maxShown = 80

func clip(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "..."
}

func wanted(k reflect.Kind) string {
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

// scalar stores a literal in a string, an int or a float64.
func scalar(lit hujson.Literal, rv reflect.Value) bool {
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

func (f *File) array(arr *hujson.Array, rv reflect.Value, path string) {
	out := reflect.MakeSlice(rv.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		f.decode(&arr.Elements[i], out.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	if len(arr.Elements) > 0 {
		rv.Set(out)
	}
}

func (f *File) object(obj *hujson.Object, offset int, rv reflect.Value, path string) {
	fields := fieldsOf(rv.Type())
	first := map[string]int{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name, _ := m.Name.Value.(hujson.Literal)
		key := name.String()
		p := join(path, key)
		if at, again := first[key]; again {
			line, column := f.place(at)
			f.fail(KindDuplicateKey, m.Name.StartOffset, p, clip(string(name)),
				fmt.Sprintf("the key was given before at line %d, column %d", line, column), "keep one of the two")
			continue
		}
		first[key] = m.Name.StartOffset
		index, ok := fields[key]
		if !ok {
			f.fail(KindUnknownKey, m.Name.StartOffset, join(path, clip(key)), clip(string(name)), "the key is not known", suggest(key, fields))
			continue
		}
		f.decode(&m.Value, rv.Field(index), p)
	}
	for _, key := range required[rv.Type()] {
		if _, ok := first[key]; !ok {
			f.fail(KindMissing, offset, join(path, key), "", "the key is missing", fmt.Sprintf("add %q", key))
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldsOf returns the field index by JSON key.
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

// suggest proposes the nearest known key, or all of them.
func suggest(key string, fields map[string]int) string {
	known := make([]string, 0, len(fields))
	for k := range fields {
		known = append(known, k)
	}
	slices.Sort(known)
	best := ""
	edits := maxEdits + 1
	for _, k := range known {
		if d := distance(clip(key), k); d < edits {
			best = k
			edits = d
		}
	}
	if best != "" {
		return fmt.Sprintf("write %q, or remove the key", best)
	}
	return "remove the key; known keys are " + strings.Join(known, ", ")
}

// distance is the Levenshtein distance of two strings in bytes.
func distance(a, b string) int {
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
