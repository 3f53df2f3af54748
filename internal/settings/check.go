package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/strictjson"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Bounds on the values of the settings.
const (
	minLeaseSeconds = 1
	maxLeaseSeconds = 600
	minRequests     = 16
	maxRequests     = 100000
	minMemoryMB     = 64
	maxMemoryMB     = 1 << 20
	minFiles        = 128
	maxFiles        = 1 << 20
	maxNameBytes    = 63
	maxInstances    = 1000
	maxZones        = 64
	maxPathBytes    = 4000
	maxHalfLifeMS   = 24 * 60 * 60 * 1000
)

// InvalidError lists the settings that are missing, out of range or inconsistent.
type InvalidError struct{ Problems []strictjson.Problem }

func (e *InvalidError) Error() string {
	return (&strictjson.Error{Problems: e.Problems}).Error()
}

// checker collects the problems of one file.
type checker struct {
	settings      *Settings
	lines         map[string]int
	problems      []strictjson.Problem
	seenNames     map[string]bool
	seenAddresses map[netip.AddrPort]string // path of the first use by address
	regionByZone  map[string]string         // region by availability zone
}

// check checks all values. lines maps the path of each value to its line. The error
// is an *InvalidError.
func (s *Settings) check(lines map[string]int) error {
	c := &checker{
		settings: s, lines: lines,
		seenNames: map[string]bool{}, seenAddresses: map[netip.AddrPort]string{}, regionByZone: map[string]string{},
	}
	c.checkTopLevel()
	for i := range s.Instances {
		c.checkInstance(i)
	}
	c.checkSelf()
	if len(c.problems) > 0 {
		return &InvalidError{Problems: c.problems}
	}
	return nil
}

// add records a problem. A value that is not in the file is reported at the line of
// the closest enclosing value that is.
func (c *checker) add(path, format string, args ...any) {
	line, ok := c.lines[path]
	for at := path; !ok && at != ""; {
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
		line, ok = c.lines[at]
	}
	c.problems = append(c.problems, strictjson.Problem{Path: path, Line: line, Detail: fmt.Sprintf(format, args...)})
}

// checkTopLevel checks the settings outside the instances' entries.
func (c *checker) checkTopLevel() {
	s := c.settings
	if _, ok := telemetry.Levels[s.LogLevel]; !ok {
		c.add("log_level", "must be debug, info or error, not %q", s.LogLevel)
	}
	if s.LeaseSeconds < minLeaseSeconds || s.LeaseSeconds > maxLeaseSeconds {
		c.add("lease_seconds", "must be between %d and %d seconds, not %g", minLeaseSeconds, maxLeaseSeconds, s.LeaseSeconds)
	}
	if s.MaxRequests < minRequests || s.MaxRequests > maxRequests {
		c.add("max_requests", "must be between %d and %d requests, not %d", minRequests, maxRequests, s.MaxRequests)
	}
	if s.MaxMemoryMB < minMemoryMB || s.MaxMemoryMB > maxMemoryMB {
		c.add("max_memory_mb", "must be between %d and %d MB, not %d", minMemoryMB, maxMemoryMB, s.MaxMemoryMB)
	}
	if s.MaxFiles != 0 && (s.MaxFiles < minFiles || s.MaxFiles > maxFiles) {
		c.add("max_files", "must be between %d and %d descriptors, not %d", minFiles, maxFiles, s.MaxFiles)
	}
	switch {
	case s.Extent != ExtentZone && s.Extent != ExtentRegion:
		c.add("extent", "must be %q or %q, not %q", ExtentZone, ExtentRegion, s.Extent)
	case s.Extent == ExtentRegion && len(s.WithDisk()) == 0:
		c.add("extent", "%q requires an instance with disk set", s.Extent)
	case s.Extent == ExtentZone && s.FirstStart:
		c.add("first_start", "must not be set with extent %q", s.Extent)
	}
	switch {
	case s.WorkerSpeeds != SpeedsEqual && s.WorkerSpeeds != SpeedsMeasured:
		c.add("worker_speeds", "must be %q or %q, not %q", SpeedsEqual, SpeedsMeasured, s.WorkerSpeeds)
	case s.WorkerSpeeds == SpeedsMeasured && s.Extent == ExtentZone:
		c.add("worker_speeds", "must not be %q with extent %q", SpeedsMeasured, ExtentZone)
	}
	c.checkScheduling()
	if n := len(s.Instances); n < 1 || n > maxInstances {
		c.add("instances", "must have 1 to %d entries, not %d", maxInstances, n)
	}
	if n := len(s.Zones()); n > maxZones {
		c.add("instances", "must name at most %d availability zones, not %d", maxZones, n)
	}
}

