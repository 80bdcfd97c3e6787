package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/load"
	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// Fault names a fault of the primary or of its owner.
type Fault string

// The faults.
const (
	// Kill kills the primary.
	Kill Fault = "kill"
	// Freeze suspends the primary with SIGSTOP, and resumes it.
	Freeze Fault = "freeze"
	// Cut holds back all bytes of connections to the primary for a while.
	Cut Fault = "cut"
	// Silence permanently silences the open connections to the primary; new ones work.
	Silence Fault = "silence"
	// OwnerKill, OwnerFreeze and OwnerCut do the same to the primary's owner;
	// OwnerCut affects the connections to its peer address.
	OwnerKill   Fault = "owner-kill"
	OwnerFreeze Fault = "owner-freeze"
	OwnerCut    Fault = "owner-cut"
	// Drain is a switchover, not a fault: a bundle marks the primary as draining.
	Drain Fault = "leave"
)

// Faults returns all faults and Drain.
func Faults() []Fault {
	return []Fault{Kill, Freeze, Cut, Silence, OwnerKill, OwnerFreeze, OwnerCut, Drain}
}

// Times of a run, from the start of its load.
const (
	failoverFaultAt = 1 * time.Second
	// failoverHealAt is when the fault ends, if it can be ended.
	failoverHealAt   = 4500 * time.Millisecond
	failoverDuration = 5 * time.Second
)

// loadSessions is the number of sessions of the load in runs of Failover and
// Writes.
const loadSessions = 60

// FailoverConfig holds the settings of Failover.
type FailoverConfig struct {
	Process process.Config
	Fault   Fault
	Runs    int
	// Rate is the number of orders per second.
	Rate float64
	Seed uint64
	// Keyed sends orders with idempotency keys; the load doesn't repeat them.
	Keyed bool
}

// FailoverRun holds the results of one run. Notice, Confirm, Fence, Promote and
// FirstWrite are -1 if no primary was replaced.
type FailoverRun struct {
	Seed uint64 `json:"seed"`
	// Gap is the longest time between two consecutive acknowledged orders.
	Gap time.Duration `json:"gap-ns"`
	// Notice is the time from the fault to the first failure that a daemon
	// observed.
	Notice time.Duration `json:"notice-ns"`
	// Confirm, Fence and Promote are the durations that the daemon which replaced
	// the primary logged.
	Confirm time.Duration `json:"confirm-ns"`
	Fence   time.Duration `json:"fence-ns"`
	Promote time.Duration `json:"promote-ns"`
	// FirstWrite is the time from the log line about the new primary to the first
	// acknowledged order, which ends Gap; -1 if the log line lies outside Gap.
	FirstWrite time.Duration `json:"first-write-ns"`
	Orders     int64         `json:"orders"`
	InDoubt    int64         `json:"in-doubt"`
	Refused    int64         `json:"refused"`
	// Violations counts lost, doubled and wrongly refused orders and stale reads.
	Violations int64 `json:"broken"`
}

// FailoverReport holds the results of Failover, which show for how long no order is
// acknowledged after a fault.
type FailoverReport struct {
	Fault Fault         `json:"fault"`
	Runs  []FailoverRun `json:"runs"`
}

// Failover injects a fault under load, in c.Runs runs with a new system each.
func Failover(x context.Context, c FailoverConfig) (FailoverReport, error) {
	o := FailoverReport{Fault: c.Fault}
	dir := c.Process.Dir
	for i := range c.Runs {
		c.Process.Dir = filepath.Join(dir, string(c.Fault)+"-"+strconv.Itoa(i))
		if err := os.MkdirAll(c.Process.Dir, logDirMode); err != nil {
			return o, Error.Wrap(err)
		}
		r, err := runFailover(x, c, c.Seed+uint64(i))
		if err != nil {
			return o, err
		}
		o.Runs = append(o.Runs, r)
	}
	return o, nil
}

// logDirMode is the file mode of log folders.
const logDirMode = 0o755

// runFailover runs Failover once, in a new system.
func runFailover(x context.Context, c FailoverConfig, seed uint64) (FailoverRun, error) {
	c.Process.Relays = true
	s, err := process.Start(x, c.Process)
	if err != nil {
		return FailoverRun{}, err
	}
	defer s.Stop()
	f, heal, err := c.Fault.injectAndHeal(s)
	if err != nil {
		return FailoverRun{}, err
	}
	l := load.Config{
		User: cluster.CallerName, Password: cluster.CallerPassword, Group: process.Group, Seed: seed,
		Sessions: loadSessions, Duration: failoverDuration, Rates: [bundle.RankCount]float64{c.Rate}, Keyed: c.Keyed,
	}
	for _, d := range s.Daemons {
		l.Addresses = append(l.Addresses, d.CallerAddress)
	}
	var at time.Time
	injected := make(chan error, 1)
	t := time.AfterFunc(failoverFaultAt, func() {
		at = time.Now()
		injected <- f()
	})
	defer t.Stop()
	h := time.AfterFunc(failoverHealAt, func() { _ = heal() })
	defer h.Stop()
	r, err := load.Run(x, l)
	if err != nil {
		return FailoverRun{}, err
	}
	if err := <-injected; err != nil {
		return FailoverRun{}, err
	}
	u := r.Ranks[bundle.Urgent]
	o := FailoverRun{
		Seed: seed, Gap: r.WriteGap, Notice: -1, Confirm: -1, Fence: -1, Promote: -1, FirstWrite: -1,
		Orders: r.Orders, InDoubt: u.InDoubt, Refused: u.Refused, Violations: r.Lost + r.Doubled + r.WronglyRefused + r.Stale,
	}
	p, ok := firstPromotion(s, at)
	if ok {
		o.Confirm, o.Fence, o.Promote = p.Confirm, p.Fence, p.Promote
		o.Notice = p.At.Add(-p.Confirm - p.Fence - p.Promote).Sub(at)
		if d := r.WriteGapEnd.Sub(p.At); d >= 0 && d <= r.WriteGap {
			o.FirstWrite = d
		}
	}
	return o, nil
}

