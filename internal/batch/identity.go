package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// A job records the customer that submitted it. An operator may publish that customer under another
// name later, give its name to somebody else, or give one of its keys to another customer. The group
// therefore knows a customer by an identity, its first published name, and the leader puts the
// identities in place of the names before it commits a configuration.

// account is a customer with all its entries in a configuration.
type account struct {
	identity string // "" until it is known
	name     string // as published
	keys     []string
	former   bool // it is in no published configuration any more, but has jobs
	// formerKeys are keys that have belonged to it. Those who hold them may still access the jobs of
	// that time.
	formerKeys []formerKey
	// continued is the account of the configuration before with the same identity, or nil.
	continued *account
	stored    bool // its reserved keys are in the configuration
}

// WithIdentities returns a copy of a published configuration in the form in which it is committed: with
// the identities of its customers in place of their names, and with the former customers. Customers
// without a name stay as they are, because every customer may access their jobs.
func (v *View) WithIdentities(published *Config) *Config {
	next := *published
	next.Customers = make([]Customer, 0, len(published.Customers))
	for _, cu := range published.Customers {
		cu.Keys = slices.DeleteFunc(slices.Clone(cu.Keys), isReserved)
		next.Customers = append(next.Customers, cu)
	}
	present := next.accounts()
	for _, a := range present {
		a.identity = "" // so far the name
	}
	known := newKnownAccounts(nil)
	if cur := v.Config(); cur != nil {
		known = newKnownAccounts(cur.accounts())
	}
	claimIdentities(present, known)
	former := v.inheritKeys(present, known)
	identifyNew(present, former, next.Version)

	byName := map[string]*account{}
	for _, a := range present {
		byName[a.name] = a
	}
	for i := range next.Customers {
		a := byName[next.Customers[i].Name]
		if a == nil {
			continue
		}
		next.Customers[i].Name = a.identity
		if !a.stored {
			next.Customers[i].Keys = append(next.Customers[i].Keys, a.reservedKeys()...)
			a.stored = true
		}
	}
	for _, a := range former {
		next.Customers = append(next.Customers, Customer{Name: a.identity, Keys: a.reservedKeys()})
	}
	return &next
}

