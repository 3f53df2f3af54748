package batch

import (
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits on what a worker says of itself. Other systems may send announcements too: what they
// contain must not overflow the sums of the planner, fill the replicated state, or fail where it is
// encoded or dialled.
const (
	// MaxTimeMS bounds times and clocks, ms. As a Unix time it is in the year 2109.
	MaxTimeMS         = 1 << 42
	maxNameBytes      = 256
	maxLabels         = 64
	maxWorkerResource = 1 << 31 // for each resource; the sum over all workers stays far below an int64
)

// CheckIdentity validates the id and the incarnation of a worker. Its error is an *InvalidError.
func (w *Worker) CheckIdentity() error {
	switch {
	case w.ID == "":
		return invalid("worker has no id")
	case w.Incarnation < 0 || w.Incarnation > MaxTimeMS:
		return invalid("start of the worker's process is out of range")
	}
	return checkName("id", w.ID)
}

// Check validates the description of a worker. Its error is an *InvalidError.
func (w *Worker) Check() error {
	if err := w.CheckIdentity(); err != nil {
		return err
	}
	if a, err := netip.ParseAddrPort(w.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return invalid("address of the worker is not an IP address and a port")
	}
	if w.Service == "" {
		return invalid("worker has no service")
	}
	if len(w.Labels) > maxLabels {
		return invalid("worker has %d labels", len(w.Labels))
	}
	for _, v := range [...]int64{w.Capacity.CPU, w.Capacity.MemoryMB, w.Capacity.Accelerators} {
		if v < 0 || v > maxWorkerResource {
			return invalid("capacity of the worker is out of range")
		}
	}
	for _, n := range append([]string{w.Service, w.Zone, w.Rack}, w.Labels...) {
		if err := checkName("name", n); err != nil {
			return err
		}
	}
	return nil
}

// checkName checks the length and the characters of a text that a worker sends.
func checkName(field, s string) error {
	if len(s) > maxNameBytes || !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) {
		return invalid("a %s of the worker is too long or has invalid characters", field)
	}
	return nil
}
