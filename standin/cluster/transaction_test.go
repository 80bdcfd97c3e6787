package cluster_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/standin/cluster"
)

var _ = Describe("transactions of many sessions over few connections", func() {
	const (
		sessions = 16
		each     = 6
		seed     = 11
	)
	x := context.Background()

	It("hold their own statements only", func() {
		f := cluster.DefaultConfig()
		f.Groups, f.Connections, f.Slots = []string{"orders"}, 10, 3
		c, err := cluster.Start(x, f)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
		n, err := pgx.Connect(x, c.Daemons[0].ConnectionURL("orders"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = n.Close(x) }()
		_, err = n.Exec(x, "CREATE TABLE mix (tx INTEGER, step INTEGER)")
		Expect(err).NotTo(HaveOccurred())

		var mu sync.Mutex
		committed := map[int]bool{}
		work := func(s int) error {
			u := rand.New(rand.NewPCG(seed, uint64(s)))
			m, err := pgx.Connect(x, c.Daemons[s%len(c.Daemons)].ConnectionURL("orders"))
			if err != nil {
				return err
			}
			defer func() { _ = m.Close(x) }()
			for i := range each {
				id, keep := s*each+i, u.IntN(2) == 0
				if err := repeat(x, m, id, keep); err != nil {
					return err
				}
				mu.Lock()
				committed[id] = keep
				mu.Unlock()
			}
			return nil
		}
		g := &errgroup.Group{}
		for s := range sessions {
			g.Go(func() error { return work(s) })
		}
		Expect(g.Wait()).To(Succeed())

		t, err := n.Begin(x)
		Expect(err).NotTo(HaveOccurred())
		for id, keep := range committed {
			var k int
			Expect(t.QueryRow(x, "SELECT count(*) FROM mix WHERE tx = $1", id).Scan(&k)).To(Succeed())
			if keep {
				Expect(k).To(Equal(2), "transaction %d was committed", id)
			} else {
				Expect(k).To(BeZero(), "transaction %d was rolled back", id)
			}
		}
		Expect(t.Rollback(x)).To(Succeed())
	})
})

// repeat runs a transaction again whenever the proxy says that it was not run,
// as it may on a slow machine; rows of such an attempt would be counted.
func repeat(x context.Context, m *pgx.Conn, id int, keep bool) error {
	for {
		err := transaction(x, m, id, keep)
		var p *pgconn.PgError
		if !errors.As(err, &p) || p.Code != "53300" && p.Code != "57P03" {
			return err
		}
	}
}

// transaction writes two rows and looks at them in between.
func transaction(x context.Context, m *pgx.Conn, id int, keep bool) error {
	t, err := m.Begin(x)
	if err != nil {
		return err
	}
	defer func() { _ = t.Rollback(x) }()
	for step := range 2 {
		if _, err := t.Exec(x, "INSERT INTO mix (tx, step) VALUES ($1, $2)", id, step); err != nil {
			return err
		}
		var own, open int
		if err := t.QueryRow(x, "SELECT count(*) FROM mix WHERE tx = $1", id).Scan(&own); err != nil {
			return err
		}
		if err := t.QueryRow(x, "SELECT count(*) FROM (SELECT tx FROM mix GROUP BY tx HAVING count(*) = 1) o WHERE tx <> $1", id).Scan(&open); err != nil {
			return err
		}
		if own != step+1 || open != 0 {
			return &mixError{id: id, own: own, open: open}
		}
	}
	if keep {
		return t.Commit(x)
	}
	return t.Rollback(x)
}

// mixError tells of rows that a transaction must not see.
type mixError struct{ id, own, open int }

func (e *mixError) Error() string { return "a transaction sees rows of another, or not its own" }
