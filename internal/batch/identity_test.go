package batch

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// publishAsLeader commits a configuration as the leader does.
func publishAsLeader(t interface{ Fatal(...any) }, m *Machine, c *Config) {
	m.View(func(v *View) { c = v.WithIdentities(c) })
	if got := apply(t, m, &Command{Publish: c}); got != OK {
		t.Fatal(got)
	}
}

// Keys are given to customers at random, and customers are renamed, merged and split. Guards against a
// caller whose key has been valid all the time and that is told that its job does not exist.
func TestKeysKeepAccessToTheirJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(nil)
		names, keys := []string{"a", "b", "c", "a#2"}, []string{"k0", "k1", "k2", "k3"}
		submitted := map[string]string{} // key by job; its key has been valid since
		for version := uint64(1); version <= 6; version++ {
			c := testConfig(version, fmt.Sprint(version))
			c.Customers = nil
			valid := map[string]bool{}
			for _, key := range keys {
				i := rapid.IntRange(0, len(names)).Draw(t, key)
				if i < len(names) {
					valid[key] = true
					c.Customers = append(c.Customers, Customer{Name: names[i], Keys: []string{key}})
				}
			}
			publishAsLeader(t, m, c)
			m.View(func(v *View) {
				if err := v.Config().Check(); err != nil {
					t.Fatal(err)
				}
			})
			maps.DeleteFunc(submitted, func(_, key string) bool { return !valid[key] })
			for key := range valid {
				id := fmt.Sprint(key, "-", version)
				if apply(t, m, submit(id, key, Step{Count: 1})) != OK {
					t.Fatal("not accepted")
				}
				submitted[id] = key
			}
			for id, key := range submitted {
				call := Call{Host: "h", Path: "/q/" + id, Key: key}
				m.View(func(v *View) {
					call = v.CallForJob(call, id)
					if _, customer, _ := v.Admit(call); v.Job(id, customer) == nil {
						t.Fatalf("version %d: key %s does not see its job %s", version, key, id)
					}
				})
				if version == 6 && apply(t, m, &Command{Cancel: &Cancel{Call: call, ID: id}}) != OK {
					t.Fatalf("key %s cannot cancel its job %s", key, id)
				}
			}
		}
	})
}

// Guards against a committed configuration in which two customers have a key in common, or in which an operator's
// key is taken for a reserved one.
func TestReservedKeys(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	config := func(version uint64, customers ...Customer) *Config {
		c := testConfig(version, fmt.Sprint(version))
		c.Customers = customers
		return c
	}
	publishAsLeader(t, m, config(1, Customer{Name: "a", Keys: []string{"k1", reservedKey(publishedNameKind, "a", "z")}}))
	m.View(func(v *View) { is.Equal(v.CustomerName("a"), "a") })
	apply(t, m, submit("j1", "k1", Step{Count: 1}))
	publishAsLeader(t, m, config(2, Customer{Name: "b", Keys: []string{"k1"}}, Customer{Name: "a", Keys: []string{"k2"}}))
	apply(t, m, submit("j2", "k2", Step{Count: 1}))
	m.View(func(v *View) {
		is.NoErr(v.Config().Check())
		is.Equal(v.CustomerName("a"), "b")
		is.Equal(v.CustomerName("a#2"), "a")
		is.Equal(v.Config().Customers[0].Name, "a")
		is.Equal(v.Config().Customers[1].Name, "a#2")
	})
	publishAsLeader(t, m, config(3))
	m.View(func(v *View) {
		is.NoErr(v.Config().Check())
		is.Equal(len(v.Config().Customers), 2) // both have jobs
		is.True(v.Config().Customers[0].IsFormer())
		is.Equal(v.CustomerName("a"), "b")
		_, _, verdict := v.Admit(Call{Host: "h", Path: "/q/j1", Key: "k1"})
		is.Equal(verdict, UnknownKey)
	})
	is.True((&Call{Key: reservedKey(formerCustomerKind, "a", "")}).Check() != nil)
}

// Guards against former customers that are kept for good, and with them names that nobody else can have.
func TestFormerCustomersAreDropped(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	c := testConfig(1, "1")
	publishAsLeader(t, m, c)
	apply(t, m, submit("j1", "k1", Step{Count: 1}))
	c = testConfig(2, "2")
	c.Customers = c.Customers[1:]
	publishAsLeader(t, m, c)
	m.View(func(v *View) { is.Equal(len(v.Config().Customers), 2) })
	is.Equal(apply(t, m, &Command{Cancel: &Cancel{Call: Call{Host: "h", Path: "/q/deep/j1"}, ID: "j1", AtMS: 2}}), OK) // a public queue
	late := submit("j2", "k2", Step{Count: 1})
	late.Submit.AtMS = 2 + retentionMS
	is.Equal(apply(t, m, late), OK) // drops the cancelled job
	c = testConfig(3, "3")
	c.Customers = c.Customers[1:]
	publishAsLeader(t, m, c)
	m.View(func(v *View) { is.Equal(len(v.Config().Customers), 1) })
}
