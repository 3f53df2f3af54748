package batch

import (
	"cmp"
	"fmt"
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
	var known []*account
	if cur := v.Config(); cur != nil {
		known = cur.accounts()
	}
	claimIdentities(present, known)
	former := v.inheritKeys(present, known)
	identifyNew(present, former, next.Version)

	byName := map[string]*account{}
	for _, a := range present {
		byName[a.name] = a
	}
	for i := range next.Customers {
		if a := byName[next.Customers[i].Name]; a != nil {
			next.Customers[i].Name = a.identity
			next.Customers[i].Keys = append(next.Customers[i].Keys, a.reservedKeys()...)
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
			} else if f, ok := parseFormerKey(cu.Name, k); ok && !slices.Contains(a.formerKeys, f) {
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

// sharedKeys returns how many keys of an account identify a known one.
func (a *account) sharedKeys(known *account) int {
	n := 0
	for _, k := range known.identifyingKeys() {
		if slices.Contains(a.keys, k) {
			n++
		}
	}
	return n
}

// claimIdentities gives the accounts of a configuration the identities of the known ones that they
// continue. An account is recognised by its keys first, because its callers hold them: a known account
// is continued by the one of the same name if they share keys, then by the one with most of its keys,
// and then by the one of the same name, whose keys have all been replaced.
func claimIdentities(present, known []*account) {
	claimed := map[*account]bool{}
	claim := func(match func(a, k *account) int) {
		for _, a := range present {
			if a.continued != nil {
				continue
			}
			for _, k := range known {
				if n := match(a, k); !claimed[k] && n > 0 && (a.continued == nil || n > match(a, a.continued)) {
					a.continued = k
				}
			}
			if a.continued != nil {
				claimed[a.continued] = true
				a.identity = a.continued.identity
			}
		}
	}
	claim(func(a, k *account) int {
		if a.name != k.name {
			return 0
		}
		return a.sharedKeys(k)
	})
	claim((*account).sharedKeys)
	claim(func(a, k *account) int {
		// Others hold the keys of a former customer that was merged into theirs; its name is free.
		if a.name != k.name || k.former && slices.ContainsFunc(present, func(p *account) bool { return p.sharedKeys(k) > 0 }) {
			return 0
		}
		return 1
	})
}

// inheritKeys gives the accounts that are continued their former keys, as far as others hold them and
// there are jobs to access. It returns the former accounts: those with jobs that are not continued.
func (v *View) inheritKeys(present, known []*account) []*account {
	oldest := v.oldestJobs()
	held := map[string]bool{}
	continued := map[*account]bool{}
	for _, a := range present {
		continued[a.continued] = true
		for _, k := range a.keys {
			held[k] = true
		}
	}
	for _, a := range present {
		if a.continued != nil {
			a.formerKeys = slices.DeleteFunc(a.continued.lostKeys(a.keys, v.m.state.NextSeq, oldest), func(f formerKey) bool { return !held[f.key] })
		}
	}
	var former []*account
	for _, k := range known {
		if _, hasJobs := oldest[k.identity]; hasJobs && !continued[k] {
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
	lost := slices.Clone(a.formerKeys)
	for _, k := range a.keys {
		lost = append(lost, formerKey{key: k, lastSeq: lastSeq})
	}
	first, hasJobs := oldest[a.identity]
	return slices.DeleteFunc(lost, func(f formerKey) bool { return !hasJobs || f.lastSeq < first || slices.Contains(next, f.key) })
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
