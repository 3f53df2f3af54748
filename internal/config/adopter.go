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

// Timing of the adopter. With two of three voters silent, a round takes at most 2 s,
// and a change is adopted at most about 4 s after it was accepted; the stated bound
// is 8 s.
const (
	adoptPeriod    = time.Second
	voterTimeout   = time.Second     // one request to one voter
	proposeTimeout = 2 * time.Second // one proposal to the zone's group
	minBackoff     = 2 * time.Second // a failed voter is asked last for this long
	maxBackoff     = 8 * time.Second // limit after consecutive failures
	maxUnconfirmed = 8 * time.Second // time without a confirmation after which the zone logs it
)

// Adopter proposes accepted configurations to its zone's group. It runs on every
// instance and polls the voters only while its instance leads the group.
type Adopter struct {
	Self   string
	Zone   string
	Voters []string // the voters of the configuration group
	// Local is the voter of this instance, or nil if it is not a voter.
	Local   *Voter
	Group   replica.Group // the zone's group
	Machine *jobs.Machine // the zone's state
	Peers   link.Peers
	Log     logr.Logger

	nextFirst int // index of the voter that the next round starts with
	backoff   map[string]*voterBackoff
	isolated  bool // no voter has confirmed the version in force for maxUnconfirmed

	mu        sync.Mutex // guards confirmed
	confirmed time.Time
}

// voterBackoff is the back-off of a failed voter, which is asked last until it ends.
type voterBackoff struct {
	delay time.Duration
	until time.Time
}

// Run polls the voters and updates the gauges every adoptPeriod until ctx ends.
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
			a.pollVoters(ctx, time.Now())
		}
		a.updateGauges(time.Now())
	}
}

// LastConfirmed returns when a voter last confirmed that the version in force is the
// accepted one, or the zero time. Only the zone's leader updates it.
func (a *Adopter) LastConfirmed() time.Time {
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

// pollVoters asks the voters in turn for a change until one answers, and handles the
// answer unless that voter is behind the zone. Each round starts with another voter.
func (a *Adopter) pollVoters(ctx context.Context, now time.Time) {
	version := a.Version()
	for _, voter := range a.voterOrder(now) {
		reply, err := a.requestChange(ctx, voter, version)
		if err != nil {
			a.recordFailure(voter, time.Now())
			telemetry.CountRetry(model.ReasonTimeout)
			a.Log.V(1).Info("configuration voter did not answer", "voter", voter, "error", err.Error())
			continue
		}
		delete(a.backoff, voter)
		if reply.Version < version {
			a.Log.Info("configuration voter is behind the zone", "voter", voter, "its", reply.Version, "in force", version)
			break
		}
		a.handleReply(ctx, voter, reply)
		return
	}
	if !a.isolated && now.Sub(a.LastConfirmed()) > maxUnconfirmed {
		a.isolated = true
		a.Log.Info("no configuration voter confirms the configuration in force; it may be out of date",
			"zone", a.Zone, "version", version, "voters", a.Voters)
	}
}

// voterOrder returns the voters in the order in which to ask them, those in back-off
// last.
func (a *Adopter) voterOrder(now time.Time) []string {
	var first, last []string
	for i := range a.Voters {
		v := a.Voters[(a.nextFirst+i)%len(a.Voters)]
		if b := a.backoff[v]; b != nil && now.Before(b.until) {
			last = append(last, v)
			continue
		}
		first = append(first, v)
	}
	a.nextFirst++
	return append(first, last...)
}

// recordFailure starts a voter's back-off, or doubles it up to maxBackoff.
func (a *Adopter) recordFailure(voter string, now time.Time) {
	if a.backoff == nil {
		a.backoff = map[string]*voterBackoff{}
	}
	b := a.backoff[voter]
	if b == nil {
		b = &voterBackoff{delay: minBackoff / 2}
		a.backoff[voter] = b
	}
	b.delay = min(2*b.delay, maxBackoff)
	b.until = now.Add(b.delay)
}

func (a *Adopter) requestChange(ctx context.Context, voter string, version uint64) (*changeReply, error) {
	req := &changeRequest{Version: version}
	if voter == a.Self && a.Local != nil {
		return a.Local.changeSince(req), nil
	}
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	out, err := a.Peers.Call(ctx, voter, link.KindConfig, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var reply changeReply
	return &reply, codec.Unmarshal(out, &reply)
}

// handleReply proposes the change of a reply, if any, to the zone's group, and records
// the confirmation if the zone then has the voter's version.
func (a *Adopter) handleReply(ctx context.Context, voter string, reply *changeReply) {
	if reply.Change != nil && !a.propose(ctx, reply.Change) {
		return
	}
	if a.isolated {
		a.isolated = false
		a.Log.Info("a configuration voter confirms the configuration again", "zone", a.Zone, "voter", voter)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmed = time.Now()
}

// propose proposes a change to the zone's group and reports whether it was adopted.
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

// updateGauges sets the metrics' gauges. The configuration's age counts from its
// acceptance. The unconfirmed time is 0 on instances that do not lead.
func (a *Adopter) updateGauges(now time.Time) {
	set := func(name string, v float64) { metrics.GetOrCreateGauge(name, nil).Set(v) }
	cfg := a.Machine.Config()
	if cfg == nil {
		return
	}
	set("teaselpaddle_config_version", float64(cfg.Version))
	set("teaselpaddle_config_age_seconds", now.Sub(cfg.AcceptedAt).Seconds())
	unconfirmed := 0.0
	if c := a.LastConfirmed(); a.Group.Status().Leads && !c.IsZero() {
		unconfirmed = now.Sub(c).Seconds()
	}
	set("teaselpaddle_config_unconfirmed_seconds", unconfirmed)
}
