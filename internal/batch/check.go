package batch

import "fmt"

// Limits on input from callers and operators. They bound the memory that one message
// can occupy.
const (
	maxPayloadBytes = 4000
	MaxSteps        = 256
	maxUnits        = 20000 // over all occurrences of one job
	maxIntervalMS   = 1 << 40
	maxResource     = 1 << 40 // for each resource and for the estimate in ms
)

// InvalidError reports why a job or a configuration is invalid.
type InvalidError struct{ Detail string }

func (e *InvalidError) Error() string { return e.Detail }

func invalid(format string, args ...any) error {
	return &InvalidError{Detail: fmt.Sprintf(format, args...)}
}

// Check validates the description of a job. Its error is an *InvalidError.
func (s *Spec) Check() error {
	switch {
	case len(s.Payload) > maxPayloadBytes:
		return invalid("payload is longer than %d bytes", maxPayloadBytes)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return invalid("job has %d steps", len(s.Steps))
	case s.Occurrences < 0 || s.Occurrences > maxUnits || s.StartMS < 0 || s.IntervalMS < 0 || s.IntervalMS > maxIntervalMS:
		return invalid("occurrences are out of range")
	}
	units := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if err := st.check(i); err != nil {
			return err
		}
		if units += st.Count * max(1, s.Occurrences); units > maxUnits {
			return invalid("job has more than %d units", maxUnits)
		}
	}
	return nil
}

// check validates a step; i is its index in the job.
func (st *Step) check(i int) error {
	if st.Count < 1 || st.Count > maxUnits {
		return invalid("step %d has %d units", i, st.Count)
	}
	for _, v := range [...]int64{st.Need.CPU, st.Need.MemoryMB, st.Need.Accelerators, st.EstimateMS} {
		if v < 0 || v > maxResource {
			return invalid("step %d has a resource or an estimate out of range", i)
		}
	}
	for _, d := range st.DependsOn {
		if d < 0 || d >= i {
			return invalid("step %d depends on step %d, which is not an earlier one", i, d)
		}
	}
	if st.MaxPerWorker < 0 {
		return invalid("step %d allows %d units per worker", i, st.MaxPerWorker)
	}
	return nil
}

// Check validates a configuration. Its error is an *InvalidError.
func (c *Config) Check() error {
	if c.Version == 0 {
		return invalid("configuration has no version")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service %q has no name or is defined twice", s.Name)
		}
		services[s.Name] = true
	}
	routes := map[[2]string]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		route := [2]string{q.Host, q.Prefix}
		switch {
		case !services[q.Service]:
			return invalid("queue %q names service %q, which does not exist", q.Name, q.Service)
		case routes[route]:
			return invalid("queue %q has the same host and prefix as another queue", q.Name)
		case q.Prefix == "" || q.Prefix[0] != '/':
			return invalid("queue %q has no prefix", q.Name)
		}
		routes[route] = true
	}
	owner := map[string]string{}
	for _, cu := range c.Customers {
		for _, k := range cu.Keys {
			if o, used := owner[k]; used && o != cu.Name {
				return invalid("customers %q and %q share a key", o, cu.Name)
			}
			owner[k] = cu.Name
		}
	}
	return nil
}
