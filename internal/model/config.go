package model

import "time"

// Shape is a set of adjacent accelerators in one rack, or in neighbouring racks
// if it is larger than a rack.
type Shape struct {
	Accelerators int `json:"accelerators"`
}

// Guarantee promises Count shapes to a customer in one availability zone.
type Guarantee struct {
	AvailabilityZone string `json:"availability_zone"`
	Shape            Shape  `json:"shape"`
	Count            int    `json:"count"`
}

// Customer is one customer with its weight, limits and guarantees.
type Customer struct {
	Name string `json:"name"`
	// Weight is the share of accelerators outside the guarantees.
	Weight int `json:"weight"`
	// QueueLimit is the largest number of queued jobs in a zone.
	QueueLimit int `json:"queue_limit"`
	// Quota is the largest number of accelerators in use in a zone; 0 is no limit.
	Quota      int         `json:"quota,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
}

// RackSpec describes racks that a zone is planned to have. Guarantees are
// checked against it.
type RackSpec struct {
	AvailabilityZone      string `json:"availability_zone"`
	Racks                 int    `json:"racks"`
	WorkersPerRack        int    `json:"workers_per_rack"`
	AcceleratorsPerWorker int    `json:"accelerators_per_worker"`
}

// Policy is the policy of one service.
type Policy struct {
	// CheckpointBoundSeconds is the time a task has to checkpoint before it is
	// stopped in a reclaim.
	CheckpointBoundSeconds float64 `json:"checkpoint_bound_seconds"`
	// FragmentationWeight is between 0 (only completion time counts) and 1 (only
	// fragmentation counts).
	FragmentationWeight float64 `json:"fragmentation_weight"`
	// MaxFailures is the number of different workers on which a job may fail
	// before it gets its final answer.
	MaxFailures int `json:"max_failures"`
	// RetentionSeconds is how long final records are kept.
	RetentionSeconds float64 `json:"retention_seconds"`
}

// Service is one operators' file.
type Service struct {
	Name      string     `json:"service"`
	Customers []Customer `json:"customers"`
	Policy    Policy     `json:"policy"`
	Racks     []RackSpec `json:"racks"`
}

// Configuration is one accepted version of all services' files.
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
