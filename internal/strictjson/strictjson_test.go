package strictjson

import (
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"
)

type doc struct {
	Name  string    `json:"name"`
	Count int       `json:"count"`
	Seq   uint64    `json:"seq"`
	Share float64   `json:"share"`
	On    bool      `json:"on"`
	At    time.Time `json:"at"`
	Sub   *doc      `json:"sub"`
	List  []doc     `json:"list"`
	ByKey map[string]int
	Raw   []byte `json:"raw"`
	base
}

type base struct {
	Deep string `json:"deep"`
}

var limits = Limits{Nesting: 4, Tokens: 100}

// Guards against input that encoding/json accepts silently.
func TestDecode(t *testing.T) {
	for in, want := range map[string]string{
		`{"name":"a","count":-1,"seq":1,"share":0.5,"on":true,"at":"2026-01-01T00:00:00Z"}`: "",
		`{"sub":{"list":[{"name":"x"}]},"ByKey":{"k":1}}`:                                   "",
		`{"name":"\ud83d\ude00"}`:                                                           "",
		`{"sub":null,"list":null,"deep":"x","raw":"AAA="}`:                                  "",
		`{"list":[null]}`:                    "list[0]: must not be null",
		`{"nam":"a"}`:                        "nam: is not known",
		`{"Name":"a"}`:                       "Name: is not known",
		"{\"name\":\"a\",\n\"name\":\"b\"}":  "line 2: name: is given twice",
		`{"name":null}`:                      "name: must not be null",
		`{"name":1}`:                         "name: must be a string, not a number",
		`{"count":"1"}`:                      "count: must be a whole number, not a string",
		`{"count":1.5}`:                      "count: must be a whole number, not 1.5",
		`{"seq":-1}`:                         "seq: must be a whole number of at least 0, not -1",
		`{"share":1e999}`:                    "share: must be a number, not 1e999",
		`{"on":[]}`:                          "on: must be true or false, not an array",
		`{"at":"x"}`:                         "parsing time",
		`{"list":[{},{"x":1}]}`:              "list[1].x: is not known",
		`{"ByKey":{"k":1,"k":2}}`:            "ByKey.k: is given twice",
		`{"sub":{"sub":{"sub":{"sub":{}}}}}`: "nested deeper than 4",
		`{"list":[` + strings.Repeat(`{},`, 60) + `{}]}`: "more than 100 values",
		`{"name":"a"`:             "ends unexpectedly",
		``:                        "ends unexpectedly",
		`{"name":"a"} {}`:         "has data after",
		`{"name":"a",}`:           "is not JSON",
		`nonsense`:                "is not JSON",
		"{\"name\":\"\xff\"}":     "is not valid UTF-8",
		`{"name":"\ud800"}`:       "unpaired surrogate",
		`{"name":"\udc00\ud800"}`: "unpaired surrogate",
		`{"a":1,"b":2}`:           "line 1: a: is not known; line 1: b: is not known",
	} {
		t.Run(in, func(t *testing.T) {
			is := is.New(t)
			var d doc
			err := Decode([]byte(in), &d, limits)
			if want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want)) // the error names the problem
		})
	}
}

// Guards against a wrong line for a value.
func TestLines(t *testing.T) {
	is := is.New(t)
	lines := Lines([]byte("{\n\"sub\": {\n\"name\": \"x\"},\n\"list\": [\n{}]}"), &doc{})
	is.Equal(lines["sub.name"], 3)
	is.Equal(lines["list[0]"], 5)
}

// FuzzDecode guards against a panic, and against accepting documents that are not
// valid UTF-8.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","list":[{"count":1}],"ByKey":{"x":1}}`))
	f.Add([]byte(`{"name":"\ud800"}`))
	f.Add([]byte(`[[[[[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d doc
		err := Decode(data, &d, limits)
		if err == nil && !utf8.Valid(data) {
			t.Fatal("invalid UTF-8 was accepted")
		}
	})
}
