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

// configInForceLimit bounds the time until an accepted configuration is in force on
// every reachable instance.
const configInForceLimit = 8 * time.Second

// configInForce returns the configuration in force on an instance, or nil.
func configInForce(d *daemon) *model.Configuration {
	status, raw := get(d, "/v1/config")
	var c model.Configuration
	if status != http.StatusOK || json.Unmarshal(raw, &c) != nil {
		return nil
	}
	return &c
}

// configVersion returns the version in force on an instance, or 0.
func configVersion(d *daemon) uint64 {
	if c := configInForce(d); c != nil {
		return c.Version
	}
	return 0
}

// queueLimitChange returns a publish that sets the queue limit of the first customer
// in testdata.
func (r *run) queueLimitChange(expected uint64, key string, limit int) *config.Publish {
	cfg, err := config.Collect([]string{"testdata"}, config.FitSums, nil)
	if err != nil {
		r.fatalf("testdata: %v", err)
	}
	cfg.Services[0].Customers[0].QueueLimit = limit
	return &config.Publish{Expected: expected, Key: key, Publisher: "prove", Changed: cfg.Services}
}

// publishAnswer is the answer to a publish.
type publishAnswer struct {
	status  int
	Version uint64       `json:"version"`
	Again   bool         `json:"again"`
	Code    model.Reason `json:"code"`
}

// putConfig sends a publish to one instance, once.
func (r *run) putConfig(d *daemon, p *config.Publish, timeout time.Duration) (*publishAnswer, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
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
	out := &publishAnswer{status: resp.StatusCode}
	return out, json.NewDecoder(resp.Body).Decode(out)
}

// putConfigUntilDecided sends a publish through each instance in turn until it is
// accepted or refused with a 4xx status.
func (r *run) putConfigUntilDecided(list []*daemon, i int, p *config.Publish) *publishAnswer {
	for ; r.ctx.Err() == nil; i++ {
		out, err := r.putConfig(list[i%len(list)], p, 5*time.Second)
		if err == nil && (out.status == http.StatusOK || out.status/100 == 4) {
			return out
		}
		time.Sleep(50 * time.Millisecond)
	}
	return &publishAnswer{}
}

// operatorsRace publishes different configurations with the same expected version
// through different instances concurrently. Each publish is retried after its first
// answer is lost. Exactly one is accepted, every other publisher gets
// version_conflict, and the accepted one comes into force on every instance.
func operatorsRace(r *run) {
	const publishers = 6
	version := configVersion(r.daemons[0])
	answers := make([]*publishAnswer, publishers)
	for round := range 3 {
		var wg sync.WaitGroup
		for i := range publishers {
			p := r.queueLimitChange(version, fmt.Sprintf("race-%d-%d-%d", r.seed, round, i), 2000+10*round+i)
			firstTimeout := time.Duration(1+r.rng.IntN(20)) * time.Millisecond
			wg.Go(func() {
				_, _ = r.putConfig(r.daemons[(i+round)%len(r.daemons)], p, firstTimeout)
				answers[i] = r.putConfigUntilDecided(r.daemons, i+1, p)
			})
		}
		wg.Wait()
		winner := -1
		for i, a := range answers {
			switch {
			case a.status == http.StatusOK && winner >= 0:
				r.failf("round %d: publishers %d and %d were both accepted for version %d", round, winner, i, version+1)
			case a.status == http.StatusOK:
				winner = i
				if a.Version != version+1 {
					r.failf("round %d: accepted as version %d, want %d", round, a.Version, version+1)
				}
			case a.Code != model.ReasonVersionConflict:
				r.failf("round %d: publisher %d was refused with %q (%d), want version_conflict", round, i, a.Code, a.status)
			}
		}
		if winner < 0 {
			r.fatalf("round %d: no publish was accepted", round)
		}
		version++
		r.waitForConfigEverywhere(version, 2000+10*round+winner)
	}
	r.addFigure("version", version)
}

// waitForConfigEverywhere waits until a version is in force on every instance and
// checks its queue limit.
func (r *run) waitForConfigEverywhere(version uint64, queueLimit int) {
	start := time.Now()
	for _, d := range r.daemons {
		r.waitUntil(fmt.Sprintf("configuration %d on %s", version, d.Name), configInForceLimit, func() bool { return configVersion(d) >= version })
		c := configInForce(d)
		if c == nil || c.Version != version {
			continue
		}
		if got := c.Services[0].Customers[0].QueueLimit; got != queueLimit {
			r.failf("%s has queue limit %d in version %d, want %d", d.Name, got, version, queueLimit)
		}
	}
	r.addFigure("in_force_after", time.Since(start).Round(time.Millisecond))
}

// watchConfigVersions polls the version in force on every instance until stop is
// closed and records a failure if it decreases, also across a restart.
func (r *run) watchConfigVersions(stop <-chan struct{}, wg *sync.WaitGroup) {
	for _, d := range r.daemons {
		wg.Go(func() {
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				v := configVersion(d)
				if v != 0 && v < last {
					r.failf("%s reverted from configuration %d to %d", d.Name, last, v)
				}
				last = max(last, v)
			}
		})
	}
}

// configChanges is the number of publishes in configNeverReverts.
const configChanges = 300

// configNeverReverts publishes hundreds of changes while instances restart and a
// zone is cut off. The version in force on an instance never decreases, and the last
// version is in force on every instance within configInForceLimit and after a
// restart of each.
func configNeverReverts(r *run) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	r.watchConfigVersions(stop, &wg)
	cut := zones[int(r.seed)%len(zones)]
	var connected []*daemon // not in the zone that is cut off
	for _, d := range r.daemons {
		if d.AvailabilityZone != cut {
			connected = append(connected, d)
		}
	}
	version := configVersion(r.daemons[0])
	restarts := 0
	longest, longestIndex := time.Duration(0), 0
	for i := range configChanges {
		start := time.Now()
		a := r.putConfigUntilDecided(connected, i, r.queueLimitChange(version, fmt.Sprintf("change-%d-%d", r.seed, i), 3000+i))
		if a.status != http.StatusOK {
			r.fatalf("publish %d on version %d: status %d, code %q", i, version, a.status, a.Code)
		}
		version = a.Version
		if took := time.Since(start); took > longest {
			longest, longestIndex = took, i
		}
		switch {
		case i == configChanges/2:
			r.cutZone(cut)
		case i == configChanges/2+60:
			r.heal()
			r.waitForConfigEverywhere(version, 3000+i)
		case i%40 == 10 && (i < configChanges/2 || i > configChanges/2+60):
			victim := r.daemons[r.rng.IntN(len(r.daemons))]
			victim.kill()
			r.startDaemon(victim)
			restarts++
		}
	}
	r.addFigure("version", version)
	r.addFigure("restarts", restarts)
	r.addFigure("longest_publish", fmt.Sprintf("%s@%d", longest.Round(time.Millisecond), longestIndex))
	r.waitForConfigEverywhere(version, 3000+configChanges-1)
	for _, d := range r.daemons {
		r.restart(d)
		if got := configVersion(d); got < version {
			r.failf("%s has configuration %d after its restart, want %d", d.Name, got, version)
		}
	}
}
