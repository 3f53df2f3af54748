package config

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Times of the adopter. With three voters of which two are silent a round takes
// at most 2 s, and a change is adopted at most about 4 s after it was accepted;
// the stated bound is 8 s.
const (
	adoptPeriod    = time.Second
	sinceTimeout   = time.Second     // one request to one voter
	proposeTimeout = 2 * time.Second // one proposal to the zone's group
	minBackoff     = 2 * time.Second // a voter that failed is passed over this long
	maxBackoff     = 8 * time.Second // after several failures in a row
	confirmBound   = 8 * time.Second // a zone without an answer for longer logs it
)

// Adopter brings accepted configurations into the log of its zone's group. It
// runs on every instance and acts while its instance leads the group.
type Adopter struct {
	Self   string
	Zone   string
	Voters []string // the configuration group's instances
	// Local is set if this instance is a voter.
	Local   *Voter
	Group   replica.Group // the zone's group
	Machine *jobs.Machine // the zone's state
	Peers   link.Peers
	Log     logr.Logger

	next    int // the voter that the next round starts with
	backoff map[string]*pause
	cutOff  bool // no voter has answered for confirmBound

	mu        sync.Mutex // guards confirmed
	confirmed time.Time
}

// pause is how long a voter that failed is passed over.
type pause struct {
	length time.Duration
	until  time.Time
}

// Run acts until ctx ends.
func (a *Adopter) Run(ctx context.Context) {
	tick := time.NewTicker(adoptPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if a.Group.Status().Leads {
			a.round(ctx, time.Now())
		}
		a.measure(time.Now())
	}
}

// Confirmed returns when a voter last confirmed that the version in force is
// the accepted one, or the zero time. It is kept only by the zone's leader.
func (a *Adopter) Confirmed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmed
}

// Version returns the version in force, or 0.
func (a *Adopter) Version() uint64 {
	if cfg := a.Machine.Config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// round asks the voters in turn until one answers, and proposes what it gives.
// Each round starts with another voter.
func (a *Adopter) round(ctx context.Context, now time.Time) {
	version := a.Version()
	for _, voter := range a.turn(now) {
		reply, err := a.ask(ctx, voter, version)
		if err != nil {
			a.failed(voter, time.Now())
			telemetry.Retried(model.ReasonTimeout)
			a.Log.V(1).Info("configuration voter did not answer", "voter", voter, "error", err.Error())
			continue
		}
		delete(a.backoff, voter)
		a.take(ctx, voter, version, reply)
		return
	}
	if !a.cutOff && now.Sub(a.Confirmed()) > confirmBound {
		a.cutOff = true
		a.Log.Info("no configuration voter answers, the configuration in force may be out of date",
			"zone", a.Zone, "version", version, "voters", a.Voters)
	}
}

// turn returns the voters to ask. Those that failed recently come last.
func (a *Adopter) turn(now time.Time) []string {
	var first, last []string
	for i := range a.Voters {
		v := a.Voters[(a.next+i)%len(a.Voters)]
		if p := a.backoff[v]; p != nil && now.Before(p.until) {
			last = append(last, v)
			continue
		}
		first = append(first, v)
	}
	a.next++
	return append(first, last...)
}

func (a *Adopter) failed(voter string, now time.Time) {
	if a.backoff == nil {
		a.backoff = map[string]*pause{}
	}
	p := a.backoff[voter]
	if p == nil {
		p = &pause{length: minBackoff / 2}
		a.backoff[voter] = p
	}
	p.length = min(2*p.length, maxBackoff)
	p.until = now.Add(p.length)
}

func (a *Adopter) ask(ctx context.Context, voter string, version uint64) (*sinceReply, error) {
	req := &sinceRequest{Version: version}
	if voter == a.Self && a.Local != nil {
		return a.Local.since(req), nil
	}
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, sinceTimeout)
	defer cancel()
	out, err := a.Peers.Call(ctx, voter, link.KindConfig, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var reply sinceReply
	return &reply, codec.Unmarshal(out, &reply)
}

// take proposes a change to the zone's group.
func (a *Adopter) take(ctx context.Context, voter string, version uint64, reply *sinceReply) {
	if reply.Version < version {
		a.Log.Info("configuration voter is behind the zone", "voter", voter, "its", reply.Version, "in force", version)
		return
	}
	if reply.Change != nil && !a.propose(ctx, reply.Change) {
		return
	}
	if a.cutOff {
		a.cutOff = false
		a.Log.Info("a configuration voter answers again", "zone", a.Zone, "voter", voter)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmed = time.Now()
}

func (a *Adopter) propose(ctx context.Context, ch *model.ConfigChange) bool {
	cmd := &jobs.Command{Kind: jobs.KindAdoptConfig, At: time.Now().UTC(), Config: ch}
	entry, err := cmd.Encode()
	if err != nil {
		a.Log.Error(err, "configuration cannot be encoded", "version", ch.To)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := a.Group.Propose(ctx, entry)
	if err != nil {
		a.Log.V(1).Info("configuration not committed", "version", ch.To, "error", err.Error())
		return false
	}
	res, ok := out.(*jobs.Result)
	if !ok || res.Refusal != nil {
		if ok {
			a.Log.V(1).Info("configuration not adopted", "version", ch.To, "reason", res.Refusal.Detail)
		}
		return false
	}
	a.Log.Info("configuration in force", "zone", a.Zone, "version", ch.To, "publisher", ch.Publisher,
		"seconds after acceptance", time.Since(ch.AcceptedAt).Seconds())
	return true
}

// measure sets the gauges. The age counts from acceptance. The unconfirmed time
// is 0 on instances that do not lead.
func (a *Adopter) measure(now time.Time) {
	set := func(name string, v float64) { metrics.GetOrCreateGauge(name, nil).Set(v) }
	cfg := a.Machine.Config()
	if cfg == nil {
		return
	}
	set("teaselpaddle_config_version", float64(cfg.Version))
	set("teaselpaddle_config_age_seconds", now.Sub(cfg.AcceptedAt).Seconds())
	unconfirmed := 0.0
	if c := a.Confirmed(); a.Group.Status().Leads && !c.IsZero() {
		unconfirmed = now.Sub(c).Seconds()
	}
	set("teaselpaddle_config_unconfirmed_seconds", unconfirmed)
}
