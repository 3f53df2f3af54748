package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os/user"
	"strings"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
)

// Limits of the wait until a published version is in force.
const (
	inForceLimit        = 10 * time.Second // the documented bound is 8 s
	inForcePollInterval = 200 * time.Millisecond
	// unreachableZoneLimit is how long the tool waits if only unreachable zones are
	// outstanding.
	unreachableZoneLimit = 3 * time.Second
)

// checkFit checks locally that the guarantees fit the racks. The daemons use the same
// check.
var checkFit config.Fit = cell.CheckFit

type checkCmd struct {
	Dirs []string `arg:"positional,required" placeholder:"DIR" help:"directories with teaselpaddle.jsonc files, also nested"`
}

func (c *checkCmd) run(_ context.Context, e *env) error {
	cfg, err := config.Collect(c.Dirs, checkFit, nil)
	var errs config.Errors
	if e.json && errors.As(err, &errs) {
		_ = writeJSON(e.out, errs)
		return err
	}
	if err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, config.Errors{})
	}
	n := 0
	for i := range cfg.Services {
		n += len(cfg.Services[i].Customers)
	}
	fmt.Fprintf(e.out, "no errors in %d services with %d customers\n", len(cfg.Services), n)
	return nil
}

type publishCmd struct {
	Dirs          []string `arg:"positional,required" placeholder:"DIR" help:"directories with teaselpaddle.jsonc files, also nested"`
	Yes           bool     `arg:"--yes,-y" help:"publish without asking"`
	DryRun        bool     `arg:"--dry-run" help:"show the difference and stop"`
	RemoveMissing bool     `arg:"--remove-missing" help:"remove accepted services that have no file below the directories"`
	Key           string   `arg:"--publish-key" placeholder:"KEY" help:"key of an earlier publish whose outcome is not known"`
	Expected      *uint64  `arg:"--expected-version" placeholder:"VERSION" help:"version that the files are based on; the publish is refused if another one is accepted [default: the accepted one]"`
	Publisher     string   `arg:"--publisher" placeholder:"NAME" help:"name for the history [default: the user's name]"`
	NoWait        bool     `arg:"--no-wait" help:"do not wait until the version is in force"`
}

func (c *publishCmd) run(ctx context.Context, e *env) error {
	if c.Key != "" {
		if done, err := c.showIfAccepted(ctx, e); done || err != nil {
			return err
		}
	}
	accepted, err := e.acceptedConfig(ctx)
	if err != nil {
		return err
	}
	p, after, err := c.buildRequest(accepted)
	if err != nil {
		return err
	}
	diff := config.Differences(accepted, after)
	if c.DryRun && e.json {
		return writeJSON(e.out, diff)
	}
	if len(diff) == 0 {
		fmt.Fprintf(e.errOut, "nothing to publish: version %d has this content\n", p.Expected)
		return nil
	}
	if !e.json {
		differenceTable(diff).write(e.out)
	}
	if c.DryRun {
		return nil
	}
	if !c.Yes && !e.confirm(fmt.Sprintf("Publish as version %d?", p.Expected+1)) {
		return &NotConfirmedError{}
	}
	return c.send(ctx, e, p)
}

// buildRequest collects the files below the directories. It returns the request, and
// the configuration after it.
func (c *publishCmd) buildRequest(accepted *model.Configuration) (*config.Publish, *model.Configuration, error) {
	base := accepted
	if c.RemoveMissing {
		base = nil
	}
	after, err := config.Collect(c.Dirs, checkFit, base)
	if err != nil {
		return nil, nil, err
	}
	p := &config.Publish{Key: c.Key, Publisher: c.publisher()}
	if accepted != nil {
		p.Expected = accepted.Version
	}
	if c.Expected != nil {
		p.Expected = *c.Expected
	}
	if p.Key == "" {
		p.Key = newKey()
	}
	p.Changed, p.Removed = config.ChangedServices(accepted, after)
	return p, after, nil
}

