package measure

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// observationTime is the time over which an idle system's resource use is measured.
const observationTime = 5 * time.Second

// Limits of the measured systems.
const (
	maxGroups  = 100
	maxDaemons = 40
)

// IdleCostConfig holds the settings of Slopes.
type IdleCostConfig struct {
	Process process.Config
	// Callers, Groups and Daemons are the numbers that are measured, one varied at
	// a time.
	Callers []int
	Groups  []int
	Daemons []int
	// Settle is the wait before a system is measured. A daemon watches a group for
	// 10 s after the last use, and every daemon uses all groups when it starts, so
	// a shorter wait measures this watching too.
	Settle time.Duration
}

// IdleCostPoint holds the size of a system and what it uses while idle.
type IdleCostPoint struct {
	Callers int `json:"callers"`
	Groups  int `json:"groups"`
	Daemons int `json:"daemons"`
	// Cores is the first daemon's CPU time per second.
	Cores float64 `json:"cores"`
	// Resident is the first daemon's resident memory in bytes.
	Resident int64 `json:"resident-bytes"`
	// BackendMessages and BackendBytes are the members' traffic per second with all
	// daemons and with the replicas that replicate from them.
	BackendMessages float64 `json:"backend-messages-per-second"`
	BackendBytes    float64 `json:"backend-bytes-per-second"`
	// PeerMessages and PeerBytes are the traffic per second at all daemons' peer
	// addresses, in both directions.
	PeerMessages float64 `json:"peer-messages-per-second"`
	PeerBytes    float64 `json:"peer-bytes-per-second"`
	// PlatformMessages and PlatformBytes are all daemons' traffic per second with
	// the platform.
	PlatformMessages float64 `json:"platform-messages-per-second"`
	PlatformBytes    float64 `json:"platform-bytes-per-second"`
}

// IdleCostReport holds the cost of idle systems of several sizes.
type IdleCostReport struct {
	Points []IdleCostPoint `json:"points"`
}

// IdleCost starts systems of several sizes and measures them while idle. Members run
// within this process, daemons as separate processes.
func IdleCost(x context.Context, c IdleCostConfig) (IdleCostReport, error) {
	var o IdleCostReport
	c.Process.Embedded, c.Process.Relays = true, true
	var l []IdleCostPoint
	for _, n := range c.Callers {
		l = append(l, IdleCostPoint{Callers: n, Groups: 2, Daemons: 1})
	}
	for _, n := range c.Groups {
		l = append(l, IdleCostPoint{Groups: n, Daemons: 1})
	}
	for _, n := range c.Daemons {
		l = append(l, IdleCostPoint{Groups: 2, Daemons: n})
	}
	dir := c.Process.Dir
	for i, p := range l {
		if err := p.validate(); err != nil {
			return o, err
		}
		c.Process.Dir = filepath.Join(dir, "slope-"+strconv.Itoa(i))
		if err := os.MkdirAll(c.Process.Dir, logDirMode); err != nil {
			return o, Error.Wrap(err)
		}
		if err := p.measure(x, c.Process, c.Settle); err != nil {
			return o, err
		}
		o.Points = append(o.Points, p)
	}
	return o, nil
}

func (p *IdleCostPoint) validate() error {
	for _, y := range []LimitError{
		{What: "callers", Value: p.Callers, Max: maxCallers},
		{What: "groups", Value: p.Groups, Max: maxGroups},
		{What: "daemons", Value: p.Daemons, Max: maxDaemons},
	} {
		if y.Value < 0 || y.Value > y.Max {
			return Error.Wrap(&y)
		}
	}
	return nil
}

// measure starts a system of the point's size and sets the point's results.
func (p *IdleCostPoint) measure(x context.Context, c process.Config, settle time.Duration) error {
	c.Groups, c.Daemons = p.Groups, p.Daemons
	s, err := process.Start(x, c)
	if err != nil {
		return err
	}
	defer s.Stop()
	d := s.Daemons[0]
	l, err := openSessions(p.Callers, func() (*pgx.Conn, error) { return dialIdle(x, d.CallerAddress) })
	defer closeSessions(l)
	if err != nil {
		return err
	}
	time.Sleep(settle)
	b, err := observe(s)
	if err != nil {
		return err
	}
	time.Sleep(observationTime)
	e, err := observe(s)
	if err != nil {
		return err
	}
	p.setResults(b, e)
	p.Resident, err = residentBytes(d.PID())
	return err
}

// observation holds the resources that a system has used up to a time.
type observation struct {
	at                      time.Time
	cpuTime                 time.Duration
	backend, peer, platform relay.Traffic
}

// observe returns the resources that the system has used until now.
func observe(s *process.System) (observation, error) {
	o := observation{at: time.Now(), platform: s.PlatformRelay.Traffic()}
	for _, m := range s.Members {
		o.backend = addTraffic(o.backend, m.Relay.Traffic())
	}
	for _, d := range s.Daemons {
		o.peer = addTraffic(o.peer, d.Relay.Traffic())
	}
	var err error
	o.cpuTime, err = cpuTime(s.Daemons[0].PID())
	return o, err
}

func addTraffic(a, b relay.Traffic) relay.Traffic {
	return relay.Traffic{Chunks: a.Chunks + b.Chunks, Bytes: a.Bytes + b.Bytes}
}

// setResults computes the point's rates between observations b and e.
func (p *IdleCostPoint) setResults(b, e observation) {
	t := e.at.Sub(b.at).Seconds()
	p.Cores = (e.cpuTime - b.cpuTime).Seconds() / t
	rate := func(b, e relay.Traffic) (float64, float64) {
		return float64(e.Chunks-b.Chunks) / t, float64(e.Bytes-b.Bytes) / t
	}
	p.BackendMessages, p.BackendBytes = rate(b.backend, e.backend)
	p.PeerMessages, p.PeerBytes = rate(b.peer, e.peer)
	p.PlatformMessages, p.PlatformBytes = rate(b.platform, e.platform)
}

// Print writes the report as text.
func (r *IdleCostReport) Print(o io.Writer) {
	t := [][]string{{
		"callers", "groups", "daemons", "cores", "resident MB", "backend msg/s", "backend B/s", "peer msg/s", "peer B/s",
		"platform msg/s", "platform B/s",
	}}
	f := func(v float64, n int) string { return strconv.FormatFloat(v, 'f', n, 64) }
	for _, p := range r.Points {
		t = append(t, []string{
			strconv.Itoa(p.Callers), strconv.Itoa(p.Groups), strconv.Itoa(p.Daemons), f(p.Cores, 3),
			f(float64(p.Resident)/(1<<20), 1), f(p.BackendMessages, 1), f(p.BackendBytes, 0), f(p.PeerMessages, 1),
			f(p.PeerBytes, 0), f(p.PlatformMessages, 1), f(p.PlatformBytes, 0),
		})
	}
	printTable(o, t)
}
