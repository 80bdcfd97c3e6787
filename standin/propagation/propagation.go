// Package propagation measures how fast a bundle comes in force on a fleet of
// daemons in one process, and what this costs in calls to the platform.
package propagation

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/kv"
)

// Error is the class of all failures of this package.
var Error = errs.Class("standin propagation")

// Timing of the measurement.
const (
	// poll is how often a daemon's version is looked at, and so the resolution
	// of all times.
	poll = 2 * time.Millisecond
	// limit is the longest wait for a bundle to be in force everywhere.
	limit = time.Minute
	// settle and settleEach, for each daemon, are the pause before calls are
	// counted, so that sessions have the time to live that the fleet needs.
	settle     = 45 * time.Second
	settleEach = 400 * time.Millisecond
	// rest is the pause between two changes.
	rest = 2 * time.Second
	// window is the time after an outage in which calls are counted.
	window = 20 * time.Second
	// maxDaemons bounds the fleet.
	maxDaemons = 300
)

// Config holds a measurement's settings.
type Config struct {
	// Daemons and Domains are the numbers of daemons and failure domains.
	Daemons int
	Domains int
	// Changes is the number of bundles pushed while the platform is up, and
	// Outages that of outages with a push right after each.
	Changes int
	Outages int
	// Idle is how long calls are counted while nothing changes.
	Idle time.Duration
	// Outage is the duration of each outage.
	Outage time.Duration
	Log    hclog.Logger
}

// Times are times from acceptance to in force, over all daemons and changes,
// in milliseconds.
type Times struct {
	Count  int     `json:"count"`
	Median float64 `json:"median-ms"`
	Worst  float64 `json:"worst-ms"`
}

// Report is the result of a measurement.
type Report struct {
	Daemons int `json:"daemons"`
	Domains int `json:"failure-domains"`
	// PlatformUp holds times while the platform is up, Back those right after an outage.
	PlatformUp  Times `json:"platform-up"`
	AfterOutage Times `json:"platform-back"`
	// CallsPerIdleMinute and CallsPerChange are calls to the platform; the
	// pusher's own two are not in them.
	CallsPerIdleMinute float64 `json:"calls-per-idle-minute"`
	CallsPerChange     float64 `json:"calls-per-change"`
	// CallsPerSecondInOutage is the number of calls a second while the platform is down,
	// and PeakCallsPerSecondAfterOutage the greatest number in a second after it.
	CallsPerSecondInOutage        float64 `json:"calls-per-second-in-outage"`
	PeakCallsPerSecondAfterOutage int64   `json:"peak-calls-per-second-after-outage"`
}

// run is a measurement under way.
type run struct {
	c Config
	k *cluster.Cluster
	r Report
	// idle is the number of calls a second while nothing changes.
	idle float64
}

// Run makes a measurement.
func Run(x context.Context, c Config) (Report, error) {
	if c.Daemons < 1 || c.Daemons > maxDaemons || c.Domains < 1 || c.Domains > c.Daemons {
		return Report{}, Error.Wrap(&LimitError{Daemons: c.Daemons, Domains: c.Domains})
	}
	f := cluster.DefaultConfig()
	f.Groups, f.Daemons, f.FailureDomains, f.Log = []string{"orders"}, c.Daemons, nil, c.Log
	for i := range c.Domains {
		f.FailureDomains = append(f.FailureDomains, "west-"+strconv.Itoa(i+1))
	}
	k, err := cluster.Start(x, f)
	if err != nil {
		return Report{}, err
	}
	defer k.Stop()
	m := &run{c: c, k: k, r: Report{Daemons: c.Daemons, Domains: c.Domains}}
	err = m.run(x)
	return m.r, err
}

func (m *run) run(x context.Context) error {
	if err := wait(x, settle+time.Duration(m.c.Daemons)*settleEach); err != nil {
		return err
	}
	b := m.calls()
	if err := wait(x, m.c.Idle); err != nil {
		return err
	}
	m.idle = float64(m.calls()-b) / m.c.Idle.Seconds()
	m.r.CallsPerIdleMinute = m.idle * time.Minute.Seconds()
	if err := m.changes(x); err != nil {
		return err
	}
	return m.outages(x)
}

