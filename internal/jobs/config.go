package jobs

import "teaselpaddle.example/teaselpaddle/internal/model"

// adopt puts a change of the configuration in force. A change of single
// services must start at the version in force and lead to a later one; a whole
// configuration must be newer. So the version in force never goes back.
func (m *Machine) adopt(c *Command) *Result {
	if c.Config == nil {
		return refused(model.ReasonInternal, "adoption without a configuration")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var version uint64
	if m.config != nil {
		version = m.config.Version
	}
	if c.Config.To <= version {
		return refused(model.ReasonVersionConflict, "version %d is not newer than %d", c.Config.To, version)
	}
	if c.Config.From != 0 && c.Config.From != version {
		return refused(model.ReasonVersionConflict, "the change starts at version %d, not %d", c.Config.From, version)
	}
	m.config = c.Config.ApplyTo(m.config)
	return &Result{}
}
