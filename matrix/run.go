// Package matrix runs the worlds of package model with faults that are injected
// at a step of a write or of a takeover, and checks the guarantees that must
// always hold, such as that no acknowledged write is lost. Its tests cover
// every fault at every step.
package matrix

import (
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/model"
)

// Timing of a run.
const (
	// warmUpTime is the time before the first fault may be injected.
	warmUpTime = 1 * time.Second
	// faultDuration is how long faults last; it is longer than all timeouts.
	faultDuration = 8 * time.Second
	// stabilizationTime is the time between the end of the faults and the
	// checks.
	stabilizationTime = 4 * time.Second
	// maxWriteGap bounds the interruption of writes by a failover.
	maxWriteGap = 5 * time.Second
	// pollInterval is the time between checks of a condition that is waited
	// for.
	pollInterval = 100 * time.Millisecond
	// catchUpTime is the time in which replicas must catch up without writes.
	catchUpTime = 300 * time.Millisecond
	// primaryDowntime is how long the killed primary is down in an extra
	// failover.
	primaryDowntime = 3 * time.Second
	// rejoinTime is the time in which the restarted primary must then catch up.
	rejoinTime = 1 * time.Second
	// extraFailovers is the number of failovers after the faults have ended.
	extraFailovers = 2
)

// Plan describes one run: its faults and the step at which they are injected.
type Plan struct {
	Seed uint64
	// Step is the step of a write at which First is injected. The first write
	// that reaches the step is the target write.
	Step  model.WriteStep
	First Fault
	// Second is injected After later; empty for none.
	Second Fault
	After  time.Duration
	// FiveMembers gives the group five members instead of three.
	FiveMembers bool
	Options     model.Options
}

// String describes the plan.
func (p Plan) String() string {
	s := string(p.First) + " at " + string(p.Step)
	if p.Second != "" {
		s += " and " + string(p.Second) + " after " + p.After.String()
	}
	if p.FiveMembers {
		s += ", five members"
	}
	return s + ", seed " + strconv.FormatUint(p.Seed, 10)
}

// Report is the result of a run.
type Report struct {
	// Violations are the guarantees that were violated; empty if none.
	Violations []string
	// InjectedAt is when the first fault was injected, from the start of the
	// run; zero if the step was never reached.
	InjectedAt time.Duration
	// WriteGap is the longest time without an acknowledged write from then on,
	// while the faults lasted.
	WriteGap time.Duration
	// Done, NotRun and InDoubt count the writes by the outcome that callers
	// received.
	Done    int
	NotRun  int
	InDoubt int
	// Reads counts reads that were answered.
	Reads int
	// Terms is the number of terms of the group at the end.
	Terms uint64
}

// run is a run in progress.
type run struct {
	plan  Plan
	world *model.World
	// target is the session of the target write.
	target *model.Session
	// injectedAt is when the first fault was injected; zero before.
	injectedAt time.Time
	// faultsEnded is set when the faults have ended.
	faultsEnded bool
	// killNewPrimary means that the next promoted member is killed.
	killNewPrimary bool
	// pushes holds the results of the operators' pushes by digest.
	pushes map[string]model.PushResult
	report Report
}

// Run executes a plan and checks the guarantees.
func Run(p Plan) Report {
	r := &run{plan: p, world: model.New(model.Config{Seed: p.Seed, FiveMembers: p.FiveMembers, Options: p.Options}), pushes: map[string]model.PushResult{}}
	r.pushBundle("operator-0", 1, "first")
	r.world.OnPromotion = r.handlePromotion
	r.world.Advance(warmUpTime)
	r.world.OnWriteStep = r.handleStep
	r.world.Advance(faultDuration)
	r.world.OnWriteStep = nil
	r.endFaults()
	r.world.Advance(stabilizationTime)
	r.pauseSessions()
	r.checkGuarantees("after the faults")
	r.checkBundles()
	for i := range extraFailovers {
		r.forceFailover()
		r.checkGuarantees("after further failover " + strconv.Itoa(i+1))
	}
	r.summarize()
	return r.report
}

// maxParallelRuns is the number of concurrent runs.
const maxParallelRuns = 4

// RunAll executes plans concurrently; the reports are in the order of the
// plans.
func RunAll(p []Plan) []Report {
	o := make([]Report, len(p))
	g := &errgroup.Group{}
	g.SetLimit(maxParallelRuns)
	for i := range p {
		g.Go(func() error {
			o[i] = Run(p[i])
			return nil
		})
	}
	_ = g.Wait()
	return o
}

// handleStep injects the first fault when a write reaches the planned step, and
// schedules the second one.
func (r *run) handleStep(s model.WriteStep, x model.Statement) {
	if s != r.plan.Step || !r.injectedAt.IsZero() {
		return
	}
	r.target = r.world.SessionAwaiting(x)
	if r.target == nil {
		return
	}
	r.injectedAt = r.world.Now()
	r.report.InjectedAt = r.world.Elapsed()
	r.injectFault(r.plan.First)
	if r.plan.Second != "" {
		r.world.After(r.plan.After, func() { r.injectFault(r.plan.Second) })
	}
}

func (r *run) handlePromotion(m *model.Member) {
	if r.killNewPrimary {
		r.killNewPrimary = false
		m.Kill()
	}
}

// pushBundlesConcurrently has two operators push different bundles of the same
// version.
func (r *run) pushBundlesConcurrently() {
	v := uint64(2)
	if b := r.world.Platform.Bundle(); b != nil {
		v = b.Bundle.Version + 1
	}
	s := strconv.Itoa(len(r.pushes))
	r.pushBundle("operator-1", v, "amber-"+s)
	r.pushBundle("operator-2", v, "blue-"+s)
}

func (r *run) pushBundle(operator string, version uint64, digest string) {
	r.pushes[digest] = ""
	r.world.PushBundle(operator, model.NewBundle(version, digest), func(e model.PushResult) { r.pushes[digest] = e })
}

// pauseSessions stops the sessions and waits until their requests are answered.
func (r *run) pauseSessions() {
	for _, s := range r.world.Sessions {
		s.Paused = true
	}
	end := r.world.Now().Add(2 * maxWriteGap)
	for r.sessionsBusy() && r.world.Now().Before(end) {
		r.world.Advance(pollInterval)
	}
	if r.sessionsBusy() {
		r.addViolation("a session received no answer")
	}
	r.world.Advance(catchUpTime)
}

func (r *run) sessionsBusy() bool {
	for _, s := range r.world.Sessions {
		if s.Busy() {
			return true
		}
	}
	return false
}

func (r *run) resumeSessions() {
	for _, s := range r.world.Sessions {
		s.Paused = false
	}
}

// forceFailover kills the primary and restarts it after primaryDowntime.
func (r *run) forceFailover() {
	p := r.world.Primary()
	p.Kill()
	r.world.Advance(primaryDowntime)
	p.Restart()
	r.world.Advance(rejoinTime)
}