func (m *run) changes(x context.Context) error {
	var all []time.Duration
	b, t := m.calls(), time.Now()
	for range m.c.Changes {
		l, err := m.push(x)
		if err != nil {
			return err
		}
		all = append(all, l...)
		if err := wait(x, rest); err != nil {
			return err
		}
	}
	m.r.PlatformUp = times(all)
	if m.c.Changes > 0 {
		n := float64(m.calls()-b) - m.idle*time.Since(t).Seconds()
		m.r.CallsPerChange = n/float64(m.c.Changes) - pushCalls
	}
	return nil
}

// pushCalls is the number of calls of one push.
const pushCalls = 2

func (m *run) outages(x context.Context) error {
	var all []time.Duration
	for range m.c.Outages {
		b := m.calls()
		m.k.Platform.SetFault(kv.Fault{Down: true})
		if err := wait(x, m.c.Outage); err != nil {
			return err
		}
		m.r.CallsPerSecondInOutage = max(m.r.CallsPerSecondInOutage, float64(m.calls()-b)/m.c.Outage.Seconds())
		m.k.Platform.SetFault(kv.Fault{})
		l, err := m.push(x)
		if err != nil {
			return err
		}
		all = append(all, l...)
		if err := m.peak(x); err != nil {
			return err
		}
	}
	m.r.AfterOutage = times(all)
	return nil
}

// peak looks for the second with the most calls.
func (m *run) peak(x context.Context) error {
	for range int(window / time.Second) {
		b := m.calls()
		if err := wait(x, time.Second); err != nil {
			return err
		}
		m.r.PeakCallsPerSecondAfterOutage = max(m.r.PeakCallsPerSecondAfterOutage, m.calls()-b)
	}
	return nil
}

// push rolls out the next version and returns the time that it took to be in
// force on each daemon.
func (m *run) push(x context.Context) ([]time.Duration, error) {
	v := *m.k.Bundle
	v.Version++
	m.k.Bundle = &v
	if err := m.k.Push(&v); err != nil {
		return nil, err
	}
	b := time.Now()
	var o []time.Duration
	left := append([]*cluster.Daemon{}, m.k.Daemons...)
	for len(left) > 0 {
		var keep []*cluster.Daemon
		for _, d := range left {
			if d.Version() >= v.Version {
				o = append(o, time.Since(b))
			} else {
				keep = append(keep, d)
			}
		}
		left = keep
		if time.Since(b) > limit {
			return o, Error.Wrap(&SlowError{Left: len(left)})
		}
		if err := wait(x, poll); err != nil {
			return o, err
		}
	}
	return o, nil
}

func (m *run) calls() int64 {
	c := m.k.Platform.Counts()
	return c.Reads + c.Writes
}

func times(l []time.Duration) Times {
	if len(l) == 0 {
		return Times{}
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return Times{Count: len(l), Median: ms(l[len(l)/2]), Worst: ms(l[len(l)-1])}
}

func wait(x context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
		return Error.Wrap(x.Err())
	case <-t.C:
		return nil
	}
}

// LimitError reports a fleet that is too large, or too small for its failure
// domains.
type LimitError struct {
	Daemons int
	Domains int
}

func (e *LimitError) Error() string {
	return "can't run " + strconv.Itoa(e.Daemons) + " daemons in " + strconv.Itoa(e.Domains) + " failure domains; at most " +
		strconv.Itoa(maxDaemons) + " daemons, at least one a failure domain"
}

// SlowError reports a bundle that didn't come in force everywhere.
type SlowError struct {
	// Left is the number of daemons without it.
	Left int
}

func (e *SlowError) Error() string {
	return strconv.Itoa(e.Left) + " daemons had not the bundle within " + limit.String()
}