// accounts returns the customers of a configuration that have a name, former ones last.
func (c *Config) accounts() []*account {
	var out []*account
	byIdentity := map[string]*account{}
	for i := range c.Customers {
		cu := &c.Customers[i]
		if cu.Name == "" {
			continue
		}
		a := byIdentity[cu.Name]
		if a == nil {
			a = &account{identity: cu.Name, name: cu.PublishedName(), former: cu.IsFormer()}
			byIdentity[cu.Name] = a
			out = append(out, a)
		}
		for _, k := range cu.Keys {
			if !isReserved(k) {
				a.keys = append(a.keys, k)
			} else if f, ok := parseFormerKey(cu.Name, k); ok {
				a.formerKeys = append(a.formerKeys, f)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *account) int {
		switch {
		case a.former == b.former:
			return 0
		case a.former:
			return 1
		}
		return -1
	})
	return out
}

// identifyingKeys returns the keys by which an account is recognised.
func (a *account) identifyingKeys() []string {
	if !a.former {
		return a.keys
	}
	keys := make([]string, len(a.formerKeys))
	for i, f := range a.formerKeys {
		keys[i] = f.key
	}
	return keys
}

// knownAccounts are the accounts of the configuration in force, by what they are recognised by.
type knownAccounts struct {
	all           []*account
	byKey, byName map[string][]*account
	claimed       map[*account]bool
}

func newKnownAccounts(all []*account) *knownAccounts {
	known := &knownAccounts{all: all, byKey: map[string][]*account{}, byName: map[string][]*account{}, claimed: map[*account]bool{}}
	for _, a := range all {
		known.byName[a.name] = append(known.byName[a.name], a)
		for _, key := range a.identifyingKeys() {
			known.byKey[key] = append(known.byKey[key], a)
		}
	}
	return known
}

// sharedKeys returns the known accounts that keys of an account identify, with the number of these keys.
func (known *knownAccounts) sharedKeys(a *account) map[*account]int {
	shared := map[*account]int{}
	for _, key := range a.keys {
		for _, k := range known.byKey[key] {
			shared[k]++
		}
	}
	return shared
}

// claim gives an account the identity of the known one with the highest positive weight that no other
// account continues.
func (known *knownAccounts) claim(a *account, weights map[*account]int) {
	if a.continued != nil || len(weights) == 0 {
		return
	}
	highest := 0
	for _, k := range known.all {
		if !known.claimed[k] && weights[k] > highest {
			a.continued, highest = k, weights[k]
		}
	}
	if a.continued != nil {
		known.claimed[a.continued] = true
		a.identity = a.continued.identity
	}
}

// claimIdentities gives the accounts of a configuration the identities of the known ones that they
// continue. An account is recognised by its keys first, because its callers hold them: a known account
// is continued by the one of the same name if they share keys, then by the one with most of its keys,
// and then by the one of the same name, whose keys have all been replaced.
func claimIdentities(present []*account, known *knownAccounts) {
	merged := map[*account]bool{} // former accounts whose keys others hold
	for _, a := range present {
		shared := known.sharedKeys(a)
		for k := range shared {
			merged[k] = k.former
		}
		maps.DeleteFunc(shared, func(k *account, _ int) bool { return k.name != a.name })
		known.claim(a, shared)
	}
	for _, a := range present {
		if a.continued == nil {
			known.claim(a, known.sharedKeys(a))
		}
	}
	for _, a := range present {
		sameName := map[*account]int{}
		for _, k := range known.byName[a.name] {
			if !merged[k] { // else its name is free
				sameName[k] = 1
			}
		}
		known.claim(a, sameName)
	}
}

// inheritKeys gives the accounts that are continued their former keys, as far as others hold them and
// there are jobs to access. It returns the former accounts: those with jobs that are not continued.
func (v *View) inheritKeys(present []*account, known *knownAccounts) []*account {
	oldest := v.oldestJobs()
	held := map[string]bool{}
	for _, a := range present {
		for _, key := range a.keys {
			held[key] = true
		}
	}
	for _, a := range present {
		if a.continued != nil {
			a.formerKeys = a.continued.lostKeys(a.keys, v.m.state.NextSeq, oldest)
			a.formerKeys = slices.DeleteFunc(a.formerKeys, func(f formerKey) bool { return !held[f.key] })
		}
	}
	var former []*account
	for _, k := range known.all {
		if _, hasJobs := oldest[k.identity]; hasJobs && !known.claimed[k] {
			former = append(former, &account{
				identity: k.identity, name: k.name, former: true, formerKeys: k.lostKeys(nil, v.m.state.NextSeq, oldest),
			})
		}
	}
	return former
}

// lostKeys returns the keys that have belonged to an account and are not among its next ones, if there
// are jobs that they give access to. lastSeq is that of the last job, and oldest has the first one of
// each customer.
func (a *account) lostKeys(next []string, lastSeq uint64, oldest map[string]uint64) []formerKey {
	kept := map[string]bool{}
	for _, key := range next {
		kept[key] = true
	}
	lost := slices.Clone(a.formerKeys)
	for _, key := range a.keys {
		lost = append(lost, formerKey{key: key, lastSeq: lastSeq})
	}
	first, hasJobs := oldest[a.identity]
	return slices.DeleteFunc(lost, func(f formerKey) bool { return !hasJobs || f.lastSeq < first || kept[f.key] })
}

// oldestJobs returns the order of acceptance of the first job that is kept of each customer.
func (v *View) oldestJobs() map[string]uint64 {
	oldest := map[string]uint64{}
	for _, j := range v.m.state.Jobs {
		if seq, found := oldest[j.Customer]; !found || j.Seq < seq {
			oldest[j.Customer] = j.Seq
		}
	}
	return oldest
}

// identifyNew gives the accounts that continue no known one their names as identities, with the version
// added if another account has that identity.
func identifyNew(present, former []*account, version uint64) {
	used := map[string]bool{}
	for _, a := range slices.Concat(present, former) {
		used[a.identity] = true
	}
	for _, a := range present {
		if a.identity != "" {
			continue
		}
		a.identity = a.name
		for used[a.identity] {
			a.identity += fmt.Sprintf("#%d", version)
		}
		used[a.identity] = true
	}
}

// CustomerName returns the published name of a customer by its identity, the last one if it is no
// longer configured.
func (v *View) CustomerName(identity string) string {
	return cmp.Or(v.m.index.renamed[identity], identity)
}

// CallForJob returns the call with which a caller accesses a job: with another key if the job was
// submitted by a customer that the caller's key belonged to at that time. Requests for jobs have to
// be handled with it.
func (v *View) CallForJob(c Call, id string) Call {
	j := v.m.state.Jobs[id]
	customer, known := v.m.index.customerByKey[c.Key]
	if j == nil || !known || j.visibleTo(customer) {
		return c
	}
	for _, f := range v.m.index.formerKeys[c.Key] {
		if f.identity == j.Customer && j.Seq <= f.lastSeq {
			c.Key = f.reserved()
			break
		}
	}
	return c
}