// send publishes, with the same publish key in every attempt.
func (c *publishCmd) send(ctx context.Context, e *env, p *config.Publish) error {
	var published httpapi.Published
	req := &request{method: http.MethodPut, path: "/v1/config", body: p}
	err := e.client.doWithRetries(ctx, req, &published, func(err error) {
		fmt.Fprintf(e.errOut, "retrying with the same publish key: %v\n", err)
	})
	if exitCode(err) == exitUnknown && err != nil {
		fmt.Fprintf(e.errOut, "the change may have been accepted; to find out and to repeat it, run:\n  teaselpaddle publish --publish-key %s %s\n",
			p.Key, strings.Join(c.Dirs, " "))
	}
	if err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, &published)
	}
	fmt.Fprintf(e.out, "accepted version %d\n", published.Version)
	if !c.NoWait {
		e.waitInForce(ctx, published.Version)
	}
	return nil
}

// showIfAccepted looks in the history for a publish with the same key. If there is one,
// it shows its version and returns true.
func (c *publishCmd) showIfAccepted(ctx context.Context, e *env) (bool, error) {
	var records []config.Record
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: "/v1/config/history?limit=2048"}, &records); err != nil {
		return false, err
	}
	for i := range records {
		if records[i].PublishKey != c.Key {
			continue
		}
		if e.json {
			return true, writeJSON(e.out, &httpapi.Published{Record: records[i], Again: true})
		}
		fmt.Fprintf(e.out, "already accepted as version %d\n", records[i].Version)
		return true, nil
	}
	return false, nil
}

func (c *publishCmd) publisher() string {
	if c.Publisher != "" {
		return c.Publisher
	}
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unnamed"
}

// newKey returns 128 random bits, so that no two publishes share a key.
func newKey() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// acceptedConfig returns the accepted configuration, or nil if there is none.
func (e *env) acceptedConfig(ctx context.Context) (*model.Configuration, error) {
	var cfg model.Configuration
	err := e.client.do(ctx, &request{method: http.MethodGet, path: "/v1/config?source=accepted"}, &cfg)
	var p *ProblemError
	if errors.As(err, &p) && p.Problem.Code == model.ReasonNoConfiguration {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &cfg, nil
}

func (e *env) confirm(question string) bool {
	fmt.Fprintf(e.errOut, "%s [y/N] ", question)
	line, _ := bufio.NewReader(e.in).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

// waitInForce waits until the version is in force in every reachable zone, and shows the
// result.
func (e *env) waitInForce(ctx context.Context, version uint64) {
	begin := e.now()
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for {
		var views httpapi.ZoneViews
		err := e.client.do(ctx, &request{method: http.MethodGet, path: "/v1/status"}, &views)
		inForce, behind, unreachable := classifyZones(&views, version)
		if err == nil && len(behind) == 0 && len(unreachable) == 0 {
			fmt.Fprintf(e.out, "in force in %s after %.1f s\n", strings.Join(inForce, ", "), e.now().Sub(begin).Seconds())
			return
		}
		gaveUp := err == nil && len(behind) == 0 && e.now().Sub(begin) > unreachableZoneLimit
		if gaveUp || !retry.Sleep(ctx, inForcePollInterval) {
			fmt.Fprintf(e.errOut, "in force in: %s; not yet in: %s; cannot be reached: %s\n",
				joinOr(inForce, "none"), joinOr(behind, "none"), joinOr(unreachable, "none"))
			return
		}
	}
}

// classifyZones returns the names of the zones in which the version is in force, of those
// with an older version, and of those without a status.
func classifyZones(views *httpapi.ZoneViews, version uint64) (inForce, behind, unreachable []string) {
	for i := range views.Zones {
		z := &views.Zones[i]
		switch {
		case z.Status == nil:
			unreachable = append(unreachable, z.AvailabilityZone)
		case z.Status.Config.Version < version:
			behind = append(behind, z.AvailabilityZone)
		default:
			inForce = append(inForce, z.AvailabilityZone)
		}
	}
	return inForce, behind, unreachable
}

func joinOr(list []string, fallback string) string {
	if len(list) == 0 {
		return fallback
	}
	return strings.Join(list, ", ")
}

func differenceTable(diff []config.Difference) *table {
	t := &table{head: []string{"SERVICE", "CUSTOMER", "FIELD", "BEFORE", "AFTER"}}
	for _, d := range diff {
		t.row(d.Service, d.Customer, d.Field, d.Before, d.After)
	}
	return t
}
