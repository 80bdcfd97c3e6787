// Package propagation measures how fast a bundle takes effect on a fleet of daemons
// in one process, and how many calls to the platform this costs. Package measure
// measures the handling of statements.
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

// Error is the class of all errors of this package.
var Error = errs.Class("standin propagation")

// Timing and limits of the measurement.
const (
	// pollInterval is the interval at which the daemons' versions are read, and so
	// the resolution of all times.
	pollInterval = 2 * time.Millisecond
	// inForceTimeout is the maximum wait for a bundle to be in force on all daemons.
	inForceTimeout = time.Minute
	// Calls are counted after a wait of settleTime plus settlePerDaemon for each
	// daemon, so that the daemons' sessions have reached the time to live for the
	// size of the fleet.
	settleTime      = 45 * time.Second
	settlePerDaemon = 400 * time.Millisecond
	// changeInterval is the wait between two changes.
	changeInterval = 2 * time.Second
	// outageWindow is the time after an outage for which calls are counted.
	outageWindow = 20 * time.Second
	// maxDaemons is the maximum size of the fleet.
	maxDaemons = 300
)

// Config holds a measurement's settings.
type Config struct {
	// Daemons and Domains are the numbers of daemons and failure domains.
	Daemons        int
	FailureDomains int
	// Changes is the number of bundles that are pushed while the platform is up,
	// and Outages the number of outages, each followed by a push.
	Changes int
	Outages int
	// IdleDuration is the time for which calls are counted while no bundle is pushed.
	IdleDuration time.Duration
	// OutageDuration is the duration of each outage.
	OutageDuration time.Duration
	Log            hclog.Logger
}

// Times summarizes the times in milliseconds from a bundle's acceptance until it is
// in force on a daemon, over all daemons and changes.
type Times struct {
	Count  int     `json:"count"`
	Median float64 `json:"median-ms"`
	Worst  float64 `json:"worst-ms"`
}

// Report holds the results of a measurement.
type Report struct {
	Daemons        int `json:"daemons"`
	FailureDomains int `json:"failure-domains"`
	// PlatformUp holds the times of changes while the platform is up.
	PlatformUp Times `json:"platform-up"`
	// AfterOutage holds the times of changes right after an outage.
	AfterOutage Times `json:"platform-back"`
	// CallsPerIdleMinute and CallsPerChange are the daemons' calls to the platform;
	// the two calls of the push itself are not included.
	CallsPerIdleMinute float64 `json:"calls-per-idle-minute"`
	CallsPerChange     float64 `json:"calls-per-change"`
	// CallsPerSecondInOutage is the number of calls per second while the platform is
	// down; the maximum over all outages.
	CallsPerSecondInOutage float64 `json:"calls-per-second-in-outage"`
	// PeakCallsPerSecondAfterOutage is the maximum number of calls in one second after
	// an outage.
	PeakCallsPerSecondAfterOutage int64 `json:"peak-calls-per-second-after-outage"`
}

// measurement is a running measurement.
type measurement struct {
	config  Config
	cluster *cluster.Cluster
	report  Report
	// idleCallsPerSecond is the number of calls per second while no bundle is
	// pushed.
	idleCallsPerSecond float64
}

// Run starts a fleet and runs a measurement.
func Run(x context.Context, c Config) (Report, error) {
	if c.Daemons < 1 || c.Daemons > maxDaemons || c.FailureDomains < 1 || c.FailureDomains > c.Daemons {
		return Report{}, Error.Wrap(&LimitError{Daemons: c.Daemons, FailureDomains: c.FailureDomains})
	}
	f := cluster.DefaultConfig()
	f.Groups, f.Daemons, f.FailureDomains, f.Log = []string{"orders"}, c.Daemons, nil, c.Log
	for i := range c.FailureDomains {
		f.FailureDomains = append(f.FailureDomains, "west-"+strconv.Itoa(i+1))
	}
	k, err := cluster.Start(x, f)
	if err != nil {
		return Report{}, err
	}
	defer k.Stop()
	m := &measurement{config: c, cluster: k, report: Report{Daemons: c.Daemons, FailureDomains: c.FailureDomains}}
	err = m.run(x)
	return m.report, err
}

