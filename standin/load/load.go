// Package load puts a bounded load of orders and look-ups on daemons over
// loopback, and checks every answer against what the database holds in the end.
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

// Error is the class of all failures of this package.
var Error = errs.Class("standin load")

// Limits of a run, so that a load stays bounded.
const (
	maxDuration = 10 * time.Minute
	maxRate     = 100000
	maxSessions = 2000
	// maxInFlight bounds the operations that wait for a session.
	maxInFlight = 20000
)

// Config holds a run's settings.
type Config struct {
	// Addresses are the caller addresses of daemons, on loopback.
	Addresses []string
	// Admins are the admin addresses of the same daemons; may be empty.
	Admins   []string
	User     string
	Password string
	// Group is the database group.
	Group string
	// Rates are the operations a second of each rank.
	Rates [bundle.RankCount]float64
	// Sessions is the number of sessions.
	Sessions int
	Duration time.Duration
	// MoveEvery is the number of operations after which a session moves on.
	MoveEvery int
	// Keyed gives every order an idempotency key.
	Keyed bool
	// Repeats is how often a keyed order in doubt is repeated.
	Repeats int
	Seed    uint64
	// Progress is told of the counts now and then; nil for none.
	Progress func(Report)
}

// Check returns what is wrong with the settings.
func (c *Config) Check() error {
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
	for _, a := range append(append([]string{}, c.Addresses...), c.Admins...) {
		if !loopback(a) {
			return Error.Wrap(&ConfigError{Reason: a + " is not on loopback"})
		}
	}
	return nil
}

// ConfigError reports settings that can't be run.
type ConfigError struct{ Reason string }

func (e *ConfigError) Error() string { return "load settings: " + e.Reason }

// Runner is a load that runs.
type Runner struct {
	c Config
	// work holds the ranks of operations that are due.
	work [bundle.RankCount]chan time.Time
	rec  *recorder
}

// Run puts the load and returns the report.
func Run(x context.Context, c Config) (Report, error) {
	if err := c.Check(); err != nil {
		return Report{}, err
	}
	r := &Runner{c: c, rec: newRecorder(c)}
	if err := r.prepare(x); err != nil {
		return Report{}, err
	}
	before := scrape(x, c.Admins)
	if err := r.drive(x); err != nil {
		return Report{}, err
	}
	if err := r.verify(x); err != nil {
		return Report{}, err
	}
	o := r.rec.report()
	o.traffic(before, scrape(x, c.Admins))
	return o, nil
}

// drive generates operations at their rates and lets sessions take them.
func (r *Runner) drive(x context.Context) error {
	y, stop := context.WithTimeout(x, r.c.Duration)
	defer stop()
	g := &errgroup.Group{}
	for i := range r.work {
		r.work[i] = make(chan time.Time, maxInFlight)
		g.Go(func() error {
			r.generate(y, bundle.Rank(i))
			return nil
		})
	}
	s := &errgroup.Group{}
	n := r.split()
	id := 0
	for k := range n {
		for range n[k] {
			id++
			w := newWorker(r, id, bundle.Rank(k))
			s.Go(func() error { return w.run(x) })
		}
	}
	if r.c.Progress != nil {
		g.Go(func() error { return r.progress(y) })
	}
	err := g.Wait()
	for i := range r.work {
		close(r.work[i])
	}
	if e := s.Wait(); e != nil {
		return e
	}
	return err
}

// split shares the sessions among the ranks that have a rate.
func (r *Runner) split() [bundle.RankCount]int {
	var n [bundle.RankCount]int
	active := 0
	for _, v := range r.c.Rates {
		if v > 0 {
			active++
		}
	}
	for i, v := range r.c.Rates {
		if v > 0 {
			n[i] = max(r.c.Sessions/active, 1)
		}
	}
	return n
}

// generate makes operations of one rank due at random times.
func (r *Runner) generate(x context.Context, k bundle.Rank) {
	if r.c.Rates[k] <= 0 {
		return
	}
	u := rand.New(rand.NewPCG(r.c.Seed, uint64(k)+1))
	next := time.Now()
	for {
		next = next.Add(time.Duration(u.ExpFloat64() / r.c.Rates[k] * float64(time.Second)))
		t := time.NewTimer(time.Until(next))
		select {
		case <-x.Done():
			t.Stop()
			return
		case <-t.C:
		}
		select {
		case r.work[k] <- next:
			r.rec.offered(k)
		default:
			r.rec.shed(k)
		}
	}
}

// progressInterval is how often progress is told.
const progressInterval = time.Second

func (r *Runner) progress(x context.Context) error {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
			r.c.Progress(r.rec.report())
		}
	}
}

// order is one order as its session knows it.
type order struct {
	id string
	// started and ended bound the request.
	started, ended time.Time
	outcome        outcome
}

// outcome is what a caller was told.
type outcome int

const (
	done outcome = iota
	refused
	inDoubt
	failed
)

// recorder gathers what happened.
type recorder struct {
	c  Config
	mu sync.Mutex
	// ranks holds the counts of each rank.
	ranks  [bundle.RankCount]*rankRecord
	orders []order
	// stale counts reads that missed an order of their session.
	stale int64
	// codes counts the SQLSTATEs of failures.
	codes map[string]int64
	// result holds the comparison with the database.
	lost, doubled, wronglyRefused int64
	begun                         time.Time
}
