package measure

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/database"
	"github.com/dragonflypick/dragonflypick/standin/load"
)

// Course of a run in which the primary is cut off from its replicas and then
// lost for good.
const (
	cutAt    = 1 * time.Second
	lostAt   = 2 * time.Second
	cutTime  = 4 * time.Second
	cutRate  = 200
	busyTime = 3 * time.Second
	// busySessions is the number of sessions that write without pause.
	busySessions = 12
)

// WritesConfig holds the settings of Writes.
type WritesConfig struct {
	// Rounds is the number of writes one after the other.
	Rounds int
	// Runs is the number of runs with a cut.
	Runs int
	Seed uint64
}

// CutRun is what a run with a cut has shown.
type CutRun struct {
	Seed    uint64 `json:"seed"`
	Orders  int64  `json:"orders"`
	Done    int64  `json:"done"`
	Refused int64  `json:"refused"`
	InDoubt int64  `json:"in-doubt"`
	// Lost counts the acknowledged orders that the new primary doesn't have.
	Lost int64 `json:"lost"`
	// Broken counts doubled and wrongly refused orders and stale reads.
	Broken int64 `json:"broken"`
}

// WritesPart is what one way of acknowledging has shown.
type WritesPart struct {
	// Majority tells that writes waited for a majority.
	Majority  bool      `json:"majority"`
	Latencies []Latency `json:"latencies"`
	Cuts      []CutRun  `json:"cuts"`
}

// WritesReport tells what the wait for a majority costs and saves.
type WritesReport struct {
	Parts []WritesPart `json:"parts"`
}

// Writes compares acknowledging on a majority with acknowledging at commit, in
// systems within this process.
func Writes(x context.Context, c WritesConfig) (WritesReport, error) {
	var o WritesReport
	for _, majority := range []bool{true, false} {
		p := WritesPart{Majority: majority}
		var err error
		if p.Latencies, err = acknowledge(x, c, majority); err != nil {
			return o, err
		}
		for i := range c.Runs {
			r, err := cut(x, c.Seed+uint64(i), majority)
			if err != nil {
				return o, err
			}
			p.Cuts = append(p.Cuts, r)
		}
		o.Parts = append(o.Parts, p)
	}
	return o, nil
}

func start(x context.Context, majority bool) (*cluster.Cluster, error) {
	c := cluster.DefaultConfig()
	c.Groups, c.AcknowledgeAtCommit = c.Groups[:1], !majority
	return cluster.Start(x, c)
}

// acknowledge measures the latency of writes, alone and on many sessions.
func acknowledge(x context.Context, c WritesConfig, majority bool) ([]Latency, error) {
	s, err := start(x, majority)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	n := 0
	l, err := connect(busySessions, func() (*pgx.Conn, error) {
		return pgx.Connect(x, s.Daemons[0].ConnectionURL(s.Config.Groups[0]))
	})
	defer closeAll(l)
	if err != nil {
		return nil, err
	}
	if _, err := l[0].Exec(x, makeTable); err != nil {
		return nil, Error.Wrap(err)
	}
	h := newHistogram()
	for ; n < c.Rounds; n++ {
		b := time.Now()
		if err := one(x, l[0], false, int64(n)); err != nil {
			return nil, err
		}
		record(h, time.Since(b))
	}
	m, err := run(x, l, time.Now().Add(busyTime), false)
	if err != nil {
		return nil, err
	}
	return []Latency{latency("write, 1 session", h), latency("write, "+strconv.Itoa(busySessions)+" sessions", m)}, nil
}

// cut stops replication, and then kills the primary.
func cut(x context.Context, seed uint64, majority bool) (CutRun, error) {
	s, err := start(x, majority)
	if err != nil {
		return CutRun{}, err
	}
	defer s.Stop()
	g := s.Config.Groups[0]
	p := s.Primary(g)
	replication := func(stop bool) {
		for _, m := range s.Members {
			if m != p {
				m.SetFault(database.Fault{StopReplication: stop})
			}
		}
	}
	b := time.AfterFunc(cutAt, func() { replication(true) })
	defer b.Stop()
	e := time.AfterFunc(lostAt, func() {
		p.Kill()
		replication(false)
	})
	defer e.Stop()
	l := load.Config{
		User: cluster.CallerName, Password: cluster.CallerPassword, Group: g, Seed: seed,
		Sessions: failoverSessions, Duration: cutTime, Rates: [bundle.RankCount]float64{cutRate},
	}
	for _, d := range s.Daemons {
		l.Addresses = append(l.Addresses, d.CallerAddress())
	}
	r, err := load.Run(x, l)
	if err != nil {
		return CutRun{}, err
	}
	u := r.Ranks[bundle.Urgent]
	return CutRun{
		Seed: seed, Orders: r.Orders, Done: u.Done, Refused: u.Refused, InDoubt: u.InDoubt, Lost: r.Lost,
		Broken: r.Doubled + r.WronglyRefused + r.Stale,
	}, nil
}

// Print writes the report as text.
func (r *WritesReport) Print(o io.Writer) {
	var l []Latency
	t := [][]string{{"acknowledged", "seed", "orders", "done", "refused", "in doubt", "lost", "other broken promises"}}
	for _, p := range r.Parts {
		n := "on majority"
		if !p.Majority {
			n = "at commit"
		}
		for _, y := range p.Latencies {
			y.Name += ", " + n
			l = append(l, y)
		}
		for _, u := range p.Cuts {
			d := func(v int64) string { return strconv.FormatInt(v, 10) }
			t = append(t, []string{
				n, strconv.FormatUint(u.Seed, 10), d(u.Orders), d(u.Done), d(u.Refused), d(u.InDoubt), d(u.Lost), d(u.Broken),
			})
		}
	}
	latencyTable(o, l)
	table(o, t)
}
