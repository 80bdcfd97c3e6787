// Package load generates a bounded load of orders, look-ups and reports on daemons
// over loopback. It checks look-ups during the run, and compares the outcome of
// every order with the rows in the database at the end.
package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin load")

// Limits of a run; they keep the load bounded.
const (
	maxDuration = 10 * time.Minute
	maxRate     = 100000
	maxSessions = 2000
	// maxInFlight is the maximum number of operations of one rank that wait for a
	// session.
	maxInFlight = 20000
)

// Config holds a run's settings.
type Config struct {
	// Addresses are the caller addresses of daemons, on loopback.
	Addresses []string
	// AdminAddresses are the admin addresses of the same daemons, for reading their
	// metrics; may be empty.
	AdminAddresses []string
	User           string
	Password       string
	// Group is the database group.
	Group string
	// Rates are the operations per second of each rank: orders (urgent), look-ups
	// (routine) and reports (background).
	Rates [bundle.RankCount]float64
	// Sessions is the number of sessions, shared equally among the ranks with a
	// rate.
	Sessions int
	Duration time.Duration
	// MoveEvery is the number of operations after which a session moves to another
	// daemon; zero for never.
	MoveEvery int
	// Keyed sends every order with an idempotency key.
	Keyed bool
	// Repeats is the maximum number of times that a keyed order in doubt is
	// repeated.
	Repeats int
	Seed    uint64
	// Progress is called with an interim report every progressInterval; may be nil.
	Progress func(Report)
}

// Validate returns an error if the settings are invalid.
func (c *Config) Validate() error {
	switch {
	case len(c.Addresses) == 0:
		return Error.Wrap(&ConfigError{Reason: "no address"})
	case c.Duration <= 0 || c.Duration > maxDuration:
		return Error.Wrap(&ConfigError{Reason: "duration must be above zero and at most " + maxDuration.String()})
	case c.Sessions <= 0 || c.Sessions > maxSessions:
		return Error.Wrap(&ConfigError{Reason: "sessions must be from 1 to " + strconv.Itoa(maxSessions)})
	case c.Rates[0]+c.Rates[1]+c.Rates[2] > maxRate:
		return Error.Wrap(&ConfigError{Reason: "rates sum to more than " + strconv.Itoa(maxRate)})
	}
	for _, a := range append(append([]string{}, c.Addresses...), c.AdminAddresses...) {
		if !isLoopback(a) {
			return Error.Wrap(&ConfigError{Reason: a + " is not on loopback"})
		}
	}
	return nil
}

// ConfigError reports invalid settings.
type ConfigError struct{ Reason string }

func (e *ConfigError) Error() string { return "load settings: " + e.Reason }

// Runner runs one load.
type Runner struct {
	config Config
	// due holds, for each rank, the times at which operations became due.
	due      [bundle.RankCount]chan time.Time
	recorder *recorder
}

// Run runs the load, verifies the orders and returns the report.
func Run(x context.Context, c Config) (Report, error) {
	if err := c.Validate(); err != nil {
		return Report{}, err
	}
	r := &Runner{config: c, recorder: newRecorder(c)}
	if err := r.createOrderTable(x); err != nil {
		return Report{}, err
	}
	before := scrapeMetrics(x, c.AdminAddresses)
	if err := r.runLoad(x); err != nil {
		return Report{}, err
	}
	if err := r.verifyOrders(x); err != nil {
		return Report{}, err
	}
	o := r.recorder.report()
	o.setTraffic(before, scrapeMetrics(x, c.AdminAddresses))
	return o, nil
}

// runLoad generates operations at their rates for the run's duration, and runs them
// on the sessions.
func (r *Runner) runLoad(x context.Context) error {
	y, stop := context.WithTimeout(x, r.config.Duration)
	defer stop()
	g := &errgroup.Group{}
	for i := range r.due {
		r.due[i] = make(chan time.Time, maxInFlight)
		g.Go(func() error {
			r.generateArrivals(y, bundle.Rank(i))
			return nil
		})
	}
	s := &errgroup.Group{}
	n := r.sessionsPerRank()
	id := 0
	for k := range n {
		for range n[k] {
			id++
			w := newWorker(r, id, bundle.Rank(k))
			s.Go(func() error { return w.runOperations(x) })
		}
	}
	if r.config.Progress != nil {
		g.Go(func() error { return r.reportProgress(y) })
	}
	err := g.Wait()
	for i := range r.due {
		close(r.due[i])
	}
	if e := s.Wait(); e != nil {
		return e
	}
	return err
}

// sessionsPerRank shares the sessions equally among the ranks with a rate above
// zero; each of these gets at least one.
func (r *Runner) sessionsPerRank() [bundle.RankCount]int {
	var n [bundle.RankCount]int
	active := 0
	for _, v := range r.config.Rates {
		if v > 0 {
			active++
		}
	}
	for i, v := range r.config.Rates {
		if v > 0 {
			n[i] = max(r.config.Sessions/active, 1)
		}
	}
	return n
}

// generateArrivals makes operations of one rank due with exponentially distributed
// intervals, regardless of how many are running; those beyond maxInFlight are shed.
func (r *Runner) generateArrivals(x context.Context, k bundle.Rank) {
	if r.config.Rates[k] <= 0 {
		return
	}
	u := rand.New(rand.NewPCG(r.config.Seed, uint64(k)+1))
	next := time.Now()
	for {
		next = next.Add(time.Duration(u.ExpFloat64() / r.config.Rates[k] * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-x.Done():
			t.Stop()
			return
		case <-t.C:
		}
		select {
		case r.due[k] <- next:
			r.recorder.countOffered(k)
		default:
			r.recorder.countShed(k)
		}
	}
}

// progressInterval is the time between two calls of Progress.
const progressInterval = time.Second

func (r *Runner) reportProgress(x context.Context) error {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
			r.config.Progress(r.recorder.report())
		}
	}
}

// order is an order with the times and the outcome that its session observed.
type order struct {
	id string
	// started and ended are the times before the first attempt and after the last.
	started, ended time.Time
	outcome        outcome
}

// outcome is the outcome of an operation as reported to the caller.
type outcome int

const (
	done outcome = iota
	refused
	inDoubt
	failed
)

// recorder collects counts, latencies and orders.
type recorder struct {
	config Config
	mu     sync.Mutex
	// ranks holds the counts and latencies of each rank.
	ranks  [bundle.RankCount]*rankRecord
	orders []order
	// stale counts look-ups that didn't return the session's last acknowledged
	// order.
	stale int64
	// codes counts failures by SQLSTATE and message, or by the text of a connection
	// failure.
	codes map[string]int64
	// lost, doubled and wronglyRefused are set by compareOrders.
	lost, doubled, wronglyRefused int64
	started                       time.Time
}
