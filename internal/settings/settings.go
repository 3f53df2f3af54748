// Package settings reads the daemon's settings: JSON with comments.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Instance is one instance of the deployment.
type Instance struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	ClientAddress    string `json:"client_address"` // IP:port for callers, workers and operators
	PeerAddress      string `json:"peer_address"`   // IP:port for other instances
	Disk             bool   `json:"disk,omitempty"`
}

// Settings are the settings of one daemon.
type Settings struct {
	Name string `json:"name"`
	// DataFolder is set on instances with a disk.
	DataFolder   string     `json:"data_folder,omitempty"`
	LogLevel     string     `json:"log_level,omitempty"`
	LeaseSeconds float64    `json:"lease_seconds,omitempty"`
	Instances    []Instance `json:"instances"`
}

// defaultLeaseSeconds is several times the longest election, so that a change
// of leader does not cut leases.
const defaultLeaseSeconds = 10

// FieldError is a value that is missing or out of range.
type FieldError struct {
	Path   string
	Detail string
}

func (e *FieldError) Error() string { return fmt.Sprintf("setting %s: %s", e.Path, e.Detail) }

// FileError is a settings file that cannot be used.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("settings file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return s, nil
}

// Parse reads and checks settings.
func Parse(raw []byte) (*Settings, error) {
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, err
	}
	s := Settings{LogLevel: "info", LeaseSeconds: defaultLeaseSeconds}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, err
	}
	return &s, s.check()
}

func (s *Settings) check() error {
	if _, ok := telemetry.Levels[s.LogLevel]; !ok {
		return &FieldError{Path: "log_level", Detail: "must be debug, info or error"}
	}
	if s.LeaseSeconds < 1 || s.LeaseSeconds > 600 {
		return &FieldError{Path: "lease_seconds", Detail: "must be between 1 and 600 seconds"}
	}
	for i := range s.Instances {
		if err := s.Instances[i].check(i); err != nil {
			return err
		}
	}
	if s.Self() == nil {
		return &FieldError{Path: "name", Detail: fmt.Sprintf("%q is not in instances", s.Name)}
	}
	return nil
}

func (in *Instance) check(i int) error {
	path := func(f string) string { return fmt.Sprintf("instances[%d].%s", i, f) }
	if in.Name == "" {
		return &FieldError{Path: path("name"), Detail: "must not be empty"}
	}
	if in.AvailabilityZone == "" {
		return &FieldError{Path: path("availability_zone"), Detail: "must not be empty"}
	}
	if _, err := netip.ParseAddrPort(in.ClientAddress); err != nil {
		return &FieldError{Path: path("client_address"), Detail: "must be IP:port"}
	}
	if _, err := netip.ParseAddrPort(in.PeerAddress); err != nil {
		return &FieldError{Path: path("peer_address"), Detail: "must be IP:port"}
	}
	return nil
}

// Self returns this daemon's own instance.
func (s *Settings) Self() *Instance {
	for i := range s.Instances {
		if s.Instances[i].Name == s.Name {
			return &s.Instances[i]
		}
	}
	return nil
}

// Zones returns the availability zones in the order of first mention.
func (s *Settings) Zones() []string {
	var out []string
	seen := map[string]bool{}
	for i := range s.Instances {
		z := s.Instances[i].AvailabilityZone
		if !seen[z] {
			seen[z] = true
			out = append(out, z)
		}
	}
	return out
}

// InZone returns the names of a zone's instances.
func (s *Settings) InZone(zone string) []string {
	var out []string
	for i := range s.Instances {
		if s.Instances[i].AvailabilityZone == zone {
			out = append(out, s.Instances[i].Name)
		}
	}
	return out
}
