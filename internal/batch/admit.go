package batch

import (
	"maps"
	"slices"
	"strings"
)

// queueIndex looks up the queues and customers of one configuration.
type queueIndex struct {
	config        *Config
	queuesByHost  map[string][]*Queue // by host, longest prefix first
	customerByKey map[string]string   // customer name by key
}

func newQueueIndex(c *Config) queueIndex {
	x := queueIndex{config: c, queuesByHost: map[string][]*Queue{}, customerByKey: map[string]string{}}
	if c == nil {
		return x
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.queuesByHost[q.Host] = append(x.queuesByHost[q.Host], q)
	}
	for _, qs := range maps.All(x.queuesByHost) {
		slices.SortFunc(qs, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, cu := range c.Customers {
		for _, k := range cu.Keys {
			x.customerByKey[k] = cu.Name
		}
	}
	return x
}

func (x *queueIndex) queue(host, prefix string) *Queue {
	for _, q := range x.queuesByHost[host] {
		if q.Prefix == prefix {
			return q
		}
	}
	return nil
}

// queueKey identifies a queue.
type queueKey struct{ host, prefix string }

// keepRemovedQueues updates removedQueues before another configuration takes effect.
func (m *Machine) keepRemovedQueues(next *queueIndex) {
	kept := map[queueKey]*Queue{}
	seen := map[queueKey]bool{}
	for _, j := range m.liveJobs {
		k := queueKey{j.Host, j.Prefix}
		if seen[k] {
			continue
		}
		seen[k] = true
		if next.queue(k.host, k.prefix) != nil {
			continue
		}
		if q := m.index.queue(k.host, k.prefix); q != nil {
			kept[k] = q
		} else if q := m.removedQueues[k]; q != nil {
			kept[k] = q
		}
	}
	m.removedQueues = kept
}

// admit returns the queue and the customer of a request. The queue is nil unless the
// verdict is OK.
func (x *queueIndex) admit(c Call) (*Queue, string, Verdict) {
	if x.config == nil {
		return nil, "", NoConfig
	}
	for _, q := range x.queuesByHost[c.Host] {
		if !strings.HasPrefix(c.Path, q.Prefix) {
			continue
		}
		customer, known := x.customerByKey[c.Key]
		if !known && !q.Public {
			return nil, "", UnknownKey
		}
		return q, customer, OK
	}
	return nil, "", NoQueue
}
