package measure

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/database"
	"github.com/dragonflypick/dragonflypick/standin/load"
)

// Times and load of the measurement. In a run with a cut, replication stops cutAt
// after the start of the load. With a majority the primary is killed killDelay
// later. At commit it is killed once it is ahead of each replica by more writes than
// there are sessions: each session sends a write only after the answer to the one
// before, so that some of these writes are acknowledged for sure.
const (
	cutAt     = 1 * time.Second
	killDelay = 1 * time.Second
	// pullTime is how long a pull of the log that was under way when replication
	// stopped may take to end.
	pullTime           = 100 * time.Millisecond
	commitPollInterval = 5 * time.Millisecond
	cutDuration        = 4 * time.Second
	cutOrdersPerSecond = 200
	busyDuration       = 3 * time.Second
	// busySessions is the number of sessions that write back to back.
	busySessions = 12
)

// WriteAcknowledgmentConfig holds the settings of WriteAcknowledgment.
type WriteAcknowledgmentConfig struct {
	// Rounds is the number of writes on one session, one after the other.
	Rounds int
	// Runs is the number of runs in which replication stops and the primary is
	// killed.
	Runs int
	Seed uint64
}

// CutRun holds the results of a run in which replication stops and the primary is
// killed.
type CutRun struct {
	Seed    uint64 `json:"seed"`
	Orders  int64  `json:"orders"`
	Done    int64  `json:"done"`
	Refused int64  `json:"refused"`
	InDoubt int64  `json:"in-doubt"`
	// Lost counts the acknowledged orders that are missing on the new primary.
	Lost int64 `json:"lost"`
	// Violations counts doubled and wrongly refused orders and stale reads.
	Violations int64 `json:"broken"`
}

// WriteAcknowledgmentVariant holds the results of one way of acknowledging writes.
type WriteAcknowledgmentVariant struct {
	// Majority is true if writes are acknowledged on a majority, false if at
	// commit.
	Majority  bool      `json:"majority"`
	Latencies []Latency `json:"latencies"`
	Cuts      []CutRun  `json:"cuts"`
}

// WriteAcknowledgmentReport compares acknowledging writes on a majority and at
// commit.
type WriteAcknowledgmentReport struct {
	Variants []WriteAcknowledgmentVariant `json:"parts"`
}

// WriteAcknowledgment compares acknowledging on a majority with acknowledging
// at commit: the latency of writes, and the orders lost when the primary fails.
// The systems run within this process.
func WriteAcknowledgment(x context.Context, c WriteAcknowledgmentConfig) (WriteAcknowledgmentReport, error) {
	var o WriteAcknowledgmentReport
	for _, majority := range []bool{true, false} {
		p := WriteAcknowledgmentVariant{Majority: majority}
		var err error
		if p.Latencies, err = measureLatencies(x, c, majority); err != nil {
			return o, err
		}
		for i := range c.Runs {
			r, err := measureCut(x, c.Seed+uint64(i), majority)
			if err != nil {
				return o, err
			}
			p.Cuts = append(p.Cuts, r)
		}
		o.Variants = append(o.Variants, p)
	}
	return o, nil
}

func startCluster(x context.Context, majority bool) (*cluster.Cluster, error) {
	c := cluster.DefaultConfig()
	c.Groups, c.AcknowledgeAtCommit = c.Groups[:1], !majority
	return cluster.Start(x, c)
}

// measureLatencies measures the latency of writes, on one session and on many.
func measureLatencies(x context.Context, c WriteAcknowledgmentConfig, majority bool) ([]Latency, error) {
	s, err := startCluster(x, majority)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	n := 0
	l, err := openSessions(busySessions, func() (*pgx.Conn, error) {
		return pgx.Connect(x, s.Daemons[0].ConnectionURL(s.Config.Groups[0]))
	})
	defer closeSessions(l)
	if err != nil {
		return nil, err
	}
	if _, err := l[0].Exec(x, createTableSQL); err != nil {
		return nil, Error.Wrap(err)
	}
	h := newHistogram()
	for ; n < c.Rounds; n++ {
		b := time.Now()
		if err := runStatement(x, l[0], false, int64(n)); err != nil {
			return nil, err
		}
		recordLatency(h, time.Since(b))
	}
	m, err := runStatementsUntil(x, l, time.Now().Add(busyDuration), false)
	if err != nil {
		return nil, err
	}
	return []Latency{newLatency("write, 1 session", h), newLatency("write, "+strconv.Itoa(busySessions)+" sessions", m)}, nil
}

