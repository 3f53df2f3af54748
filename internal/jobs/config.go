package jobs

import "teaselpaddle.example/teaselpaddle/internal/model"

// adoptConfig puts a configuration change into force. A change of single
// services must apply to the version in force and lead to a later one; a
// complete configuration must have a later version. Hence the version in force
// never decreases.
func (m *Machine) adoptConfig(c *Command) *Result {
	if c.Config == nil {
		return refused(model.ReasonInternal, "the command to adopt a configuration contains none")
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
		return refused(model.ReasonVersionConflict, "the change applies to version %d, but version %d is in force", c.Config.From, version)
	}
	m.config = c.Config.ApplyTo(m.config)
	return &Result{}
}
