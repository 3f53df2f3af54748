package model

import "time"

// Shape is a set of adjacent accelerators in one rack, or in neighbouring racks
// if it is larger than a rack.
type Shape struct {
	Accelerators int `json:"accelerators"`
}

// Guarantee reserves Count shapes for a customer in one availability zone.
type Guarantee struct {
	AvailabilityZone string `json:"availability_zone"`
	Shape            Shape  `json:"shape"`
	Count            int    `json:"count"`
}

// Customer is a customer with its weight, limits and guarantees.
type Customer struct {
	Name string `json:"name"`
	// Weight is the customer's relative share of the accelerators outside the
	// guarantees.
	Weight int `json:"weight"`
	// QueueLimit is the maximum number of queued jobs in a zone.
	QueueLimit int `json:"queue_limit"`
	// Quota is the maximum number of accelerators in use in a zone; 0 means no
	// limit.
	Quota      int         `json:"quota,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
}

// RackSpec describes racks that a zone is planned to have. Guarantees are
// validated against it.
type RackSpec struct {
	AvailabilityZone      string `json:"availability_zone"`
	Racks                 int    `json:"racks"`
	WorkersPerRack        int    `json:"workers_per_rack"`
	AcceleratorsPerWorker int    `json:"accelerators_per_worker"`
}

// Policy is the policy of one service.
type Policy struct {
	// CheckpointBoundSeconds is the time that a preempted task gets to write a
	// checkpoint before it is stopped.
	CheckpointBoundSeconds float64 `json:"checkpoint_bound_seconds"`
	// FragmentationWeight ranges from 0 (only completion time counts) to 1
	// (only fragmentation counts).
	FragmentationWeight float64 `json:"fragmentation_weight"`
	// MaxFailures is the number of different workers on which a job may fail
	// before it is concluded as failed.
	MaxFailures int `json:"max_failures"`
	// RetentionSeconds is how long the results of jobs in a final state are
	// kept.
	RetentionSeconds float64 `json:"retention_seconds"`
}

// Service is the content of one service's configuration file.
type Service struct {
	Name      string     `json:"service"`
	Customers []Customer `json:"customers"`
	Policy    Policy     `json:"policy"`
	Racks     []RackSpec `json:"racks"`
}

// Configuration is one accepted version of the configuration, with the files of
// all services.
type Configuration struct {
	Version    uint64    `json:"version"`
	PublishKey string    `json:"publish_key"`
	Publisher  string    `json:"publisher"`
	AcceptedAt time.Time `json:"accepted_at"`
	Services   []Service `json:"services"`
}

// Customer returns the customer with the given name and its service.
func (c *Configuration) Customer(name string) (*Customer, *Service) {
	if c == nil {
		return nil, nil
	}
	for i := range c.Services {
		s := &c.Services[i]
		for j := range s.Customers {
			if s.Customers[j].Name == name {
				return &s.Customers[j], s
			}
		}
	}
	return nil, nil
}
