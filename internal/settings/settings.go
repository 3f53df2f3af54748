// Package settings reads and checks the daemon's settings file, which is JSON with
// comments.
package settings

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/strictjson"
)

// Instance is one instance of the deployment.
type Instance struct {
	// Name is unique in the deployment.
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	// Region is the same for all instances of an availability zone.
	Region string `json:"region,omitempty"`
	// ClientAddress is the IP:port for callers, workers and operators.
	ClientAddress string `json:"client_address"`
	// PeerAddress is the IP:port for other instances.
	PeerAddress string `json:"peer_address"`
	// Disk is set on instances that keep state on a disk.
	Disk bool `json:"disk,omitempty"`
}

// Extent is the part of the deployment whose jobs one replicated group holds.
// docs/decisions/0007-region-extent.md compares the extents.
type Extent string

// Extents.
const (
	ExtentZone   Extent = "zone"
	ExtentRegion Extent = "region"
)

// WorkerSpeeds tells how the speeds of workers are determined.
type WorkerSpeeds string

// Values of Settings.WorkerSpeeds.
const (
	SpeedsEqual    WorkerSpeeds = "equal"
	SpeedsMeasured WorkerSpeeds = "measured"
)

// Settings are the settings of one daemon. examples/settings describes each key.
type Settings struct {
	// Name is the name of this daemon's entry in Instances.
	Name string `json:"name"`
	// Extent is zone, where each availability zone has its own jobs, or region,
	// where one group of the instances with a disk holds the jobs of all zones;
	// default: zone.
	Extent Extent `json:"extent,omitempty"`
	// FirstStart allows the instances with a disk to form a region's group. It is set
	// only at the first start of a deployment: an instance that loses its disk later
	// joins the existing group.
	FirstStart bool `json:"first_start,omitempty"`
	// DataFolder is the absolute path of the data folder. It is set only on instances
	// with a disk.
	DataFolder string `json:"data_folder,omitempty"`
	// LogLevel is debug, info or error; default: info.
	LogLevel string `json:"log_level,omitempty"`
	// LeaseSeconds is the duration of a worker's lease: how long the worker runs a task
	// without contact to the leader; default: 10.
	LeaseSeconds float64 `json:"lease_seconds,omitempty"`
	// WorkerSpeeds is equal, if all workers count as equally fast, or measured, if they may
	// differ in speed; measured requires the extent region; default: equal.
	WorkerSpeeds WorkerSpeeds `json:"worker_speeds,omitempty"`
	// TraceFile is the file in which the inputs of the zone's decisions are recorded for
	// replay; empty records nothing.
	TraceFile string `json:"trace_file,omitempty"`
	// MaxRequests is the maximum number of requests handled concurrently; further
	// requests are refused as overloaded; default: 1024.
	MaxRequests int `json:"max_requests,omitempty"`
	// MaxMemoryMB is the memory that the process may use, MB. Connections and requests take
	// fractions of it, and near it garbage is collected more often; default: 256.
	MaxMemoryMB int `json:"max_memory_mb,omitempty"`
	// MaxFiles is the number of file descriptors that the process may have open; default:
	// the limit that the system has set for it.
	MaxFiles int `json:"max_files,omitempty"`
	// Preemption is when runs are stopped for urgent jobs, eager or economical; only
	// with the extent region; default: eager.
	Preemption place.Preemption `json:"preemption,omitempty"`
	// FairShareHalfLifeMS is the time in which the earlier use of customers is halved, ms;
	// 0 means that customers do not matter for the order of steps; only with the extent
	// region; default: 0.
	FairShareHalfLifeMS int64 `json:"fair_share_half_life_ms,omitempty"`
	// SwitchedOff are mechanisms of the scheduler that are not to be used, see package
	// mechanism; only with the extent region; default: none.
	SwitchedOff []mechanism.Name `json:"switched_off,omitempty"`
	Instances   []Instance       `json:"instances"`
}

// Off returns the mechanisms that are switched off.
func (s *Settings) Off() mechanism.Set {
	off, _ := mechanism.NewSet(s.SwitchedOff) // checked when the settings are loaded
	return off
}