func (m *measurement) run(x context.Context) error {
	if err := sleep(x, settleTime+time.Duration(m.config.Daemons)*settlePerDaemon); err != nil {
		return err
	}
	b := m.platformCalls()
	if err := sleep(x, m.config.IdleDuration); err != nil {
		return err
	}
	m.idleCallsPerSecond = float64(m.platformCalls()-b) / m.config.IdleDuration.Seconds()
	m.report.CallsPerIdleMinute = m.idleCallsPerSecond * time.Minute.Seconds()
	if err := m.measureChanges(x); err != nil {
		return err
	}
	return m.measureOutages(x)
}

func (m *measurement) measureChanges(x context.Context) error {
	var all []time.Duration
	b, t := m.platformCalls(), time.Now()
	for range m.config.Changes {
		l, err := m.pushNext(x)
		if err != nil {
			return err
		}
		all = append(all, l...)
		if err := sleep(x, changeInterval); err != nil {
			return err
		}
	}
	m.report.PlatformUp = summarizeTimes(all)
	if m.config.Changes > 0 {
		n := float64(m.platformCalls()-b) - m.idleCallsPerSecond*time.Since(t).Seconds()
		m.report.CallsPerChange = n/float64(m.config.Changes) - pushCalls
	}
	return nil
}

// pushCalls is the number of calls of one push.
const pushCalls = 2

func (m *measurement) measureOutages(x context.Context) error {
	var all []time.Duration
	for range m.config.Outages {
		b := m.platformCalls()
		m.cluster.Platform.SetFault(kv.Fault{Down: true})
		if err := sleep(x, m.config.OutageDuration); err != nil {
			return err
		}
		m.report.CallsPerSecondInOutage = max(m.report.CallsPerSecondInOutage, float64(m.platformCalls()-b)/m.config.OutageDuration.Seconds())
		m.cluster.Platform.SetFault(kv.Fault{})
		l, err := m.pushNext(x)
		if err != nil {
			return err
		}
		all = append(all, l...)
		if err := m.recordPeakCalls(x); err != nil {
			return err
		}
	}
	m.report.AfterOutage = summarizeTimes(all)
	return nil
}

// recordPeakCalls counts calls in each second of outageWindow and records the
// maximum.
func (m *measurement) recordPeakCalls(x context.Context) error {
	for range int(outageWindow / time.Second) {
		b := m.platformCalls()
		if err := sleep(x, time.Second); err != nil {
			return err
		}
		m.report.PeakCallsPerSecondAfterOutage = max(m.report.PeakCallsPerSecondAfterOutage, m.platformCalls()-b)
	}
	return nil
}

// pushNext pushes a bundle of the next version and returns, for each daemon, the
// time until it was in force.
func (m *measurement) pushNext(x context.Context) ([]time.Duration, error) {
	v := *m.cluster.Bundle
	v.Version++
	m.cluster.Bundle = &v
	if err := m.cluster.Push(&v); err != nil {
		return nil, err
	}
	b := time.Now()
	var o []time.Duration
	pending := append([]*cluster.Daemon{}, m.cluster.Daemons...)
	for len(pending) > 0 {
		var remaining []*cluster.Daemon
		for _, d := range pending {
			if d.Version() >= v.Version {
				o = append(o, time.Since(b))
			} else {
				remaining = append(remaining, d)
			}
		}
		pending = remaining
		if time.Since(b) > inForceTimeout {
			return o, Error.Wrap(&TimeoutError{Remaining: len(pending)})
		}
		if err := sleep(x, pollInterval); err != nil {
			return o, err
		}
	}
	return o, nil
}

func (m *measurement) platformCalls() int64 {
	c := m.cluster.Platform.Counts()
	return c.Reads + c.Writes
}

func summarizeTimes(l []time.Duration) Times {
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

// LimitError reports a fleet that is too large, or smaller than its number of failure
// domains.
type LimitError struct {
	Daemons        int
	FailureDomains int
}

func (e *LimitError) Error() string {
	return "can't run " + strconv.Itoa(e.Daemons) + " daemons in " + strconv.Itoa(e.FailureDomains) + " failure domains; at most " +
		strconv.Itoa(maxDaemons) + " daemons, at least one in each failure domain"
}

// TimeoutError reports a bundle that wasn't in force on all daemons within
// inForceTimeout.
type TimeoutError struct {
	// Remaining is the number of daemons on which the bundle isn't in force.
	Remaining int
}

func (e *TimeoutError) Error() string {
	return strconv.Itoa(e.Remaining) + " daemons don't have the bundle in force after " + inForceTimeout.String()
}
