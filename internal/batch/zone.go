package batch

// changeZone cordons or uncordons a zone if the zone has not changed since the order was
// given. An order for the state that the zone is in has no effect.
func (m *Machine) changeZone(c *ZoneChange) Verdict {
	var cur ZoneState
	if z := m.state.Zones[c.Zone]; z != nil {
		cur = *z
	}
	switch {
	case cur.Cordoned == c.Cordon:
		return OK
	case cur.Generation != c.Generation:
		return ZoneChanged
	}
	if m.state.Zones == nil {
		m.state.Zones = map[string]*ZoneState{}
	}
	m.state.Zones[c.Zone] = &ZoneState{Cordoned: c.Cordon, Generation: cur.Generation + 1, SinceMS: c.AtMS, By: c.By}
	return OK
}

func (m *Machine) cordoned(zone string) bool {
	z := m.state.Zones[zone]
	return z != nil && z.Cordoned
}

// Cordoned reports whether a zone is cordoned.
func (v *View) Cordoned(zone string) bool { return v.m.cordoned(zone) }

// Zones returns the zones that have been cordoned at least once, by name.
func (v *View) Zones() map[string]*ZoneState { return v.m.state.Zones }