// injectAndHeal returns the functions that inject the fault into a system and end
// it.
func (f Fault) injectAndHeal(s *process.System) (inject, heal func() error, err error) {
	p, _, err := s.Primary()
	if err != nil {
		return nil, nil, err
	}
	d, err := s.Owner(p)
	if err != nil {
		return nil, nil, err
	}
	noHeal := func() error { return nil }
	set := func(r *relay.Relay, m relay.Mode) func() error { return func() error { return r.SetMode(m) } }
	switch f {
	case Kill:
		return p.Kill, noHeal, nil
	case Freeze:
		return p.Freeze, p.Thaw, nil
	case Cut:
		return set(p.Relay, relay.Hold), set(p.Relay, relay.Pass), nil
	case Silence:
		return func() error {
			p.Relay.Silence()
			return nil
		}, noHeal, nil
	case OwnerKill:
		return d.Kill, noHeal, nil
	case OwnerFreeze:
		return d.Freeze, d.Thaw, nil
	case OwnerCut:
		return set(d.Relay, relay.Hold), set(d.Relay, relay.Pass), nil
	case Drain:
		return func() error { return s.MarkDraining(context.Background(), p) }, noHeal, nil
	default:
		return nil, nil, Error.Wrap(&FaultError{Name: string(f)})
	}
}

// FaultError reports an unknown fault.
type FaultError struct{ Name string }

func (e *FaultError) Error() string { return "unknown fault \"" + e.Name + "\"" }

// promotionLog is a daemon's log line about a promoted primary.
type promotionLog struct {
	At      time.Time     `json:"@timestamp"`
	Message string        `json:"@message"`
	Confirm time.Duration `json:"confirm"`
	Fence   time.Duration `json:"fence"`
	Promote time.Duration `json:"promote"`
}

// firstPromotion returns the first promotion that any daemon logged after a time.
func firstPromotion(s *process.System, after time.Time) (promotionLog, bool) {
	var l []promotionLog
	for _, d := range s.Daemons {
		l = append(l, readPromotions(d.LogFile, after)...)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].At.Before(l[j].At) })
	if len(l) == 0 {
		return promotionLog{}, false
	}
	return l[0], true
}

func readPromotions(file string, after time.Time) []promotionLog {
	f, err := os.Open(file)
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	var o []promotionLog
	r := bufio.NewScanner(f)
	for r.Scan() {
		var p promotionLog
		if json.Unmarshal(r.Bytes(), &p) == nil && p.Message == "primary placed" && p.Confirm+p.Fence+p.Promote > 0 && p.At.After(after) {
			o = append(o, p)
		}
	}
	return o
}

// Print writes the report as text.
func (r *FailoverReport) Print(o io.Writer) {
	t := [][]string{{string(r.Fault), "min", "median", "max"}}
	for _, y := range []struct {
		name string
		of   func(FailoverRun) time.Duration
	}{
		{"notice", func(u FailoverRun) time.Duration { return u.Notice }},
		{"confirm", func(u FailoverRun) time.Duration { return u.Confirm }},
		{"fence", func(u FailoverRun) time.Duration { return u.Fence }},
		{"promote", func(u FailoverRun) time.Duration { return u.Promote }},
		{"first write", func(u FailoverRun) time.Duration { return u.FirstWrite }},
		{"gap", func(u FailoverRun) time.Duration { return u.Gap }},
	} {
		var l []time.Duration
		for _, u := range r.Runs {
			if v := y.of(u); v != -1 {
				l = append(l, v)
			}
		}
		t = append(t, append([]string{y.name}, minMedianMax(l)...))
	}
	printTable(o, t)
	var orders, doubt, refused, broken int64
	for _, u := range r.Runs {
		orders, doubt, refused, broken = orders+u.Orders, doubt+u.InDoubt, refused+u.Refused, broken+u.Violations
	}
	_, _ = io.WriteString(o, strconv.Itoa(len(r.Runs))+" runs, "+strconv.FormatInt(orders, 10)+" orders, in doubt "+
		strconv.FormatInt(doubt, 10)+", refused "+strconv.FormatInt(refused, 10)+", violations "+strconv.FormatInt(broken, 10)+"\n")
}

// minMedianMax returns the minimum, the median and the maximum, in this order.
func minMedianMax(l []time.Duration) []string {
	if len(l) == 0 {
		return []string{"-", "-", "-"}
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return []string{millis(l[0]), millis(l[len(l)/2]), millis(l[len(l)-1])}
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}
