// Package view computes what operators see of one availability zone from the
// announced workers, the jobs and the configuration in force. Its functions are
// pure.
package view

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
)

// Zone is the part of an answer that concerns one availability zone. If Error
// is set the zone could not be reached and the other parts are empty.
type Zone struct {
	AvailabilityZone string             `json:"availability_zone"`
	Instance         string             `json:"instance,omitempty"` // the instance that answered
	Error            *Unreachable       `json:"error,omitempty"`
	Workers          []blackboard.Entry `json:"workers,omitempty"`
	Customers        []Customer         `json:"customers,omitempty"`
	Fragmentation    *Fragmentation     `json:"fragmentation,omitempty"`
	Status           *Status            `json:"status,omitempty"`
}

// Unreachable is the reason why a zone's part is missing.
type Unreachable struct {
	Code   model.Reason `json:"code"`
	Detail string       `json:"detail"`
}

// Status is the state of one instance and of its zone's replica group.
type Status struct {
	Leader  string           `json:"leader"`
	Leads   bool             `json:"leads"`
	Term    uint64           `json:"term"`
	Applied uint64           `json:"applied"`
	Ready   bool             `json:"ready"`
	Durable bool             `json:"durable"`
	Members []replica.Member `json:"members"`
	Config  ConfigStatus     `json:"config"`
	// Instances is the answering instance's membership view of all instances.
	Instances []Instance `json:"instances,omitempty"`
}

// Instance is one instance's view of another.
type Instance struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"` // alive, suspect or dead
	Stopping         bool   `json:"stopping,omitempty"`
	// ConfigVersion may be outdated by up to two minutes at 270 instances.
	ConfigVersion uint64 `json:"config_version"`
}

// ConfigStatus describes the configuration in force. Version is 0 if there is
// none.
type ConfigStatus struct {
	Version    uint64    `json:"version"`
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	AgeSeconds float64   `json:"age_seconds"`
	// UnconfirmedSeconds is the time since a configuration voter last confirmed
	// that no newer version is accepted. Only the zone's leader reports it.
	UnconfirmedSeconds *float64 `json:"unconfirmed_seconds,omitempty"`
}

// NewStatus converts the status of a replica group. confirmed is when a
// configuration voter last confirmed the configuration, or the zero time if
// none has answered this instance.
func NewStatus(st replica.Status, cfg *model.Configuration, confirmed, now time.Time) *Status {
	out := &Status{
		Leader: st.Leader, Leads: st.Leads, Term: st.Term, Applied: st.Applied,
		Ready: st.Ready, Durable: st.Durable, Members: st.Members,
	}
	if cfg != nil {
		out.Config = ConfigStatus{
			Version: cfg.Version, AcceptedAt: cfg.AcceptedAt, AgeSeconds: now.Sub(cfg.AcceptedAt).Seconds(),
		}
	}
	if st.Leads && !confirmed.IsZero() {
		s := now.Sub(confirmed).Seconds()
		out.Config.UnconfirmedSeconds = &s
	}
	return out
}