// Defaults.
const (
	defaultLogLevel = "info"
	// defaultLeaseSeconds is several times the longest election, so that leases do not
	// expire during a change of leader.
	defaultLeaseSeconds = 10
	defaultMaxRequests  = 1024
	// defaultMaxMemoryMB is the planned size of a daemon, see docs/CAPACITY.md.
	defaultMaxMemoryMB = 256
)

// Limits on a settings file.
const (
	maxFileBytes = 256 << 10
	maxNesting   = 8
	maxTokens    = 20000
)

// FileError reports a settings file that cannot be read or is invalid.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("settings file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// SyntaxError reports a settings file that is not JSON with comments.
type SyntaxError struct{ Cause error }

func (e *SyntaxError) Error() string {
	return strings.TrimPrefix(e.Cause.Error(), "hujson: ")
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Cause }

// TooLargeError reports a settings file that is larger than the limit.
type TooLargeError struct{}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("is larger than %d KiB", maxFileBytes>>10)
}

// Load reads and checks a settings file. The error is a *FileError.
func Load(file string) (*Settings, error) {
	raw, err := readFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return s, nil
}

func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		var pe *os.PathError
		if errors.As(err, &pe) {
			err = pe.Err // without the path, which FileError adds
		}
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}

// Parse reads and checks settings. The error is a *SyntaxError, a
// *TooLargeError, a *strictjson.Error for keys and types, or an *InvalidError
// for values; the last two list all problems with their lines.
func Parse(raw []byte) (*Settings, error) {
	if len(raw) > maxFileBytes {
		return nil, &TooLargeError{}
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, &SyntaxError{Cause: err}
	}
	s := &Settings{
		Extent: ExtentZone, LogLevel: defaultLogLevel, LeaseSeconds: defaultLeaseSeconds, MaxRequests: defaultMaxRequests,
		WorkerSpeeds: SpeedsEqual, MaxMemoryMB: defaultMaxMemoryMB,
	}
	if err := strictjson.Decode(std, s, strictjson.Limits{Nesting: maxNesting, Tokens: maxTokens}); err != nil {
		return nil, err
	}
	return s, s.check(strictjson.Lines(std, s))
}

// Self returns this daemon's own instance, or nil if Instances has no such entry.
func (s *Settings) Self() *Instance { return s.Instance(s.Name) }

// Instance returns the instance with the given name, or nil.
func (s *Settings) Instance(name string) *Instance {
	for i := range s.Instances {
		if s.Instances[i].Name == name {
			return &s.Instances[i]
		}
	}
	return nil
}

// PeerAddresses returns the peer addresses of all instances by instance name.
func (s *Settings) PeerAddresses() map[string]string {
	out := map[string]string{}
	for i := range s.Instances {
		out[s.Instances[i].Name] = s.Instances[i].PeerAddress
	}
	return out
}

// Zones returns the availability zones in the order of their first entry in Instances.
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

// WithDisk returns the names of the instances with a disk.
func (s *Settings) WithDisk() []string {
	var out []string
	for i := range s.Instances {
		if s.Instances[i].Disk {
			out = append(out, s.Instances[i].Name)
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

// DataFolderError reports a data folder that cannot be written.
type DataFolderError struct {
	Folder string
	Cause  error
}

func (e *DataFolderError) Error() string {
	return fmt.Sprintf("data folder %s cannot be written: %v", e.Folder, e.Cause)
}

// Unwrap returns the cause.
func (e *DataFolderError) Unwrap() error { return e.Cause }

// PrepareDataFolder creates the data folder, if one is set, and checks that files in
// it can be written and synced. The error is a *DataFolderError.
func (s *Settings) PrepareDataFolder() error {
	if s.DataFolder == "" {
		return nil
	}
	if err := checkWritable(s.DataFolder); err != nil {
		return &DataFolderError{Folder: s.DataFolder, Cause: err}
	}
	return nil
}

// checkWritable creates the folder and writes, syncs and removes a file in it.
func checkWritable(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	name := filepath.Join(folder, "write-check")
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString("written at each start\n")
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	return os.Remove(name)
}
