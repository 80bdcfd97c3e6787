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

// Fault names what is done to the primary or to its owner.
type Fault string

// The faults.
const (
	Kill        Fault = "kill"
	Freeze      Fault = "freeze"
	Cut         Fault = "cut"
	Silence     Fault = "silence"
	OwnerKill   Fault = "owner-kill"
	OwnerFreeze Fault = "owner-freeze"
	OwnerCut    Fault = "owner-cut"
	// Leave is no fault: a bundle marks the primary as leaving.
	Leave Fault = "leave"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{Kill, Freeze, Cut, Silence, OwnerKill, OwnerFreeze, OwnerCut, Leave}
}

// Course of a failover's run.
const (
	failoverFault = 1 * time.Second
	// failoverHeal is when a fault that can end does.
	failoverHeal = 4500 * time.Millisecond
	failoverTime = 5 * time.Second
)

// failoverSessions is the number of sessions of a run.
const failoverSessions = 60

// FailoverConfig holds the settings of Failover.
type FailoverConfig struct {
	Process process.Config
	Fault   Fault
	Runs    int
	// Rate is the number of orders a second.
	Rate float64
	Seed uint64
	// Keyed gives the orders idempotency keys; the load doesn't repeat them.
	Keyed bool
}

// FailoverRun is what one run has shown. Stages are -1 if no primary was
// replaced.
type FailoverRun struct {
	Seed uint64 `json:"seed"`
	// Gap is the longest time between two acknowledged orders.
	Gap time.Duration `json:"gap-ns"`
	// Notice is from the fault to the first failure that a daemon noticed.
	Notice time.Duration `json:"notice-ns"`
	// Confirm, Fence and Promote are as the acting daemon logs them.
	Confirm time.Duration `json:"confirm-ns"`
	Fence   time.Duration `json:"fence-ns"`
	Promote time.Duration `json:"promote-ns"`
	// FirstWrite is from the new primary's report to the first acknowledged
	// order; -1 if the longest gap lies elsewhere.
	FirstWrite time.Duration `json:"first-write-ns"`
	Orders     int64         `json:"orders"`
	InDoubt    int64         `json:"in-doubt"`
	Refused    int64         `json:"refused"`
	// Violations counts lost, doubled and wrongly refused orders and stale reads.
	Violations int64 `json:"broken"`
}

// FailoverReport tells how long service stops after a fault.
type FailoverReport struct {
	Fault Fault         `json:"fault"`
	Runs  []FailoverRun `json:"runs"`
}

// Failover raises a fault under load, each time in a new system.
func Failover(x context.Context, c FailoverConfig) (FailoverReport, error) {
	o := FailoverReport{Fault: c.Fault}
	dir := c.Process.Dir
	for i := range c.Runs {
		c.Process.Dir = filepath.Join(dir, string(c.Fault)+"-"+strconv.Itoa(i))
		if err := os.MkdirAll(c.Process.Dir, dirMode); err != nil {
			return o, Error.Wrap(err)
		}
		r, err := failover(x, c, c.Seed+uint64(i))
		if err != nil {
			return o, err
		}
		o.Runs = append(o.Runs, r)
	}
	return o, nil
}

// dirMode is the file mode of folders for logs.
const dirMode = 0o755

func failover(x context.Context, c FailoverConfig, seed uint64) (FailoverRun, error) {
	c.Process.Relays = true
	s, err := process.Start(x, c.Process)
	if err != nil {
		return FailoverRun{}, err
	}
	defer s.Stop()
	f, heal, err := c.Fault.on(s)
	if err != nil {
		return FailoverRun{}, err
	}
	l := load.Config{
		User: cluster.CallerName, Password: cluster.CallerPassword, Group: process.Group, Seed: seed,
		Sessions: failoverSessions, Duration: failoverTime, Rates: [bundle.RankCount]float64{c.Rate}, Keyed: c.Keyed,
	}
	for _, d := range s.Daemons {
		l.Addresses = append(l.Addresses, d.Address)
	}
	var at time.Time
	raised := make(chan error, 1)
	t := time.AfterFunc(failoverFault, func() {
		at = time.Now()
		raised <- f()
	})
	defer t.Stop()
	h := time.AfterFunc(failoverHeal, func() { _ = heal() })
	defer h.Stop()
	r, err := load.Run(x, l)
	if err != nil {
		return FailoverRun{}, err
	}
	if err := <-raised; err != nil {
		return FailoverRun{}, err
	}
	u := r.Ranks[bundle.Urgent]
	o := FailoverRun{
		Seed: seed, Gap: r.WriteGap, Notice: -1, Confirm: -1, Fence: -1, Promote: -1, FirstWrite: -1,
		Orders: r.Orders, InDoubt: u.InDoubt, Refused: u.Refused, Violations: r.Lost + r.Doubled + r.WronglyRefused + r.Stale,
	}
	p, ok := placed(s, at)
	if ok {
		o.Confirm, o.Fence, o.Promote = p.Confirm, p.Fence, p.Promote
		o.Notice = p.At.Add(-p.Confirm - p.Fence - p.Promote).Sub(at)
		if d := r.WriteGapEnd.Sub(p.At); d >= 0 && d <= r.WriteGap {
			o.FirstWrite = d
		}
	}
	return o, nil
}

