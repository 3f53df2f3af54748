package explain

import (
	"maps"
	"slices"
)

// Messages with which an instance logs that a zone was cordoned or uncordoned, and that a
// step began to wait.
const (
	cordonedMessage   = "zone cordoned"
	uncordonedMessage = "zone uncordoned"
	stepWaitsMessage  = "step waits for room"
)

// cordonedZonesField is added to the line of a step that waits. It names the zones that
// were cordoned then and so had no room for it.
const cordonedZonesField = "cordonedZones"

// zoneHistory follows the cordons of zones through the lines of all instances, in order of
// time.
type zoneHistory struct {
	latest map[string]Event // last change by zone
}

// isChange reports whether a line tells that a zone was cordoned or uncordoned.
func (h *zoneHistory) isChange(e *Event) bool {
	return e.Message == cordonedMessage || e.Message == uncordonedMessage
}

// record records a change. It returns false for a line that tells nothing new: every
// instance logs each change, and again when it applies its log after a restart.
func (h *zoneHistory) record(e Event) bool {
	zone := e.Text("zone")
	if last, known := h.latest[zone]; known && e.Number("generation") <= last.Number("generation") {
		return false
	}
	if h.latest == nil {
		h.latest = map[string]Event{}
	}
	h.latest[zone] = e
	return true
}

// cordons returns the changes that cordoned the zones that are cordoned now, in order of
// time.
func (h *zoneHistory) cordons() []Event {
	var out []Event
	for _, zone := range slices.Sorted(maps.Keys(h.latest)) {
		if e := h.latest[zone]; e.Message == cordonedMessage {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return out
}

// annotate adds the cordoned zones to the line of a step that begins to wait.
func (h *zoneHistory) annotate(e *Event) {
	if e.Message != stepWaitsMessage {
		return
	}
	var zones []string
	for _, c := range h.cordons() {
		zones = append(zones, c.Text("zone"))
	}
	if len(zones) > 0 {
		slices.Sort(zones)
		e.Fields[cordonedZonesField] = zones
	}
}
