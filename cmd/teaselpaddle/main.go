// Command teaselpaddle is the operators' and callers' command-line tool.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"
	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

type publishCmd struct {
	Dirs    []string `arg:"positional,required" placeholder:"DIR" help:"directories with teaselpaddle.jsonc files"`
	Version uint64   `arg:"--version" default:"1"`
}

type args struct {
	Server  string      `arg:"--server,env:TEASELPADDLE_SERVER" default:"127.0.0.1:7101" help:"client address of an entry instance"`
	Publish *publishCmd `arg:"subcommand:publish" help:"publish the operators' files"`
}

// statusError is an answer other than success.
type statusError struct {
	Status int
	Body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.Status, e.Body) }

func main() {
	var a args
	p := arg.MustParse(&a)
	if a.Publish == nil {
		p.Fail("a command is required")
	}
	if err := a.publish(); err != nil {
		fmt.Fprintln(os.Stderr, "teaselpaddle:", err)
		os.Exit(1)
	}
}

func (a *args) publish() error {
	cfg := model.Configuration{Version: a.Publish.Version}
	for _, dir := range a.Publish.Dirs {
		files, err := filepath.Glob(filepath.Join(dir, "*", "teaselpaddle.jsonc"))
		if err != nil {
			return err
		}
		for _, f := range files {
			s, err := readService(f)
			if err != nil {
				return err
			}
			cfg.Services = append(cfg.Services, *s)
		}
	}
	body, err := json.Marshal(&cfg)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+a.Server+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	out, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return &statusError{Status: resp.StatusCode, Body: string(out)}
	}
	fmt.Printf("published version %d with %d services\n", cfg.Version, len(cfg.Services))
	return nil
}

func readService(file string) (*model.Service, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, err
	}
	var s model.Service
	return &s, json.Unmarshal(std, &s)
}
