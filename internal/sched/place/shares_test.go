package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/sched/share"
)

func of(customer string, g *Group) *Group {
	g.Customer, g.Step.EstimateMS = customer, 2500
	g.CompleteByMS = g.SinceMS + 8000
	return g
}

// jobsInOrder returns the jobs of the groups in the order in which they were considered.
func jobsInOrder(s *Snapshot) []string {
	Decide(s)
	var out []string
	for _, g := range s.Groups {
		out = append(out, g.Job)
	}
	return out
}

// Guards against a burst of one customer that decides how long another waits, and against
// a burst of several customers that one of them wins as a whole.
func TestGroupsOfCustomersAlternate(t *testing.T) {
	is := is.New(t)
	burst := func(use map[string]float64) []string {
		s := &Snapshot{Workers: []*Worker{worker("a", "r1")}, Use: use}
		for i, c := range []string{"big", "big", "big", "big", "small", "small", "third"} {
			s.Groups = append(s.Groups, of(c, group(fmt.Sprint(c, i), 1, 1, small, uint64(i))))
		}
		sure := of("big", group("sure", 1, 1, small, 99))
		sure.Guaranteed = true
		s.Groups = append(s.Groups, sure)
		return jobsInOrder(s)
	}
	is.Equal(burst(nil), []string{"sure", "big0", "big1", "big2", "big3", "small4", "small5", "third6"})
	is.Equal(burst(map[string]float64{}), []string{"sure", "big0", "small4", "third6", "big1", "small5", "big2", "big3"})
	is.Equal(burst(map[string]float64{"big": 0.9}), []string{"sure", "small4", "third6", "small5", "big0", "big1", "big2", "big3"})
}

// Guards against a group that starves because its customer has a large use, and against a
// long backlog of one customer that goes before all others because it has waited long.
func TestGroupThatWaitedLongGoesFirst(t *testing.T) {
	is := is.New(t)
	order := func(lastStartMS int64) []string {
		w := worker("a", "r1")
		r := addRun(w, "old", small, 1, 5000)
		r.Customer, r.AgeMS = "big", lastStartMS
		s := &Snapshot{Workers: []*Worker{w}, Use: map[string]float64{"big": 0.9}, NowMS: 16_000}
		for i := range 2 {
			s.Groups = append(s.Groups, of("big", group(fmt.Sprint("big", i), 1, 1, small, uint64(i))))
		}
		fresh := group("fresh", 1, 1, small, 9)
		fresh.SinceMS = 15_000
		s.Groups = append(s.Groups, of("small", fresh))
		return jobsInOrder(s)
	}
	is.Equal(order(promotionIntervalMS), []string{"big0", "fresh", "big1"})
	is.Equal(order(promotionIntervalMS-1), []string{"fresh", "big0", "big1"})
}

// Guards against jobs of a small customer that starve, and against gangs of whole workers
// that never start, while another customer submits more small jobs than there is room for.
func TestSmallCustomerAndLargeJobsDoNotStarve(t *testing.T) {
	for seed := range uint64(10) {
		b := newBurst(seed, 2, 4)
		b.tickMS, b.shares = 100, share.NewTracker(10_000)
		for _, w := range b.workers {
			w.Running = nil
		}
		since := map[string]int64{}
		var seq uint64
		submit := func(customer string, g *Group) {
			seq++
			g.Job, g.Seq, g.SinceMS = fmt.Sprint(customer, seq), seq, b.nowMS
			b.groups = append(b.groups, of(customer, g))
			if customer != "big" {
				since[g.Job] = b.nowMS
			}
		}
		for i := range 300 {
			for range 4 { // 64 of these fit, for 25 decisions each
				submit("big", group("", 1, 1, small, 0))
			}
			if i%20 == 5 {
				submit("small", group("", 1, 1, small, 0))
			}
			if i%100 == 50 {
				submit("gangs", gang(group("", 1, 2, large, 0)))
			}
			b.decide()
			for job, at := range since {
				if b.started[job] {
					delete(since, job)
				} else if b.nowMS-at > 8000-2500 {
					t.Fatalf("seed %d: %s has not begun after %d ms", seed, job, b.nowMS-at)
				}
			}
		}
	}
}

// Guards against room that is taken back from the customer that borrows least.
func TestLargestBorrowerIsStopped(t *testing.T) {
	is := is.New(t)
	var workers []*Worker
	for i, customer := range []string{"modest", "big", "big", "sure"} {
		w := worker(fmt.Sprint("w", i), "r1")
		r := addRun(w, customer, large, 2, 60_000)
		r.Customer, r.Guaranteed = customer, customer == "sure"
		workers = append(workers, w)
	}
	p := Decide(&Snapshot{Workers: workers, Groups: []*Group{of("other", urgentGang("urgent", 1, 0))}, Use: map[string]float64{}})
	is.Equal(len(p.Stops), 1)
	is.Equal(p.Stops[0].Customer, "big")
}
