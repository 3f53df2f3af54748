package model

import (
	"slices"
	"strings"
	"time"
)

// ConfigChange turns configuration version From into version To. It carries
// only the services that differ between the two. If From is 0 it carries all
// services and replaces any earlier version.
type ConfigChange struct {
	From       uint64    `json:"from" cbor:"1,keyasint,omitempty"`
	To         uint64    `json:"to" cbor:"2,keyasint"`
	PublishKey string    `json:"publish_key" cbor:"3,keyasint,omitempty"`
	Publisher  string    `json:"publisher" cbor:"4,keyasint,omitempty"`
	AcceptedAt time.Time `json:"accepted_at" cbor:"5,keyasint"`
	Changed    []Service `json:"changed,omitempty" cbor:"6,keyasint,omitempty"`
	Removed    []string  `json:"removed,omitempty" cbor:"7,keyasint,omitempty"`
}

// FullConfigChange returns a change that carries the complete configuration c.
func FullConfigChange(c *Configuration) *ConfigChange {
	return &ConfigChange{
		To: c.Version, PublishKey: c.PublishKey, Publisher: c.Publisher,
		AcceptedAt: c.AcceptedAt, Changed: c.Services,
	}
}

// ApplyTo returns the configuration that results from applying the change to
// old, which may be nil and is not modified. It does not check the versions.
// The services are sorted by name, so that every replica holds the same bytes.
func (ch *ConfigChange) ApplyTo(old *Configuration) *Configuration {
	out := &Configuration{
		Version: ch.To, PublishKey: ch.PublishKey, Publisher: ch.Publisher, AcceptedAt: ch.AcceptedAt,
	}
	if ch.From != 0 && old != nil {
		for i := range old.Services {
			if !ch.affects(old.Services[i].Name) {
				out.Services = append(out.Services, old.Services[i])
			}
		}
	}
	out.Services = append(out.Services, ch.Changed...)
	slices.SortStableFunc(out.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (ch *ConfigChange) affects(service string) bool {
	if slices.Contains(ch.Removed, service) {
		return true
	}
	return slices.ContainsFunc(ch.Changed, func(s Service) bool { return s.Name == service })
}
