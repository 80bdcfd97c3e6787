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
	// pollInterval is how often a daemon's version is looked at, and so the resolution
	// of all times.
	pollInterval = 2 * time.Millisecond
	// inForceTimeout is the longest wait for a bundle to be in force everywhere.
	inForceTimeout = time.Minute
	// settleTime and settlePerDaemon, for each daemon, are the pause before calls are
	// counted, so that sessions have the time to live that the fleet needs.
	settleTime      = 45 * time.Second
	settlePerDaemon = 400 * time.Millisecond
	// changeInterval is the pause between two changes.
	changeInterval = 2 * time.Second
	// outageWindow is the time after an outage in which calls are counted.
	outageWindow = 20 * time.Second
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
	// Up holds times while the platform is up, Back those right after an outage.
	Up   Times `json:"platform-up"`
	Back Times `json:"platform-back"`
	// CallsPerIdleMinute and CallsPerChange are calls to the platform; the
	// pusher's own two are not in them.
	CallsPerIdleMinute float64 `json:"calls-per-idle-minute"`
	CallsPerChange     float64 `json:"calls-per-change"`
	// OutageRate is the number of calls a second while the platform is down,
	// and BackPeak the greatest number in a second after it.
	OutageRate float64 `json:"calls-per-second-in-outage"`
	BackPeak   int64   `json:"peak-calls-per-second-after-outage"`
}

// measurement is a measurement under way.
type measurement struct {
	c       Config
	cluster *cluster.Cluster
	report  Report
	// idleCallsPerSecond is the number of calls a second while nothing changes.
	idleCallsPerSecond float64
}

// Run makes a measurement.
func Run(x context.Context, c Config) (Report, error) {
	if c.Daemons < 1 || c.Daemons > maxDaemons || c.Domains < 1 || c.Domains > c.Daemons {
		return Report{}, Error.Wrap(&LimitError{Daemons: c.Daemons, Domains: c.Domains})
	}
	f := cluster.Default()
	f.Groups, f.Daemons, f.Domains, f.Log = []string{"orders"}, c.Daemons, nil, c.Log
	for i := range c.Domains {
		f.Domains = append(f.Domains, "west-"+strconv.Itoa(i+1))
	}
	k, err := cluster.Start(x, f)
	if err != nil {
		return Report{}, err
	}
	defer k.Stop()
	m := &measurement{c: c, cluster: k, report: Report{Daemons: c.Daemons, Domains: c.Domains}}
	err = m.run(x)
	return m.report, err
}

func (m *measurement) run(x context.Context) error {
	if err := sleep(x, settleTime+time.Duration(m.c.Daemons)*settlePerDaemon); err != nil {
		return err
	}
	b := m.calls()
	if err := sleep(x, m.c.Idle); err != nil {
		return err
	}
	m.idleCallsPerSecond = float64(m.calls()-b) / m.c.Idle.Seconds()
	m.report.CallsPerIdleMinute = m.idleCallsPerSecond * time.Minute.Seconds()
	if err := m.measureChanges(x); err != nil {
		return err
	}
	return m.measureOutages(x)
}

func (m *measurement) measureChanges(x context.Context) error {
	var all []time.Duration
	b, t := m.calls(), time.Now()
	for range m.c.Changes {
		l, err := m.pushNext(x)
		if err != nil {
			return err
		}
		all = append(all, l...)
		if err := sleep(x, changeInterval); err != nil {
			return err
		}
	}
	m.report.Up = summarize(all)
	if m.c.Changes > 0 {
		n := float64(m.calls()-b) - m.idleCallsPerSecond*time.Since(t).Seconds()
		m.report.CallsPerChange = n/float64(m.c.Changes) - pushCalls
	}
	return nil
}

// pushCalls is the number of calls of one push.
const pushCalls = 2

func (m *measurement) measureOutages(x context.Context) error {
	var all []time.Duration
	for range m.c.Outages {
		b := m.calls()
		m.cluster.Platform.SetFault(kv.Fault{Down: true})
		if err := sleep(x, m.c.Outage); err != nil {
			return err
		}
		m.report.OutageRate = max(m.report.OutageRate, float64(m.calls()-b)/m.c.Outage.Seconds())
		m.cluster.Platform.SetFault(kv.Fault{})
		l, err := m.pushNext(x)
		if err != nil {
			return err
		}
		all = append(all, l...)
		if err := m.recordPeak(x); err != nil {
			return err
		}
	}
	m.report.Back = summarize(all)
	return nil
}

// recordPeak looks for the second with the most calls.
func (m *measurement) recordPeak(x context.Context) error {
	for range int(outageWindow / time.Second) {
		b := m.calls()
		if err := sleep(x, time.Second); err != nil {
			return err
		}
		m.report.BackPeak = max(m.report.BackPeak, m.calls()-b)
	}
	return nil
}

// pushNext rolls out the next version and returns the time that it took to be in
// force on each daemon.
func (m *measurement) pushNext(x context.Context) ([]time.Duration, error) {
	v := *m.cluster.Bundle
	v.Version++
	m.cluster.Bundle = &v
	if err := m.cluster.Push(&v); err != nil {
		return nil, err
	}
	b := time.Now()
	var o []time.Duration
	left := append([]*cluster.Daemon{}, m.cluster.Daemons...)
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
		if time.Since(b) > inForceTimeout {
			return o, Error.Wrap(&TimeoutError{Remaining: len(left)})
		}
		if err := sleep(x, pollInterval); err != nil {
			return o, err
		}
	}
	return o, nil
}

func (m *measurement) calls() int64 {
	c := m.cluster.Platform.Counts()
	return c.Reads + c.Writes
}

func summarize(l []time.Duration) Times {
	if len(l) == 0 {
		return Times{}
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return Times{Count: len(l), Median: ms(l[len(l)/2]), Worst: ms(l[len(l)-1])}
}

func sleep(x context.Context, d time.Duration) error {
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

// TimeoutError reports a bundle that didn't come in force everywhere.
type TimeoutError struct {
	// Remaining is the number of daemons without it.
	Remaining int
}

func (e *TimeoutError) Error() string {
	return strconv.Itoa(e.Remaining) + " daemons had not the bundle within " + inForceTimeout.String()
}