// checkScheduling checks the settings of the decisions of a region.
func (c *checker) checkScheduling() {
	s := c.settings
	switch {
	case !s.Preemption.Valid():
		c.add("preemption", "must be %q or %q, not %q", place.Eager, place.Economical, s.Preemption)
	case s.Preemption != "" && s.Extent == ExtentZone:
		c.add("preemption", "must not be set with extent %q", s.Extent)
	}
	switch {
	case s.FairShareHalfLifeMS < 0 || s.FairShareHalfLifeMS > maxHalfLifeMS:
		c.add("fair_share_half_life_ms", "must be between 0 and %d, not %d", maxHalfLifeMS, s.FairShareHalfLifeMS)
	case s.FairShareHalfLifeMS != 0 && s.Extent == ExtentZone:
		c.add("fair_share_half_life_ms", "must not be set with extent %q", s.Extent)
	}
	if _, err := mechanism.NewSet(s.SwitchedOff); err != nil {
		c.add("switched_off", "%s", err)
	} else if len(s.SwitchedOff) > 0 && s.Extent == ExtentZone {
		c.add("switched_off", "must not be set with extent %q", s.Extent)
	}
}

func (c *checker) checkInstance(i int) {
	in := &c.settings.Instances[i]
	path := func(field string) string { return fmt.Sprintf("instances[%d].%s", i, field) }
	c.checkName(path("name"), in.Name)
	if in.Name != "" && c.seenNames[in.Name] {
		c.add(path("name"), "%q is the name of an earlier instance", in.Name)
	}
	c.seenNames[in.Name] = true
	c.checkName(path("availability_zone"), in.AvailabilityZone)
	if in.Region != "" {
		c.checkName(path("region"), in.Region)
	}
	if r, ok := c.regionByZone[in.AvailabilityZone]; ok && r != in.Region {
		c.add(path("region"), "is %q, but %q on an earlier instance of availability zone %q", in.Region, r, in.AvailabilityZone)
	} else {
		c.regionByZone[in.AvailabilityZone] = in.Region
	}
	c.checkAddress(path("client_address"), in.ClientAddress)
	c.checkAddress(path("peer_address"), in.PeerAddress)
}

// checkName checks a name. Names become part of IDs, file names and metrics.
func (c *checker) checkName(path, s string) {
	if s == "" || len(s) > maxNameBytes {
		c.add(path, "must have 1 to %d characters, not %d", maxNameBytes, len(s))
		return
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' {
			c.add(path, "must consist of ASCII letters, digits, - and _, not %q", s)
			return
		}
	}
}

// checkAddress checks that an address is an IP:port that other hosts can dial and that
// is used only once.
func (c *checker) checkAddress(path, s string) {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		c.add(path, "must be IP:port, not %q", s)
	case a.Port() == 0:
		c.add(path, "must have a port between 1 and 65535, not 0")
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		c.add(path, "must be an address that others can dial, not %s", a.Addr())
	case c.seenAddresses[a] != "":
		c.add(path, "%s is used by %s too", a, c.seenAddresses[a])
	default:
		c.seenAddresses[a] = path
	}
}

// checkSelf checks the entry of this daemon's own instance, and the data folder
// against it.
func (c *checker) checkSelf() {
	self := c.settings.Self()
	folder := c.settings.DataFolder
	switch {
	case self == nil:
		c.add("name", "%q is not the name of an entry of instances", c.settings.Name)
	case self.Disk && folder == "":
		c.add("data_folder", "is required, since instance %q has disk set", self.Name)
	case !self.Disk && folder != "":
		c.add("data_folder", "must not be set, since instance %q does not have disk set", self.Name)
	}
	if folder != "" && (!filepath.IsAbs(folder) || len(folder) > maxPathBytes) {
		c.add("data_folder", "must be an absolute path of at most %d bytes, not %.80q", maxPathBytes, folder)
	}
}
