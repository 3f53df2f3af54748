package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// minimal is the smallest valid settings file.
const minimal = `{"name": "a", "instances": [
  {"name": "a", "availability_zone": "z-1", "client_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2"},
]}`

// edited returns the minimal settings with the first old replaced.
func edited(old, replacement string) string { return strings.Replace(minimal, old, replacement, 1) }

// Guards against accepting a value that the daemon cannot work with, and against
// errors that do not locate the value.
func TestParse(t *testing.T) {
	many := `{"name": "x", "log_level": "loud", "lease_seconds": 0.5, "max_requests": 1, "instances": []}`
	for name, c := range map[string]struct {
		in   string
		want []string // parts of the error; none: accepted
	}{
		"smallest":           {in: minimal},
		"comments":           {in: "// c\n" + minimal},
		"unknown key":        {edited(`"name": "a", "inst`, `"nmae": 1, "name": "a", "inst`), []string{"line 1: nmae: is not known"}},
		"other letter case":  {edited(`"peer_address"`, `"Peer_Address"`), []string{"line 2: instances[0].Peer_Address: is not known"}},
		"duplicate key":      {edited(`"availability_zone"`, `"name": "b", "availability_zone"`), []string{"line 2: instances[0].name: is given twice"}},
		"wrong type":         {edited(`"a", "inst`, `1, "inst`), []string{"line 1: name: must be a string, not a number"}},
		"syntax":             {edited(`]}`, `]`), []string{"line 3"}},
		"all at once":        {many, []string{`log_level: must be debug, info or error, not "loud"`, "lease_seconds: must be between 1 and 600 seconds, not 0.5", "max_requests: must be between 16", "instances: must have 1 to 1000", `name: "x" is not`}},
		"name":               {edited(`  {"name": "a"`, `  {"name": "a b"`), []string{"line 2: instances[0].name: must consist of ASCII letters"}},
		"address":            {edited("127.0.0.1:1", "localhost:1"), []string{`instances[0].client_address: must be IP:port, not "localhost:1"`}},
		"port":               {edited("127.0.0.1:1", "127.0.0.1:0"), []string{"port between 1 and 65535"}},
		"unspecified":        {edited("127.0.0.1:1", "0.0.0.0:1"), []string{"others can dial"}},
		"same address":       {edited("127.0.0.1:1", "127.0.0.1:2"), []string{"instances[0].peer_address: 127.0.0.1:2 is used by instances[0].client_address too"}},
		"missing address":    {edited(`"client_address": "127.0.0.1:1", `, ""), []string{`line 2: instances[0].client_address: must be IP:port, not ""`}},
		"same name":          {edited("},\n]", `}, {"name": "a", "availability_zone": "z-1", "region": "r", "client_address": "127.0.0.1:3", "peer_address": "127.0.0.1:4"}]`), []string{"instances[1].name", "instances[1].region"}},
		"no data folder":     {edited(`"availability_zone"`, `"disk": true, "availability_zone"`), []string{"data_folder: is required"}},
		"data folder":        {edited(`"name": "a", "inst`, `"name": "a", "data_folder": "d", "inst`), []string{"must not be set", "absolute path"}},
		"extent":             {edited(`"name": "a", "inst`, `"name": "a", "extent": "rack", "inst`), []string{`line 1: extent: must be "zone" or "region", not "rack"`}},
		"no disk in region":  {edited(`"name": "a", "inst`, `"name": "a", "extent": "region", "inst`), []string{`extent: "region" requires an instance with disk set`}},
		"zone's first start": {edited(`"name": "a", "inst`, `"name": "a", "first_start": true, "inst`), []string{`first_start: must not be set with extent "zone"`}},
		"worker speeds":      {edited(`"name": "a", "inst`, `"name": "a", "worker_speeds": "slow", "inst`), []string{`worker_speeds: must be "equal" or "measured", not "slow"`}},
		"zone's speeds":      {edited(`"name": "a", "inst`, `"name": "a", "worker_speeds": "measured", "inst`), []string{`worker_speeds: must not be "measured" with extent "zone"`}},
		"preemption":         {edited(`"name": "a", "inst`, `"name": "a", "preemption": "never", "inst`), []string{`line 1: preemption: must be "eager" or "economical", not "never"`}},
		"zone's preemption":  {edited(`"name": "a", "inst`, `"name": "a", "preemption": "eager", "inst`), []string{`preemption: must not be set with extent "zone"`}},
		"half-life":          {edited(`"name": "a", "inst`, `"name": "a", "fair_share_half_life_ms": -1, "inst`), []string{`line 1: fair_share_half_life_ms: must be between 0 and`}},
		"mechanism":          {edited(`"name": "a", "inst`, `"name": "a", "switched_off": ["claim"], "inst`), []string{`switched_off: "claim" is not a mechanism`}},
		"zone's mechanism":   {edited(`"name": "a", "inst`, `"name": "a", "switched_off": ["claims"], "inst`), []string{`switched_off: must not be set with extent "zone"`}},
		"zone's half-life":   {edited(`"name": "a", "inst`, `"name": "a", "fair_share_half_life_ms": 10000, "inst`), []string{`fair_share_half_life_ms: must not be set with extent "zone"`}},
		"too large":          {minimal + strings.Repeat(" ", maxFileBytes), []string{"larger than 256 KiB"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse([]byte(c.in))
			if len(c.want) == 0 {
				is.NoErr(err)
				is.Equal(s.LogLevel, "info")
				is.Equal(s.LeaseSeconds, 10.0)
				is.Equal(s.MaxRequests, 1024)
				is.Equal(s.WorkerSpeeds, SpeedsEqual)
				return
			}
			is.True(err != nil)
			for _, part := range c.want {
				is.True(strings.Contains(err.Error(), part)) // the error names the problem
			}
			is.True(!strings.Contains(err.Error(), "\n")) // one line
		})
	}
}

// Guards against example settings that the daemon does not accept.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/settings/*.jsonc")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, f := range files {
		s, err := Load(f)
		is.NoErr(err)
		is.Equal(filepath.Base(f), s.Name+".jsonc")
		is.Equal(len(s.Zones()), 3)
	}
}

// Guards against errors that do not name the file.
func TestLoadNamesTheFile(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.jsonc"))
	var fe *FileError
	is.True(errors.As(err, &fe))
	is.True(strings.Contains(err.Error(), "none.jsonc: no such file"))
}

// Guards against a daemon that starts although it cannot write its data folder.
func TestDataFolder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s := &Settings{DataFolder: filepath.Join(dir, "new", "folder")}
	is.NoErr(s.PrepareDataFolder())
	list, err := os.ReadDir(s.DataFolder)
	is.NoErr(err)
	is.Equal(len(list), 0)
	file := filepath.Join(dir, "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	s.DataFolder = file
	var de *DataFolderError
	is.True(errors.As(s.PrepareDataFolder(), &de))
}

// FuzzParse guards against a panic, and against accepting settings without this
// daemon's own instance.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil && s.Self() == nil {
			t.Fatal("settings without the own instance were accepted")
		}
	})
}
