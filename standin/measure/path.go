package measure

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/standin/process"
)

// Statements that are measured, and the one that creates their table.
const (
	createTableSQL = "CREATE TABLE IF NOT EXISTS measure_orders (id INTEGER NOT NULL, rolls INTEGER NOT NULL)"
	readSQL        = "SELECT rolls FROM measure_orders WHERE id = $1 LIMIT 1"
	writeSQL       = "INSERT INTO measure_orders (id, rolls) VALUES ($1, $2)"
)

// warmUpRounds is the number of rounds at the start that are not recorded.
const warmUpRounds = 50

// maxCallers is the maximum number of idle callers in a measurement.
const maxCallers = 10000

// PathLatencyConfig holds the settings of Path.
type PathLatencyConfig struct {
	Process process.Config
	// Rounds is the number of reads and of writes on each path.
	Rounds int
}

// PathLatencyReport holds the latencies on the direct path and through each daemon.
type PathLatencyReport struct {
	Latencies []Latency `json:"latencies"`
}

// pathSession is a session on one of the compared paths, with its latencies.
type pathSession struct {
	name        string
	conn        *pgx.Conn
	read, write *hdrhistogram.Histogram
}

// PathLatency runs reads and writes on a direct connection to the primary and through each
// daemon, one statement at a time and alternating between the paths.
func PathLatency(x context.Context, c PathLatencyConfig) (PathLatencyReport, error) {
	s, err := process.Start(x, c.Process)
	if err != nil {
		return PathLatencyReport{}, err
	}
	defer s.Stop()
	l, err := connectPaths(x, s)
	if err != nil {
		return PathLatencyReport{}, err
	}
	for i := range c.Rounds + warmUpRounds {
		for _, p := range l {
			if err := p.runRound(x, i); err != nil {
				return PathLatencyReport{}, err
			}
		}
	}
	var o PathLatencyReport
	for _, p := range l {
		o.Latencies = append(o.Latencies, newLatency("read, "+p.name, p.read), newLatency("write, "+p.name, p.write))
	}
	return o, nil
}

// connectPaths opens a session on each path and creates the table.
func connectPaths(x context.Context, s *process.System) ([]*pathSession, error) {
	c, err := dialMember(x, s.Members[0].Address)
	if err != nil {
		return nil, err
	}
	l := []*pathSession{{name: "direct", conn: c, read: newHistogram(), write: newHistogram()}}
	for _, d := range s.Daemons {
		if c, err = dialDaemon(x, d.CallerAddress); err != nil {
			return nil, err
		}
		l = append(l, &pathSession{name: d.Name, conn: c, read: newHistogram(), write: newHistogram()})
	}
	_, err = l[1].conn.Exec(x, createTableSQL)
	return l, Error.Wrap(err)
}

// runRound runs and records a write and a read.
func (p *pathSession) runRound(x context.Context, i int) error {
	b := time.Now()
	if _, err := p.conn.Exec(x, writeSQL, i, i); err != nil {
		return Error.Wrap(err)
	}
	m := time.Now()
	var n int
	if err := p.conn.QueryRow(x, readSQL, i).Scan(&n); err != nil {
		return Error.Wrap(err)
	}
	if i >= warmUpRounds {
		recordLatency(p.write, m.Sub(b))
		recordLatency(p.read, time.Since(m))
	}
	return nil
}

// Print writes the report as text.
func (r *PathLatencyReport) Print(o io.Writer) { printLatencies(o, r.Latencies) }

// ThroughputConfig holds the settings of Throughput.
type ThroughputConfig struct {
	Process process.Config
	// Sessions is the number of sessions; each runs one statement at a time.
	Sessions int
	// Duration is the duration of each of the four parts: reads and writes, directly and
	// through the daemon.
	Duration time.Duration
}

// ThroughputResult holds the results of one part of a throughput measurement: reads
// or writes, directly or through the daemon.
type ThroughputResult struct {
	Latency
	PerSecond float64 `json:"per-second"`
	// Cores is the daemon's CPU time per second; zero on the direct path.
	Cores float64 `json:"cores"`
	// PerStatement is the daemon's CPU time per statement.
	PerStatement time.Duration `json:"per-statement-ns"`
}

// ThroughputReport holds the throughput on the direct path and through one daemon.
type ThroughputReport struct {
	Sessions int                `json:"sessions"`
	Rates    []ThroughputResult `json:"rates"`
}

