package batch

import (
	"maps"
	"slices"
	"strings"
)

// queueIndex looks up the queues and customers of one configuration.
type queueIndex struct {
	config        *Config
	queuesByHost  map[string][]*Queue // longest prefix first
	queuesByName  map[string][]*Queue
	customerByKey map[string]string // identity by key
	renamed       map[string]string // published name by identity, where they differ
	formerKeys    map[string][]formerOwner
}

func newQueueIndex(c *Config) queueIndex {
	x := queueIndex{
		config: c, queuesByHost: map[string][]*Queue{}, queuesByName: map[string][]*Queue{},
		customerByKey: map[string]string{}, renamed: map[string]string{}, formerKeys: map[string][]formerOwner{},
	}
	if c == nil {
		return x
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.queuesByHost[q.Host] = append(x.queuesByHost[q.Host], q)
		if q.Name != "" {
			x.queuesByName[q.Name] = append(x.queuesByName[q.Name], q)
		}
	}
	for _, qs := range maps.All(x.queuesByHost) {
		slices.SortFunc(qs, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, cu := range c.Customers {
		for _, k := range cu.Keys {
			x.customerByKey[k] = cu.Name
			if f, ok := parseFormerKey(cu.Name, k); ok {
				x.formerKeys[f.key] = append(x.formerKeys[f.key], formerOwner{cu.Name, f})
			}
		}
		if name := cu.PublishedName(); name != cu.Name {
			x.renamed[cu.Name] = name
		}
	}
	return x
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
