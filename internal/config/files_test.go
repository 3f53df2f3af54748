package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

const validFile = `// A service.
{
  "service": "desk",
  "racks": [
    {"availability_zone": "z1", "racks": 2, "workers_per_rack": 8, "accelerators_per_worker": 8},
  ],
  "policy": {"checkpoint_bound_seconds": 5, "fragmentation_weight": 0.3, "max_failures": 3, "retention_seconds": 86400},
  "customers": [
    {"name": "b", "weight": 1, "queue_limit": 10},
    {"name": "a", "weight": 1, "queue_limit": 10, "guarantees": [
      {"availability_zone": "z1", "shape": {"accelerators": 16}, "count": 2},
    ]},
  ],
}
`

// writeFiles writes files into a temporary directory and returns its path.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	root := t.TempDir()
	for name, content := range files {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

// Guards against errors without kind, position, value or fix, and against valid
// content that is refused.
func TestParseErrors(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           string
	}{
		{"good", "", "", ""},
		{"syntax", `"desk",`, `"desk"`, "f:4:3: invalid character"},
		{"unknown key", `"queue_limit": 10},`, `"queue_limit": 10, "wieght": 2},`, `f:9:51: customers[0].wieght: the key is not known, found "wieght"; fix: write "weight", or remove the key`},
		{"duplicate key", `"max_failures": 3`, `"max_failures": 3, "max_failures": 4`, `f:7:93: policy.max_failures: the key was given before at line 7, column 74, found "max_failures"; fix: keep one of the two`},
		{"missing field", `"name": "b", `, ``, `f:9:5: customers[0].name: the key is missing; fix: add "name"`},
		{"wrong type", `"racks": 2`, `"racks": "2"`, `f:5:42: racks[0].racks: must be a whole number, found "2"; fix: write a whole number`},
		{"fraction", `"max_failures": 3`, `"max_failures": 3.5`, `f:7:90: policy.max_failures: must be a whole number, found 3.5; fix: write a whole number`},
		{"null", `"desk"`, `null`, `f:3:14: service: must be a string, found null; fix: write a string`},
		{"range", `"fragmentation_weight": 0.3`, `"fragmentation_weight": 1.3`, `f:7:69: policy.fragmentation_weight: must be between 0 and 1, found 1.3; fix: write a number from 0 to 1`},
		{"name", `"name": "b"`, `"name": "B b"`, `f:9:14: customers[0].name: must have 1 to 100 lower-case letters, digits, '-', '_' or '.', found "B b"; fix: choose another name`},
		{"column counts characters", `"name": "b", "weight": 1`, `"name": "b", "weight": /* éé */ 0`, `f:9:38: customers[0].weight: must be between 1 and 1000, found 0; fix: write a whole number from 1 to 1000`},
		{"quota", `"queue_limit": 10, "guarantees"`, `"queue_limit": 10, "quota": 31, "guarantees"`, `f:10:60: customers[1].quota: is less than the 32 accelerators guaranteed in "z1", found 31; fix: raise the quota or reduce the guarantees`},
		{"nesting", `"desk"`, strings.Repeat("[", 40), `f:3:45: nested deeper than 32 levels; fix: remove the nesting`},
		{"encoding", `"desk"`, "\"d\xff\"", `f:3:16: the file is not valid UTF-8; fix: save the file as UTF-8`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, errs := Parse("f", []byte(strings.Replace(validFile, c.old, c.new, 1)))
			if c.want == "" {
				is.Equal(len(errs), 0)
				return
			}
			is.Equal(len(errs), 1)
			is.True(errs[0].Kind != "")
			if got := errs[0].Error(); !strings.HasPrefix(got, c.want) {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// Guards against a run that reports only its first error, and against missed errors
// that concern several files.
func TestCollectReportsAll(t *testing.T) {
	is := is.New(t)
	second := strings.NewReplacer(`"racks": [`, `"racks": [], "x": [`, `"z1", "shape"`, `"z9", "shape"`).Replace(validFile)
	root := writeFiles(t, map[string]string{
		"a/teaselpaddle.jsonc":         validFile,
		"b/deep/er/teaselpaddle.jsonc": second,
		"c/teaselpaddle.jsonc":         "{",
		".hidden/teaselpaddle.jsonc":   "{",
		"d/other.jsonc":                "{",
	})
	_, err := Collect([]string{root, filepath.Join(root, "a"), filepath.Join(root, "none")}, FitSums, nil)
	errs, ok := err.(Errors)
	is.True(ok)
	var got []string
	for _, e := range errs {
		got = append(got, strings.TrimPrefix(e.File, root)+" "+string(e.Kind)+" "+e.Path)
	}
	is.Equal(got, []string{
		"/b/deep/er/teaselpaddle.jsonc duplicate service",
		"/b/deep/er/teaselpaddle.jsonc unknown_key x",
		"/b/deep/er/teaselpaddle.jsonc duplicate customers[0].name",
		"/b/deep/er/teaselpaddle.jsonc duplicate customers[1].name",
		"/b/deep/er/teaselpaddle.jsonc no_racks customers[1].guarantees[0].availability_zone",
		"/c/teaselpaddle.jsonc syntax ",
		"/none unreadable ",
	})
	is.True(strings.Contains(errs[0].Detail, "a/teaselpaddle.jsonc:3:14")) // the detail has the position of the first use
}

// Guards against a merge that depends on the order of directories or entries,
// and against guarantees that are larger than the racks.
func TestCollectMerges(t *testing.T) {
	is := is.New(t)
	other := strings.NewReplacer(`"desk"`, `"abc"`, `"z1"`, `"z2"`, `"a"`, `"c"`, `"b"`, `"d"`).Replace(validFile)
	root := writeFiles(t, map[string]string{"x/teaselpaddle.jsonc": validFile, "y/teaselpaddle.jsonc": other})
	x, y := filepath.Join(root, "x"), filepath.Join(root, "y")
	one, err := Collect([]string{x, y}, FitSums, nil)
	is.NoErr(err)
	two, err := Collect([]string{y, x, root}, FitSums, nil)
	is.NoErr(err)
	is.Equal(one, two)
	is.Equal(one.Services[0].Name, "abc")
	is.Equal(one.Services[1].Customers[0].Name, "a")

	big := writeFiles(t, map[string]string{"teaselpaddle.jsonc": strings.Replace(validFile, `"count": 2`, `"count": 9`, 1)})
	_, err = Collect([]string{big}, FitSums, nil)
	is.Equal(err.(Errors)[0].Kind, KindDoesNotFit)
	_, err = Collect([]string{t.TempDir()}, FitSums, nil)
	is.Equal(err.(Errors)[0].Kind, KindNoFiles)
}

// Guards against checking the publish of one service without the other accepted
// services.
func TestCollectWithAcceptedServices(t *testing.T) {
	is := is.New(t)
	racks := service("racks", 1)
	racks.Racks = []model.RackSpec{{AvailabilityZone: "z9", Racks: 1, WorkersPerRack: 8, AcceleratorsPerWorker: 8}}
	base := &model.Configuration{Services: []model.Service{service("desk", 5), racks}}
	root := writeFiles(t, map[string]string{"teaselpaddle.jsonc": strings.Replace(validFile, `"z1", "shape"`, `"z9", "shape"`, 1)})
	cfg, err := Collect([]string{root}, FitSums, base)
	is.NoErr(err)
	is.Equal(len(cfg.Services), 2)
	is.Equal(len(cfg.Services[0].Customers), 2) // the file replaces the accepted service

	root = writeFiles(t, map[string]string{"teaselpaddle.jsonc": strings.Replace(validFile, `"name": "b"`, `"name": "c-racks"`, 1)})
	_, err = Collect([]string{root}, FitSums, base)
	is.True(strings.Contains(err.Error(), `first at accepted service racks: customers[0].name`))
}

// Guards against fields that are missing from the differences.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	f, _ := Parse("f", []byte(validFile))
	g, _ := Parse("f", []byte(strings.NewReplacer(`"count": 2`, `"count": 1`, `0.3`, `0.8`, `"name": "b"`, `"name": "c"`).Replace(validFile)))
	is.Equal(Differences(merge([]*File{f}), merge([]*File{g})), []Difference{
		{"desk", "", "policy.fragmentation_weight", "0.3", "0.8"},
		{"desk", "a", "guarantees z1 of 16 accelerators", "2", "1"},
		{"desk", "b", "queue_limit", "10", ""},
		{"desk", "b", "weight", "1", ""},
		{"desk", "c", "queue_limit", "", "10"},
		{"desk", "c", "weight", "", "1"},
	})
	is.Equal(len(Differences(nil, &model.Configuration{Services: []model.Service{f.Service}})), 10)
}

// FuzzParse guards against input that makes the parser panic, against errors without a
// position, and against accepted content that fails the checks.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, errs := Parse("f", raw)
		lines := 1 + strings.Count(string(raw), "\n")
		for _, e := range errs {
			if e.Line < 1 || e.Line > lines || e.Column < 1 || e.Kind == "" || e.Fix == "" {
				t.Fatalf("incomplete error: %#v", e)
			}
		}
		if len(errs) == 0 && len(checkService(&file.Service)) > 0 {
			t.Fatalf("accepted content fails its checks: %+v", file.Service)
		}
	})
}