// measureCut runs a load during which replication stops and then the primary is
// killed.
func measureCut(x context.Context, seed uint64, majority bool) (CutRun, error) {
	s, err := startCluster(x, majority)
	if err != nil {
		return CutRun{}, err
	}
	defer s.Stop()
	g := s.Config.Groups[0]
	y, stop := context.WithCancel(x)
	defer stop()
	var w errgroup.Group
	w.Go(func() error {
		cutAndKill(y, s, g, majority)
		return nil
	})
	l := load.Config{
		User: cluster.CallerName, Password: cluster.CallerPassword, Group: g, Seed: seed,
		Sessions: loadSessions, Duration: cutDuration, Rates: [bundle.RankCount]float64{cutOrdersPerSecond},
	}
	for _, d := range s.Daemons {
		l.Addresses = append(l.Addresses, d.CallerAddress())
	}
	r, err := load.Run(x, l)
	stop()
	_ = w.Wait()
	if err != nil {
		return CutRun{}, err
	}
	u := r.Ranks[bundle.Urgent]
	return CutRun{
		Seed: seed, Orders: r.Orders, Done: u.Done, Refused: u.Refused, InDoubt: u.InDoubt, Lost: r.Lost,
		Violations: r.Doubled + r.WronglyRefused + r.Stale,
	}, nil
}

// cutAndKill stops replication, kills the primary and lets the replicas go on, or returns when
// the context ends. If another member becomes primary meanwhile, it begins again with that.
func cutAndKill(x context.Context, s *cluster.Cluster, group string, majority bool) {
	if !sleep(x, cutAt) {
		return
	}
	for x.Err() == nil {
		p := s.Primary(group)
		if p == nil {
			sleep(x, commitPollInterval)
			continue
		}
		stopReplication(s.Members, p)
		if awaitCut(x, s, p, majority) {
			p.Kill()
			stopReplication(s.Members, nil)
			return
		}
	}
}

// stopReplication lets all members but p receive nothing; all receive again if p is nil.
func stopReplication(members []*cluster.Member, p *cluster.Member) {
	for _, m := range members {
		m.SetFault(database.Fault{StopReplication: p != nil && m != p})
	}
}

// awaitCut waits until the primary p is to be killed: with a majority for killDelay, at commit
// until some acknowledged writes are on no replica. It returns false if another member has
// become primary, or the context ends.
func awaitCut(x context.Context, s *cluster.Cluster, p *cluster.Member, majority bool) bool {
	if !sleep(x, pullTime) {
		return false
	}
	if majority {
		return sleep(x, killDelay) && s.Primary(p.Group) == p
	}
	for p.Status().Position.Offset <= furthestReplica(s.Members, p)+loadSessions {
		if s.Primary(p.Group) != p || !sleep(x, commitPollInterval) {
			return false
		}
	}
	return s.Primary(p.Group) == p
}

// furthestReplica returns the offset of the furthest replica of p's group.
func furthestReplica(members []*cluster.Member, p *cluster.Member) uint64 {
	var o uint64
	for _, m := range members {
		if m != p && m.Group == p.Group {
			o = max(o, m.Status().Position.Offset)
		}
	}
	return o
}

// Print writes the report as text.
func (r *WriteAcknowledgmentReport) Print(o io.Writer) {
	var l []Latency
	t := [][]string{{"acknowledged", "seed", "orders", "done", "refused", "in doubt", "lost", "other violations"}}
	for _, p := range r.Variants {
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
				n, strconv.FormatUint(u.Seed, 10), d(u.Orders), d(u.Done), d(u.Refused), d(u.InDoubt), d(u.Lost), d(u.Violations),
			})
		}
	}
	printLatencies(o, l)
	printTable(o, t)
}

// sleep waits for d and returns true, or returns false if the context ends first.
func sleep(x context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.Done():
		return false
	}
}
