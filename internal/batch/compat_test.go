package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// digestsOfEarlierBuild are the digests of the states to which the build of commit 0c1db54 applies the
// logs of randomLog, by seed from 1 on.
var digestsOfEarlierBuild = []string{
	"8e90a8bc55a46409", "9ec55175f9d5aa6a", "d0e2a3676a40180c", "537a1e85741ca002", "201c0d2d1d9f91f6",
	"b5b890d830c0682d", "c8f47ecce073ba10", "c62722b7669a4070", "c046b0db0895e620", "7402548bf2b6486c",
	"66515f3e07a1b300", "79d3484884637f81", "d253b4862adb3610", "5b228a6940e25649", "f05239a640de7fd6",
	"f64eadfa2567437f", "a4fd67ab19f46222", "fd2eaafab0f19617", "b26c1e23578362df", "d52c99ff168c1b57",
	"e8baaa4e6b1a85d7", "99bdd678788aaa16", "aedfc669ec5c7447", "3917274c921ab399", "97c93e76eb76cb01",
	"9e8545ca3cbb42da", "db5a07bc27d7bf4a", "e322d8598e3c4db9", "26122f99c0b10dbb", "cfd5791cc1655c66",
	"9df8873284e98168", "ddd30598f09c4f63", "1b8b7f0dd48b0fd9", "ca6a2dbc8b95f646", "6604d9502a790641",
	"763d065ede52a8d5", "d7424f156dfbcdf7", "7b5fd31b0f35442d", "6696faf5ce9ff4dc", "20093934b61f2c61",
}

// randomLog returns commands of all kinds on a few jobs and workers. Queues come and go, and
// runs end in all ways.
func randomLog(seed uint64) []Command {
	r := rand.New(rand.NewPCG(seed, 52))
	log := []Command{{Publish: testConfig(1, "1")}, {Lead: &Lead{Instance: "a"}}}
	recorded := map[string]Worker{} // the last announcement of each
	lastRun := map[UnitRef]int{}
	worker := func() Worker {
		return Worker{
			ID: fmt.Sprint("w", r.IntN(4)), Incarnation: int64(1 + r.IntN(10)/9), Address: fmt.Sprint("a", r.IntN(3)), Service: "s",
			Zone: fmt.Sprint("z", r.IntN(2)), Capacity: Resources{CPU: 1000}, Draining: r.IntN(100) == 0, AnnouncedMS: int64(r.IntN(9)),
		}
	}
	i := 0
	job := func() string { return fmt.Sprint("j", i/100+r.IntN(3)) } // later jobs replace those that have ended
	ref := func() UnitRef { return UnitRef{Job: job(), Step: r.IntN(3), Index: r.IntN(2)} }
	for ; i < 1500; i++ {
		atMS := int64(500 * i)
		switch r.IntN(20) {
		case 0:
			c := testConfig(uint64(i), fmt.Sprint(i))
			for k := range c.Queues {
				c.Queues[k].MaxAttempts = 1 + r.IntN(5)
			}
			c.Queues = c.Queues[:r.IntN(len(c.Queues)+1)]
			log = append(log, Command{Publish: c})
		case 1:
			log = append(log, Command{Lead: &Lead{Instance: "b"}})
		case 2, 3:
			id := job()
			steps := []Step{{Count: 2}, {Count: 2, Gang: true, DependsOn: []int{0}[:r.IntN(2)]}, {Count: 2, LongRunning: r.IntN(2) == 0}}[:1+r.IntN(3)]
			log = append(log, *submit(id, "k1", steps...))
		case 4:
			if r.IntN(4) > 0 {
				continue
			}
			log = append(log, Command{Cancel: &Cancel{Call: Call{Host: "h", Path: "/q/x", Key: "k1"}, ID: job(), AtMS: atMS}})
		case 5, 6:
			w := worker()
			recorded[w.ID] = w
			log = append(log, Command{Worker: &WorkerChange{Worker: w, Removed: r.IntN(20) == 0}})
		case 7:
			log = append(log, Command{Zone: &ZoneChange{Zone: fmt.Sprint("z", r.IntN(2)), Cordon: r.IntN(8) == 0, Generation: uint64(r.IntN(3)), AtMS: atMS}})
		case 8:
			w := worker()
			log = append(log, Command{Speeds: &WorkerSpeeds{Speeds: []SpeedOfWorker{{Worker: w.ID, Incarnation: w.Incarnation, Speed: WorkerSpeed{LogMilli: int64(r.IntN(100))}}}}})
		case 9, 10, 11, 12, 13:
			unit := ref()
			s := &Starts{AtMS: atMS}
			for k := range 2 {
				w := recorded[fmt.Sprint("w", r.IntN(4))]
				unit.Index = k
				lastRun[unit] = i
				s.Starts = append(s.Starts, Start{Unit: unit, Run: i, Worker: w.ID, Incarnation: w.Incarnation})
			}
			log = append(log, Command{Starts: s})
		default:
			e := &Ends{AtMS: atMS}
			for range 1 + r.IntN(8) {
				unit := ref()
				e.Ends = append(e.Ends, End{
					Unit: unit, Run: lastRun[unit], How: [...]Ending{EndDone, EndFailed, EndFailed, EndFailed, EndStopped, EndLeaseExpired, EndLost, EndCrashed}[r.IntN(8)],
					Blame: Blame(r.IntN(3)), Silent: r.IntN(2) == 0, Checkpoint: [...]string{"", "c"}[r.IntN(2)],
				})
			}
			log = append(log, Command{Ends: e})
		}
	}
	return log
}