// Throughput runs statements back to back on all sessions, directly on the primary
// and through one daemon.
func Throughput(x context.Context, c ThroughputConfig) (ThroughputReport, error) {
	o := ThroughputReport{Sessions: c.Sessions}
	c.Process.Daemons = 1
	s, err := process.Start(x, c.Process)
	if err != nil {
		return o, err
	}
	defer s.Stop()
	m, d := s.Members[0], s.Daemons[0]
	p, err := dialDaemon(x, d.CallerAddress)
	if err != nil {
		return o, err
	}
	if _, err := p.Exec(x, createTableSQL); err != nil {
		return o, Error.Wrap(err)
	}
	direct := func() (*pgx.Conn, error) { return dialMember(x, m.Address) }
	through := func() (*pgx.Conn, error) { return dialDaemon(x, d.CallerAddress) }
	for _, y := range []struct {
		name string
		dial func() (*pgx.Conn, error)
		read bool
		pid  int
	}{
		{"read, direct", direct, true, 0},
		{"read, one daemon", through, true, d.PID()},
		{"write, direct", direct, false, 0},
		{"write, one daemon", through, false, d.PID()},
	} {
		r, err := measureThroughput(x, c, y.dial, y.read, y.pid)
		if err != nil {
			return o, err
		}
		r.Name = y.name
		o.Rates = append(o.Rates, r)
	}
	return o, nil
}

// measureThroughput runs one part; pid is the daemon's process id, or zero on the direct
// path.
func measureThroughput(x context.Context, c ThroughputConfig, dial func() (*pgx.Conn, error), read bool, pid int) (ThroughputResult, error) {
	l, err := openSessions(c.Sessions, dial)
	defer closeSessions(l)
	if err != nil {
		return ThroughputResult{}, err
	}
	u, err := cpuTimeOrZero(pid)
	if err != nil {
		return ThroughputResult{}, err
	}
	b := time.Now()
	h, err := runStatementsUntil(x, l, b.Add(c.Duration), read)
	if err != nil {
		return ThroughputResult{}, err
	}
	e := time.Since(b)
	v, err := cpuTimeOrZero(pid)
	if err != nil {
		return ThroughputResult{}, err
	}
	r := ThroughputResult{Latency: newLatency("", h), PerSecond: float64(h.TotalCount()) / e.Seconds(), Cores: (v - u).Seconds() / e.Seconds()}
	r.PerStatement = (v - u) / time.Duration(max(h.TotalCount(), 1))
	return r, nil
}

func cpuTimeOrZero(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	return cpuTime(pid)
}

// parallelDials is the maximum number of sessions that connect concurrently.
const parallelDials = 32

// openSessions opens n sessions. After an error it returns those that are open, and
// nil for the others.
func openSessions(n int, dial func() (*pgx.Conn, error)) ([]*pgx.Conn, error) {
	l := make([]*pgx.Conn, n)
	g := &errgroup.Group{}
	g.SetLimit(parallelDials)
	for i := range l {
		g.Go(func() error {
			var err error
			l[i], err = dial()
			return err
		})
	}
	return l, g.Wait()
}

func closeSessions(l []*pgx.Conn) {
	for _, c := range l {
		if c != nil {
			_ = c.PgConn().Conn().Close()
		}
	}
}

// runStatementsUntil repeats a statement on every session until the time end, and
// returns the latencies.
func runStatementsUntil(x context.Context, l []*pgx.Conn, end time.Time, read bool) (*hdrhistogram.Histogram, error) {
	h := make([]*hdrhistogram.Histogram, len(l))
	var id atomic.Int64
	g, x := errgroup.WithContext(x)
	for i, c := range l {
		h[i] = newHistogram()
		g.Go(func() error {
			for time.Now().Before(end) {
				b := time.Now()
				if err := runStatement(x, c, read, id.Add(1)); err != nil {
					return err
				}
				recordLatency(h[i], time.Since(b))
			}
			return nil
		})
	}
	err := g.Wait()
	o := newHistogram()
	for _, y := range h {
		o.Merge(y)
	}
	return o, err
}

func runStatement(x context.Context, c *pgx.Conn, read bool, id int64) error {
	if !read {
		_, err := c.Exec(x, writeSQL, id, 1)
		return Error.Wrap(err)
	}
	var n int64
	return Error.Wrap(c.QueryRow(x, "SELECT 1").Scan(&n))
}

// Print writes the report as text.
func (r *ThroughputReport) Print(o io.Writer) {
	t := [][]string{{"part", "statements/s", "p50", "p99", "daemon cores", "daemon time/statement"}}
	for _, y := range r.Rates {
		t = append(t, []string{
			y.Name, strconv.FormatFloat(y.PerSecond, 'f', 0, 64), formatDuration(y.P50), formatDuration(y.P99),
			strconv.FormatFloat(y.Cores, 'f', 2, 64), formatDuration(y.PerStatement),
		})
	}
	printTable(o, t)
}
