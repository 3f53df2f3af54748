package batch

// recordSpeeds stores measured speeds with the records of the workers. Speeds of other
// incarnations are ignored. Records are replaced, not changed, because readers may hold
// copies that share the speed.
func (m *Machine) recordSpeeds(c *WorkerSpeeds) {
	for i := range c.Speeds {
		s := &c.Speeds[i]
		if w := m.state.Workers[s.Worker]; w != nil && w.Incarnation == s.Incarnation {
			changed := *w
			changed.Speed = &s.Speed
			m.state.Workers[s.Worker] = &changed
		}
	}
}
