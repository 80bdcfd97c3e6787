package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/standin/process"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin soak")

// Edge is the protocol that callers and backend servers speak.
type Edge string

// The edges.
const (
	// PlatformEdge is that of the users' platform, PostgresEdge that of PostgreSQL.
	PlatformEdge Edge = "platform"
	PostgresEdge Edge = "postgres"
)

// Limits of a run.
const (
	maxDaemons  = 60
	maxDuration = 10 * time.Minute
	// tailTime is the duration of the load after the calm, in which the service must
	// be whole.
	tailTime = 4 * time.Second
	// minServedShare is the least share of the operations of that load that is served.
	minServedShare = 0.95
)

// Config holds the settings of a run.
type Config struct {
	Edge     Edge
	Programs process.Programs
	// Dir is the folder for the logs and settings of the processes.
	Dir  string
	Seed uint64
	// Duration is the time in which faults start.
	Duration time.Duration
	// Daemons and Groups are the numbers of daemons and of database groups.
	Daemons, Groups int
	Log             hclog.Logger
}

func (c Config) validate() error {
	switch {
	case c.Edge != PlatformEdge && c.Edge != PostgresEdge:
		return Error.Wrap(&ConfigError{Reason: "the edge must be platform or postgres"})
	case c.Daemons < 2 || c.Daemons > maxDaemons:
		return Error.Wrap(&ConfigError{Reason: fmt.Sprintf("the number of daemons must be from 2 to %d", maxDaemons)})
	case c.Groups < 1:
		return Error.Wrap(&ConfigError{Reason: "the number of groups must be above zero"})
	case c.Duration <= 0 || c.Duration > maxDuration:
		return Error.Wrap(&ConfigError{Reason: "the duration must be above zero and at most " + maxDuration.String()})
	}
	return nil
}

// ConfigError reports invalid settings.
type ConfigError struct{ Reason string }

func (e *ConfigError) Error() string { return "soak settings: " + e.Reason }

// Report is the result of a run.
type Report struct {
	Edge Edge   `json:"edge"`
	Seed uint64 `json:"seed"`
	// Steps are the faults of the plan, Skipped those that were left out because
	// another one still lasted at the same place.
	Steps   []string `json:"steps"`
	Skipped int      `json:"skipped"`
	// Served, Refused, InDoubt and Cut count the operations of callers by outcome,
	// under faults and in the tail.
	Served  int `json:"served"`
	Refused int `json:"refused"`
	InDoubt int `json:"in-doubt"`
	Cut     int `json:"cut"`
	// Violations are the promises that were broken.
	Violations []string `json:"violations"`
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s, seed %d: %d faults (%d left out), served %d, refused %d, in doubt %d, cut %d, broken promises %d\n",
		r.Edge, r.Seed, len(r.Steps), r.Skipped, r.Served, r.Refused, r.InDoubt, r.Cut, len(r.Violations))
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(w, "  "+v)
	}
}

// outcome counts the operations of a load. Those in lost are cut though a daemon has
// certainly read them.
type outcome struct {
	served, refused, inDoubt, cut int
	lost                          []string
}

// system is a running system of one edge.
type system interface {
	// shape returns the faults that the system knows.
	shape() Shape
	// inject starts a fault and returns a function that ends it, or false if another
	// fault still lasts at the same place.
	inject(f Fault) (end func(), ok bool)
	// load puts load on the system for a time; the violations it shows are reported
	// to the run.
	load(x context.Context, seed uint64, d time.Duration) (outcome, error)
	// violations returns the promises that were broken so far.
	violations() []string
	// checkWhole returns what isn't whole after the calm, beside the load's outcome.
	checkWhole(x context.Context) []string
	stop()
}

// run is a run in progress.
type run struct {
	config Config
	system system
	mu     sync.Mutex
	report Report
}

// Run runs a plan and returns what was seen. An error means that the system could not
// be started or loaded.
func Run(x context.Context, c Config) (Report, error) {
	if err := c.validate(); err != nil {
		return Report{}, err
	}
	var s system
	var err error
	if c.Edge == PlatformEdge {
		s, err = startPlatformSystem(x, c)
	} else {
		s, err = startPostgresSystem(x, c)
	}
	if err != nil {
		return Report{}, err
	}
	defer s.stop()
	r := &run{config: c, system: s, report: Report{Edge: c.Edge, Seed: c.Seed}}
	plan := Draw(c.Seed, s.shape(), c.Duration)
	for _, p := range plan {
		r.report.Steps = append(r.report.Steps, p.String())
	}
	err = r.play(x, plan)
	return r.report, err
}

// play injects the faults under load, waits for the calm and checks that the service is
// whole.
func (r *run) play(x context.Context, plan []Step) error {
	var g errgroup.Group
	var under outcome
	g.Go(func() error {
		var err error
		under, err = r.system.load(x, r.config.Seed, End(plan)+CalmTime)
		return err
	})
	for _, p := range plan {
		g.Go(func() error {
			r.playStep(x, p)
			return nil
		})
	}
	if err := g.Wait(); err != nil || x.Err() != nil {
		return errs.Combine(err, x.Err())
	}
	tail, err := r.system.load(x, r.config.Seed+1, tailTime)
	if err != nil {
		return err
	}
	o := &r.report
	o.Served, o.Refused, o.InDoubt, o.Cut = under.served+tail.served, under.refused+tail.refused, under.inDoubt+tail.inDoubt, under.cut+tail.cut
	o.Violations = append(r.system.violations(), r.system.checkWhole(x)...)
	if n := tail.served + tail.refused + tail.inDoubt + tail.cut; n == 0 || float64(tail.served) < minServedShare*float64(n) || tail.cut > 0 {
		o.Violations = append(o.Violations, fmt.Sprintf("WHOLE: after the calm %d of %d operations were served, %d refused, %d in doubt, %d cut", tail.served, n, tail.refused, tail.inDoubt, tail.cut))
	}
	if Planned(r.config.Seed) {
		for _, l := range under.lost {
			o.Violations = append(o.Violations, "LOST: under planned work "+l)
		}
		if under.inDoubt > 0 {
			o.Violations = append(o.Violations, fmt.Sprintf("LOST: %d operations are in doubt though all work was planned", under.inDoubt))
		}
	}
	return nil
}

// playStep injects a fault at its time and ends it.
func (r *run) playStep(x context.Context, p Step) {
	if !sleep(x, p.At) {
		return
	}
	end, ok := r.system.inject(p.Fault)
	r.config.Log.Info("fault started", "fault", p.String(), "injected", ok)
	if !ok {
		r.mu.Lock()
		r.report.Skipped++
		r.mu.Unlock()
		return
	}
	sleep(x, p.For)
	end()
	r.config.Log.Info("fault ended", "fault", p.String())
}

// sleep waits for d and returns true, or returns false if the context ends first.
func sleep(x context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.Done():
		return false
	}
}
