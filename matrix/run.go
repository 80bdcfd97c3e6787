// Package matrix raises every fault at every step of a write, in virtual time,
// and checks what must always hold.
package matrix

import (
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/model"
)

// Timing of a run.
const (
	// warmUp passes before the target write.
	warmUp = 1 * time.Second
	// faultTime is how long faults last; it is longer than all time-outs.
	faultTime = 8 * time.Second
	// settleTime passes between the end of the faults and the checks.
	settleTime = 4 * time.Second
	// gapTarget is the greatest gap in service during a failover.
	gapTarget = 5 * time.Second
	// lookInterval is the time between looks at what is waited for.
	lookInterval = 100 * time.Millisecond
	// catchUp is how long replicas may take to catch up without writes.
	catchUp = 300 * time.Millisecond
	// outage is how long a primary stays away in a further failover.
	outage = 3 * time.Second
	// rejoin is how long it then has to catch up.
	rejoin = 1 * time.Second
	// farther is the number of further failovers after the faults.
	farther = 2
)

// Plan is what one run raises.
type Plan struct {
	Seed uint64
	// Step is the step of the target write at which First happens.
	Step  model.WriteStep
	First Fault
	// Second happens After later; empty for none.
	Second Fault
	After  time.Duration
	// Wide gives the group five members instead of three.
	Wide    bool
	Options model.Options
}

// String describes the plan.
func (p Plan) String() string {
	s := string(p.First) + " at " + string(p.Step)
	if p.Second != "" {
		s += " and " + string(p.Second) + " after " + p.After.String()
	}
	if p.Wide {
		s += ", five members"
	}
	return s + ", seed " + strconv.FormatUint(p.Seed, 10)
}

// Report is what a run has shown.
type Report struct {
	// Violations are the promises that were broken; empty if none.
	Violations []string
	// Raised is when the first fault happened, since the run began; zero if
	// the step was never reached.
	Raised time.Duration
	// Gap is the longest time without an acknowledged write from then on.
	Gap time.Duration
	// Done, NotRun and InDoubt count the writes by what callers were told.
	Done    int
	NotRun  int
	InDoubt int
	// Reads counts reads that were answered.
	Reads int
	// Terms counts the terms of the group in the end.
	Terms uint64
}

// run is a run in progress.
type run struct {
	p      Plan
	w      *model.World
	target *model.Session
	// raised is when the first fault happened; zero if it hasn't yet.
	raised time.Time
	// healed tells that the faults have ended.
	healed bool
	// killSuccessor kills the next member that is promoted.
	killSuccessor bool
	// pushes are the ends of the operators' pushes by digest.
	pushes map[string]model.PushResult
	report Report
}

// Run carries out a plan.
func Run(p Plan) Report {
	r := &run{p: p, w: model.New(model.Config{Seed: p.Seed, FiveMembers: p.Wide, Options: p.Options}), pushes: map[string]model.PushResult{}}
	r.push("operator-0", 1, "first")
	r.w.OnPromotion = r.promoted
	r.w.Advance(warmUp)
	r.w.OnWriteStep = r.reached
	r.w.Advance(faultTime)
	r.w.OnWriteStep = nil
	r.heal()
	r.w.Advance(settleTime)
	r.pause()
	r.check("after the faults")
	r.checkBundles()
	for i := range farther {
		r.failOver()
		r.check("after further failover " + strconv.Itoa(i+1))
	}
	r.count()
	return r.report
}

// parallel is the number of runs at a time.
const parallel = 4

// RunAll carries out plans side by side; the reports are in order of the
// plans.
func RunAll(p []Plan) []Report {
	o := make([]Report, len(p))
	g := &errgroup.Group{}
	g.SetLimit(parallel)
	for i := range p {
		g.Go(func() error {
			o[i] = Run(p[i])
			return nil
		})
	}
	_ = g.Wait()
	return o
}

// reached raises the first fault at the planned step.
func (r *run) reached(s model.WriteStep, x model.Statement) {
	if s != r.p.Step || !r.raised.IsZero() {
		return
	}
	r.target = r.w.WritingSession(x)
	if r.target == nil {
		return
	}
	r.raised = r.w.Now()
	r.report.Raised = r.w.Elapsed()
	r.inject(r.p.First)
	if r.p.Second != "" {
		r.w.After(r.p.After, func() { r.inject(r.p.Second) })
	}
}

func (r *run) promoted(m *model.Member) {
	if r.killSuccessor {
		r.killSuccessor = false
		m.Kill()
	}
}

// race lets two operators push bundles of one version.
func (r *run) race() {
	v := uint64(2)
	if b := r.w.Platform.Bundle(); b != nil {
		v = b.Bundle.Version + 1
	}
	s := strconv.Itoa(len(r.pushes))
	r.push("operator-1", v, "amber-"+s)
	r.push("operator-2", v, "blue-"+s)
}

func (r *run) push(operator string, version uint64, digest string) {
	r.pushes[digest] = ""
	r.w.Push(operator, model.NewBundle(version, digest), func(e model.PushResult) { r.pushes[digest] = e })
}

// pause stops the sessions and waits for their last answers.
func (r *run) pause() {
	for _, s := range r.w.Sessions {
		s.Paused = true
	}
	end := r.w.Now().Add(2 * gapTarget)
	for r.busy() && r.w.Now().Before(end) {
		r.w.Advance(lookInterval)
	}
	if r.busy() {
		r.violate("a session has got no answer")
	}
	r.w.Advance(catchUp)
}

func (r *run) busy() bool {
	for _, s := range r.w.Sessions {
		if s.Busy() {
			return true
		}
	}
	return false
}

func (r *run) resume() {
	for _, s := range r.w.Sessions {
		s.Paused = false
	}
}

// failOver kills the primary once more and brings it back.
func (r *run) failOver() {
	p := r.w.Primary()
	p.Kill()
	r.w.Advance(outage)
	p.Restart()
	r.w.Advance(rejoin)
}
