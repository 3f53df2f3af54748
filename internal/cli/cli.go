// Package cli is the command-line tool for operators and callers.
package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes of the tool.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// defaultServer is used if neither --server nor TEASELPADDLE_SERVER is given.
const defaultServer = "127.0.0.1:7101"

type args struct {
	Server  []string      `arg:"--server,separate,env:TEASELPADDLE_SERVER" placeholder:"ADDRESS" help:"client address of an entry instance; repeat it or separate several with commas; the next is tried when one fails [default: 127.0.0.1:7101]"`
	JSON    bool          `arg:"--json" help:"print JSON for programs"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"time limit of a request with all its retries"`

	Check         *checkCmd         `arg:"subcommand:check" help:"check the operators' files below directories"`
	Publish       *publishCmd       `arg:"subcommand:publish" help:"publish the operators' files below directories"`
	Config        *configCmd        `arg:"subcommand:config" help:"show the configuration or its history"`
	Submit        *submitCmd        `arg:"subcommand:submit" help:"submit a job"`
	Status        *statusCmd        `arg:"subcommand:status" help:"show a job, or the state of all availability zones"`
	Cancel        *cancelCmd        `arg:"subcommand:cancel" help:"cancel a job"`
	Jobs          *jobsCmd          `arg:"subcommand:jobs" help:"list jobs"`
	Workers       *workersCmd       `arg:"subcommand:workers" help:"list the workers of all availability zones"`
	Customers     *customersCmd     `arg:"subcommand:customers" help:"list the customers' guarantees and use"`
	Fragmentation *fragmentationCmd `arg:"subcommand:fragmentation" help:"show the free accelerators of each rack"`
	Batch         *batchCmd         `arg:"subcommand:batch" help:"work with a deployment whose extent is region"`
	Explain       *explainCmd       `arg:"subcommand:explain" help:"show the timeline of a job from the instances' logs"`
	Report        *reportCmd        `arg:"subcommand:report" help:"write an HTML page that plots what happened, from the instances' logs"`
	Bound         *boundCmd         `arg:"subcommand:bound" help:"compare the jobs that a region completed on time with an upper bound, from its logs"`
	Delays        *delaysCmd        `arg:"subcommand:delays" help:"show why the jobs of a region were late or failed, from its logs"`
	Replay        *ReplayOptions    `arg:"subcommand:replay" help:"replay a recorded trace through the decision code"`
	Version       *versionCmd       `arg:"subcommand:version" help:"print the version"`
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "Operates the teaselpaddle scheduler and submits jobs to it."
}

// Epilogue implements go-arg's Epilogued.
func (args) Epilogue() string {
	return `Exit codes:
  0  success
  1  refused or failed; the outcome is final
  2  wrong usage
  3  the outcome is not known; repeat the command with the same key
  4  no server can be reached; nothing was changed`
}

// examples are shown at the end of each command's help.
var examples = map[string]string{
	"":                "teaselpaddle --server 10.0.1.5:7101 --server 10.0.2.5:7101 status",
	"check":           "teaselpaddle check services/",
	"publish":         "teaselpaddle publish --dry-run services/",
	"config":          "teaselpaddle config history",
	"config show":     "teaselpaddle config show --accepted",
	"config history":  "teaselpaddle config history --limit 10",
	"submit":          "teaselpaddle submit --customer water-utility --key batch-17 --tasks 4 --accelerators 8 --adjacent --wait",
	"status":          "teaselpaddle status amman-1.3f2a9c0d1e4b5a6978877665",
	"cancel":          "teaselpaddle cancel amman-1.3f2a9c0d1e4b5a6978877665",
	"jobs":            "teaselpaddle jobs --customer water-utility",
	"workers":         "teaselpaddle workers",
	"customers":       "teaselpaddle --json customers",
	"fragmentation":   "teaselpaddle fragmentation",
	"batch":           "teaselpaddle batch workers",
	"batch publish":   "teaselpaddle batch publish examples/region/config.jsonc",
	"batch config":    "teaselpaddle --json batch config",
	"batch submit":    "teaselpaddle batch submit nest-plan batch-17 examples/region/job.jsonc --api-key KEY --wait",
	"batch status":    "teaselpaddle batch status nest-plan batch-17 --api-key KEY",
	"batch cancel":    "teaselpaddle batch cancel nest-plan batch-17 --api-key KEY",
	"batch pending":   "teaselpaddle batch pending nest-plan --api-key KEY",
	"batch workers":   "teaselpaddle batch workers",
	"batch customers": "teaselpaddle batch customers",
	"batch zones":     "teaselpaddle batch zones",
	"batch cordon":    "teaselpaddle batch cordon amman-1",
	"batch uncordon":  "teaselpaddle batch uncordon amman-1",
	"explain":         "teaselpaddle explain 5c0e7a21d94b36f8 control-1.log control-2.log entry-*.log",
	"report":          "teaselpaddle report control-1.log control-2.log entry-*.log --out report.html",
	"bound":           "teaselpaddle bound control-*.log",
	"delays":          "teaselpaddle delays --window 5s control-*.log entry-*.log",
	"replay":          "teaselpaddle replay monday.trace --policy policy.jsonc",
	"version":         "teaselpaddle version",
}

// command is one subcommand. The error of run determines the exit code.
type command interface {
	run(ctx context.Context, e *env) error
}

// env holds the client, the output format and the streams that a command uses.
type env struct {
	client *client
	json   bool
	in     io.Reader
	out    io.Writer
	errOut io.Writer // standard error
	now    func() time.Time
}

// Run executes the tool and returns its exit code.
func Run(ctx context.Context, argv []string, in io.Reader, out, errOut io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "teaselpaddle", Out: out}, &a)
	if err != nil {
		fmt.Fprintln(errOut, "teaselpaddle:", err)
		return exitUsage
	}
	err = p.Parse(argv)
	sub := p.SubcommandNames()
	if errors.Is(err, arg.ErrHelp) {
		_ = p.WriteHelpForSubcommand(out, sub...)
		fmt.Fprintf(out, "\nExample:\n  %s\n", examples[strings.Join(sub, " ")])
		return exitOK
	}
	cmd, ok := p.Subcommand().(command)
	if err == nil && !ok {
		err = &UsageError{Detail: "a command is required"}
	}
	if err != nil {
		_ = p.WriteUsageForSubcommand(errOut, sub...)
		fmt.Fprintln(errOut, "error:", err)
		return exitUsage
	}
	e := &env{client: newClient(a.servers(), a.Timeout), json: a.JSON, in: in, out: out, errOut: errOut, now: time.Now}
	if err := cmd.run(ctx, e); err != nil {
		fmt.Fprintln(errOut, "teaselpaddle:", err)
		return exitCode(err)
	}
	return exitOK
}

// servers returns the server addresses, with values split at commas, or the default
// server if none is given.
func (a *args) servers() []string {
	var out []string
	for _, s := range a.Server {
		for part := range strings.SplitSeq(s, ",") {
			if part = strings.TrimSpace(part); part != "" {
				out = append(out, part)
			}
		}
	}
	if len(out) == 0 {
		return []string{defaultServer}
	}
	return out
}
