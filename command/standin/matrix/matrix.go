// Package matrix implements the command that plays takeovers with drawn faults in virtual time.
package matrix

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/matrix"
)

// Options are the flags of the command.
type Options struct {
	Seed  uint64 `long:"seed" default:"1" description:"Seed of the first plan; each further plan adds one"`
	Runs  int    `long:"runs" default:"1000" description:"Number of plans, at most 1000000"`
	Trace bool   `long:"trace" description:"Print each event of a takeover; for one run"`
	JSON  bool   `long:"json" description:"Print the report as JSON"`

	factory *factory.Factory
}

// maxRuns bounds the number of plans.
const maxRuns = 1_000_000

// NewCmdMatrix returns the command. Tests pass runF to replace matrixRun.
func NewCmdMatrix(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{factory: f}
	if runF == nil {
		runF = matrixRun
	}
	return &command.Command{
		Name: "matrix", Short: "Play takeovers on the users' platform with three drawn faults each, in virtual time", Options: o,
		Long: "The seed determines the faults and the run, on every machine.\n" +
			"Exits with 4 if a promise was broken.",
		Example: "standin matrix --seed 1 --runs 20000\nstandin matrix --seed 1440 --runs 1 --trace",
		Run:     func(x context.Context, _ []string) error { return runF(x, o) },
	}
}

func (o *Options) validate() error {
	switch {
	case o.Runs < 1 || o.Runs > maxRuns:
		return &command.FlagError{Reason: "--runs must be from 1 to 1000000"}
	case o.Seed > o.Seed+uint64(o.Runs):
		return &command.FlagError{Reason: "--seed and --runs must not exceed the greatest seed"}
	case o.Trace && o.Runs != 1:
		return &command.FlagError{Reason: "--trace needs --runs 1"}
	default:
		return nil
	}
}

// report is what the command prints.
type report struct {
	Seed   uint64   `json:"seed"`
	Runs   int      `json:"runs"`
	Broken []broken `json:"broken"`
}

// broken is a plan whose run broke promises.
type broken struct {
	Seed uint64 `json:"seed"`
	Plan string `json:"plan"`
	// Violations holds each text once.
	Violations []string `json:"violations"`
}

// batchSize is the number of plans between two checks for the end of the command.
const batchSize = 200

func matrixRun(x context.Context, o *Options) error {
	x, stop := signal.NotifyContext(x, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := o.validate(); err != nil {
		return err
	}
	r := report{Seed: o.Seed, Broken: []broken{}}
	for r.Runs < o.Runs && x.Err() == nil {
		l := o.draw(o.Seed+uint64(r.Runs), min(batchSize, o.Runs-r.Runs))
		for i, p := range matrix.RunAllTakeovers(l) {
			if len(p.Violations) > 0 {
				r.Broken = append(r.Broken, broken{Seed: l[i].Seed, Plan: l[i].String(), Violations: distinct(p.Violations)})
			}
		}
		r.Runs += len(l)
	}
	if err := o.print(r); err != nil {
		return err
	}
	if len(r.Broken) > 0 {
		return &command.SilentError{Code: command.ExitCheckFailed}
	}
	return x.Err()
}

func (o *Options) draw(seed uint64, n int) []matrix.TakeoverPlan {
	l := make([]matrix.TakeoverPlan, n)
	for i := range l {
		l[i] = matrix.DrawTakeoverPlan(seed + uint64(i))
		if o.Trace {
			l[i].Trace = func(s string) { o.factory.Streams.Outf("%s\n", s) }
		}
	}
	return l
}

func (o *Options) print(r report) error {
	if o.JSON {
		return o.factory.Streams.JSON(r)
	}
	for _, b := range r.Broken {
		o.factory.Streams.Outf("seed %d: %s\n", b.Seed, b.Plan)
		for _, v := range b.Violations {
			o.factory.Streams.Outf("  %s\n", v)
		}
	}
	o.factory.Streams.Outf("%d plans from seed %d, %d broke a promise\n", r.Runs, r.Seed, len(r.Broken))
	return nil
}

// distinct returns the texts without repetitions, in their order.
func distinct(l []string) []string {
	var o []string
	seen := map[string]bool{}
	for _, s := range l {
		if !seen[s] {
			seen[s] = true
			o = append(o, s)
		}
	}
	return o
}
