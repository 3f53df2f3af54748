//go:build prove

package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// configBound is the time in which an accepted configuration is in force on
// every reachable instance.
const configBound = 8 * time.Second

// inForce returns the configuration in force on an instance, or nil.
func inForce(d *daemon) *model.Configuration {
	status, raw := get(d, "/v1/config")
	var c model.Configuration
	if status != http.StatusOK || json.Unmarshal(raw, &c) != nil {
		return nil
	}
	return &c
}

func version(d *daemon) uint64 {
	if c := inForce(d); c != nil {
		return c.Version
	}
	return 0
}

// change returns a publish that sets a queue limit.
func (r *run) change(expected uint64, key string, limit int) *config.Publish {
	cfg, err := config.Collect([]string{"testdata"}, config.FitSums, nil)
	if err != nil {
		r.fatalf("testdata: %v", err)
	}
	cfg.Services[0].Customers[0].QueueLimit = limit
	return &config.Publish{Expected: expected, Key: key, Publisher: "prove", Changed: cfg.Services}
}

// published is the answer to a publish.
type published struct {
	status  int
	Version uint64       `json:"version"`
	Again   bool         `json:"again"`
	Code    model.Reason `json:"code"`
}

// put sends a publish once.
func (r *run) put(d *daemon, p *config.Publish, limit time.Duration) (*published, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.ClientAddress+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out := &published{status: resp.StatusCode}
	return out, json.NewDecoder(resp.Body).Decode(out)
}

// putUntilSure sends a publish again, through one of the instances after the
// other, until it is accepted or refused for good.
func (r *run) putUntilSure(list []*daemon, i int, p *config.Publish) *published {
	for ; r.ctx.Err() == nil; i++ {
		out, err := r.put(list[i%len(list)], p, 5*time.Second)
		if err == nil && (out.status == http.StatusOK || out.status/100 == 4) {
			return out
		}
		time.Sleep(50 * time.Millisecond)
	}
	return &published{}
}

// operatorsRace publishes different files with the same version through
// different instances at the same time, each sent again after a lost answer.
// Exactly one is accepted, each operator learns which, and it is in force
// everywhere.
func operatorsRace(r *run) {
	const publishers = 6
	base := version(r.daemons[0])
	answers := make([]*published, publishers)
	for round := range 3 {
		var wg sync.WaitGroup
		for i := range publishers {
			p := r.change(base, fmt.Sprintf("race-%d-%d-%d", r.seed, round, i), 2000+10*round+i)
			lost := time.Duration(1+r.rng.IntN(20)) * time.Millisecond
			wg.Go(func() {
				_, _ = r.put(r.daemons[(i+round)%len(r.daemons)], p, lost)
				answers[i] = r.putUntilSure(r.daemons, i+1, p)
			})
		}
		wg.Wait()
		winner := -1
		for i, a := range answers {
			switch {
			case a.status == http.StatusOK && winner >= 0:
				r.failf("round %d: publishers %d and %d were both accepted for version %d", round, winner, i, base+1)
			case a.status == http.StatusOK:
				winner = i
				if a.Version != base+1 {
					r.failf("round %d: accepted as version %d, want %d", round, a.Version, base+1)
				}
			case a.Code != model.ReasonVersionConflict:
				r.failf("round %d: publisher %d was refused with %q (%d), want version_conflict", round, i, a.Code, a.status)
			}
		}
		if winner < 0 {
			r.fatalf("round %d: no publish was accepted", round)
		}
		base++
		r.everywhere(base, 2000+10*round+winner)
	}
	r.note("version", base)
}

// everywhere waits until a version is in force on every instance and checks its
// content.
func (r *run) everywhere(v uint64, limit int) {
	begun := time.Now()
	for _, d := range r.daemons {
		r.until(fmt.Sprintf("configuration %d on %s", v, d.Name), configBound, func() bool { return version(d) >= v })
		c := inForce(d)
		if c == nil || c.Version != v {
			continue
		}
		if got := c.Services[0].Customers[0].QueueLimit; got != limit {
			r.failf("%s has queue limit %d in version %d, want %d", d.Name, got, v, limit)
		}
	}
	r.note("in_force_after", time.Since(begun).Round(time.Millisecond))
}

// watch polls the version in force on every instance and reports a step back,
// also over a restart.
func (r *run) watch(stop <-chan struct{}, wg *sync.WaitGroup) {
	for _, d := range r.daemons {
		wg.Go(func() {
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				v := version(d)
				if v != 0 && v < last {
					r.failf("%s went back from configuration %d to %d", d.Name, last, v)
				}
				last = max(last, v)
			}
		})
	}
}

// changes is the number of publishes of configNeverReverts.
const changes = 300

// configNeverReverts publishes hundreds of changes while instances restart and a
// zone is cut off; the version in force never goes back, and the last one is in
// force everywhere in time.
func configNeverReverts(r *run) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	r.watch(stop, &wg)
	cut := zones[int(r.seed)%len(zones)]
	var connected []*daemon // also while the zone is cut off
	for _, d := range r.daemons {
		if d.AvailabilityZone != cut {
			connected = append(connected, d)
		}
	}
	v := version(r.daemons[0])
	restarts := 0
	longest, at := time.Duration(0), 0
	for i := range changes {
		begun := time.Now()
		a := r.putUntilSure(connected, i, r.change(v, fmt.Sprintf("change-%d-%d", r.seed, i), 3000+i))
		if a.status != http.StatusOK {
			r.fatalf("publish %d on version %d: status %d, code %q", i, v, a.status, a.Code)
		}
		v = a.Version
		if took := time.Since(begun); took > longest {
			longest, at = took, i
		}
		switch {
		case i == changes/2:
			r.cutZone(cut)
		case i == changes/2+60:
			r.heal()
			r.everywhere(v, 3000+i)
		case i%40 == 10 && (i < changes/2 || i > changes/2+60):
			victim := r.daemons[r.rng.IntN(len(r.daemons))]
			victim.kill()
			r.startDaemon(victim)
			restarts++
		}
	}
	r.note("version", v)
	r.note("restarts", restarts)
	r.note("longest_publish", fmt.Sprintf("%s@%d", longest.Round(time.Millisecond), at))
	r.everywhere(v, 3000+changes-1)
	for _, d := range r.daemons {
		r.restart(d)
		if got := version(d); got < v {
			r.failf("%s has configuration %d after its restart, want %d", d.Name, got, v)
		}
	}
}