// Guards against replicas of this build and of the one before whose states differ after the same log.
func TestEntriesApplyAsInEarlierBuild(t *testing.T) {
	is := is.New(t)
	states := map[State]int{}
	for i, digest := range digestsOfEarlierBuild {
		m := New(nil)
		for _, c := range randomLog(uint64(i + 1)) {
			apply(t, m, &c)
		}
		state, err := m.Snapshot()
		is.NoErr(err)
		sum := sha256.Sum256(state)
		if got := hex.EncodeToString(sum[:8]); got != digest {
			t.Errorf("seed %d: %q", i+1, got)
		}
		for _, j := range m.state.Jobs {
			states[j.State]++
		}
	}
	is.True(states[Failed] > 0 && states[Completed] > 0 && states[Running] > 0) // else the logs test little
}

// digestsOfRenames are the digests of the states to which the build of commit 9f79e54 applies the logs
// of renamesLog, by seed from 1 on.
var digestsOfRenames = []string{
	"d88f50b145a56bc0", "2c30e7d2773406a4", "7f2a59838d5a0bf8", "0c82b8e198d19499", "de03b2029e69d6c0",
	"171ba42457b2fd12", "787981f19b04ab20", "3fc5ded2c9cb11b9", "8a59fbea79430cc1", "cff304f7815d9129",
	"dc68322905ce64c0", "ac024c9d0edf4a56", "c0943a69ea31a1d1", "a0e256c9909fcfc9", "01bc489d0020cfa9",
	"fd17ee468a94983e", "d688d2eb06b697e0", "1c2c5308c002549e", "d7f7d683681205b6", "10d9724444d649f4",
}

// renamesLog returns the entries that a leader commits while customers are renamed, merged and split,
// submit jobs and cancel them.
func renamesLog(t *testing.T, seed uint64) [][]byte {
	r := rand.New(rand.NewPCG(seed, 62))
	m := New(nil)
	var log [][]byte
	commit := func(c *Command) {
		entry, err := codec.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, entry)
		m.Apply(uint64(len(log)), entry)
	}
	for i := range 300 {
		key, id := fmt.Sprint("k", r.IntN(5)), fmt.Sprint("j", r.IntN(1+i/4))
		call := Call{Host: "h", Path: "/q/" + id, Key: key}
		m.View(func(v *View) { call = v.CallForJob(call, id) })
		switch r.IntN(4) {
		case 0:
			c := testConfig(uint64(i+1), fmt.Sprint(i))
			c.Customers = nil
			for k := range 5 {
				if n := r.IntN(5); n > 0 {
					c.Customers = append(c.Customers, Customer{Name: fmt.Sprint("c", n), Keys: []string{fmt.Sprint("k", k)}, Guaranteed: int64(n)})
				}
			}
			m.View(func(v *View) { c = v.WithIdentities(c) })
			commit(&Command{Publish: c})
		case 1:
			commit(&Command{Cancel: &Cancel{Call: call, ID: id, AtMS: int64(i)}})
		default:
			commit(&Command{Submit: &Submit{Call: call, ID: id, Spec: Spec{Steps: []Step{{Count: 1}}}, AtMS: int64(i)}})
		}
	}
	return log
}

// Guards against replicas of this build and of the one before whose states differ after a leader of this
// build has renamed customers.
func TestRenamesApplyAsInEarlierBuild(t *testing.T) {
	is := is.New(t)
	states := map[State]int{}
	for i, digest := range digestsOfRenames {
		m := New(nil)
		for k, entry := range renamesLog(t, uint64(i+1)) {
			m.Apply(uint64(k+1), entry)
		}
		state, err := m.Snapshot()
		is.NoErr(err)
		sum := sha256.Sum256(state)
		if got := hex.EncodeToString(sum[:8]); got != digest {
			t.Errorf("seed %d: %q", i+1, got)
		}
		for _, j := range m.state.Jobs {
			states[j.State]++
		}
	}
	is.True(states[Queued] > 0 && states[Cancelled] > 0) // else the logs test little
}
