package codec

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// Guards against two fields of a message with the same CBOR key: the encoder omits
// both of them without an error.
func TestFieldNumbersAreUnique(t *testing.T) {
	root := filepath.Join("..", "..")
	messages := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if s, ok := n.(*ast.StructType); ok && checkFieldNumbers(t, path, s) {
				messages++
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if messages < 50 {
		t.Errorf("found only %d messages, want at least 50", messages)
	}
}

// checkFieldNumbers fails the test if two fields of the struct have the same
// number. It reports whether the struct is a message with numbered fields.
func checkFieldNumbers(t *testing.T, path string, s *ast.StructType) bool {
	seen := map[string]bool{}
	for _, f := range s.Fields.List {
		if f.Tag == nil {
			continue
		}
		raw, err := strconv.Unquote(f.Tag.Value)
		if err != nil {
			t.Fatal(err)
		}
		number, options, _ := strings.Cut(reflect.StructTag(raw).Get("cbor"), ",")
		if !strings.Contains(options, "keyasint") {
			continue
		}
		if seen[number] {
			t.Errorf("%s: two fields have the number %s, the second is %s", path, number, f.Names)
		}
		seen[number] = true
	}
	return len(seen) > 0
}
