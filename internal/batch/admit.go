package batch

import (
	"maps"
	"slices"
	"strings"
)

// queueIndex finds queues and customers of one configuration.
type queueIndex struct {
	config *Config
	byHost map[string][]*Queue // longest prefix first
	byKey  map[string]string   // customer by key
}

func newQueueIndex(c *Config) queueIndex {
	x := queueIndex{config: c, byHost: map[string][]*Queue{}, byKey: map[string]string{}}
	if c == nil {
		return x
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.byHost[q.Host] = append(x.byHost[q.Host], q)
	}
	for _, qs := range maps.All(x.byHost) {
		slices.SortFunc(qs, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, cu := range c.Customers {
		for _, k := range cu.Keys {
			x.byKey[k] = cu.Name
		}
	}
	return x
}

func (x *queueIndex) queue(host, prefix string) *Queue {
	for _, q := range x.byHost[host] {
		if q.Prefix == prefix {
			return q
		}
	}
	return nil
}

// admit finds the queue and the customer of a request.
func (x *queueIndex) admit(c Call) (*Queue, string, Verdict) {
	if x.config == nil {
		return nil, "", NoConfig
	}
	for _, q := range x.byHost[c.Host] {
		if !strings.HasPrefix(c.Path, q.Prefix) {
			continue
		}
		customer, known := x.byKey[c.Key]
		if !known && !q.Public {
			return nil, "", BadKey
		}
		return q, customer, OK
	}
	return nil, "", NoQueue
}