// on returns the functions that raise the fault in a system and end it.
func (f Fault) on(s *process.System) (raise, heal func() error, err error) {
	p, _, err := s.Primary()
	if err != nil {
		return nil, nil, err
	}
	d, err := s.Owner(p)
	if err != nil {
		return nil, nil, err
	}
	never := func() error { return nil }
	set := func(r *relay.Relay, m relay.Mode) func() error { return func() error { return r.Set(m) } }
	switch f {
	case Kill:
		return p.Kill, never, nil
	case Freeze:
		return p.Freeze, p.Thaw, nil
	case Cut:
		return set(p.Relay, relay.Drop), set(p.Relay, relay.Pass), nil
	case Silence:
		return func() error {
			p.Relay.Silence()
			return nil
		}, never, nil
	case OwnerKill:
		return d.Kill, never, nil
	case OwnerFreeze:
		return d.Freeze, d.Thaw, nil
	case OwnerCut:
		return set(d.Relay, relay.Drop), set(d.Relay, relay.Pass), nil
	case Leave:
		return func() error { return s.Leave(context.Background(), p) }, never, nil
	default:
		return nil, nil, Error.Wrap(&FaultError{Name: string(f)})
	}
}

// FaultError reports an unknown fault.
type FaultError struct{ Name string }

func (e *FaultError) Error() string { return "unknown fault \"" + e.Name + "\"" }

// placement is a daemon's log line on a new primary.
type placement struct {
	At      time.Time     `json:"@timestamp"`
	Message string        `json:"@message"`
	Confirm time.Duration `json:"confirm"`
	Fence   time.Duration `json:"fence"`
	Promote time.Duration `json:"promote"`
}

// placed returns the first placement that a daemon made after a time.
func placed(s *process.System, after time.Time) (placement, bool) {
	var l []placement
	for _, d := range s.Daemons {
		l = append(l, placements(d.Log, after)...)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].At.Before(l[j].At) })
	if len(l) == 0 {
		return placement{}, false
	}
	return l[0], true
}

func placements(file string, after time.Time) []placement {
	f, err := os.Open(file)
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	var o []placement
	r := bufio.NewScanner(f)
	for r.Scan() {
		var p placement
		if json.Unmarshal(r.Bytes(), &p) == nil && p.Message == "primary placed" && p.Confirm+p.Fence+p.Promote > 0 && p.At.After(after) {
			o = append(o, p)
		}
	}
	return o
}

// Print writes the report as text.
func (r *FailoverReport) Print(o io.Writer) {
	t := [][]string{{string(r.Fault), "least", "median", "most"}}
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
		t = append(t, append([]string{y.name}, spread(l)...))
	}
	table(o, t)
	var orders, doubt, refused, broken int64
	for _, u := range r.Runs {
		orders, doubt, refused, broken = orders+u.Orders, doubt+u.InDoubt, refused+u.Refused, broken+u.Violations
	}
	_, _ = io.WriteString(o, strconv.Itoa(len(r.Runs))+" runs, "+strconv.FormatInt(orders, 10)+" orders, in doubt "+
		strconv.FormatInt(doubt, 10)+", refused "+strconv.FormatInt(refused, 10)+", broken promises "+strconv.FormatInt(broken, 10)+"\n")
}

// spread returns the least, the median and the greatest.
func spread(l []time.Duration) []string {
	if len(l) == 0 {
		return []string{"-", "-", "-"}
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return []string{millis(l[0]), millis(l[len(l)/2]), millis(l[len(l)-1])}
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}
