package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a daemon that starts with unusable settings, or that exits without
// reporting the cause in a single line.
func TestStartFailures(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	usedAddress := ln.Addr().String()
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	is.New(t).NoErr(os.WriteFile(file, nil, 0o600))
	settingsFormat := `{"name": "a", %s "instances": [{"name": "a", "availability_zone": "z", "disk": %t, "client_address": %q, "peer_address": "127.0.0.1:1"}]}`
	for name, c := range map[string]struct{ settings, want string }{
		"unknown setting":          {`{"nam": "a"}`, "line 1: nam: is not known"},
		"port in use":              {fmt.Sprintf(settingsFormat, "", false, usedAddress), "address already in use"},
		"data folder not writable": {fmt.Sprintf(settingsFormat, fmt.Sprintf(`"data_folder": %q,`, file), true, usedAddress), "cannot be written"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := filepath.Join(t.TempDir(), "s.jsonc")
			is.NoErr(os.WriteFile(f, []byte(c.settings), 0o600))
			err := run(f)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
			is.True(!strings.Contains(err.Error(), "\n"))
		})
	}
}
