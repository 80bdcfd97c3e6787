package cluster_test

import (
	"context"
	"errors"
	"fmt"
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
		sessions               = 16
		transactionsPerSession = 6
		seed                   = 11
	)
	x := context.Background()

	It("contain only their own statements", func() {
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
		runSession := func(s int) error {
			u := rand.New(rand.NewPCG(seed, uint64(s)))
			m, err := pgx.Connect(x, c.Daemons[s%len(c.Daemons)].ConnectionURL("orders"))
			if err != nil {
				return err
			}
			defer func() { _ = m.Close(x) }()
			for i := range transactionsPerSession {
				id, commit := s*transactionsPerSession+i, u.IntN(2) == 0
				if err := runUntilAccepted(x, m, id, commit); err != nil {
					return err
				}
				mu.Lock()
				committed[id] = commit
				mu.Unlock()
			}
			return nil
		}
		g := &errgroup.Group{}
		for s := range sessions {
			g.Go(func() error { return runSession(s) })
		}
		Expect(g.Wait()).To(Succeed())

		t, err := n.Begin(x)
		Expect(err).NotTo(HaveOccurred())
		for id, commit := range committed {
			var k int
			Expect(t.QueryRow(x, "SELECT count(*) FROM mix WHERE tx = $1", id).Scan(&k)).To(Succeed())
			if commit {
				Expect(k).To(Equal(2), "transaction %d was committed", id)
			} else {
				Expect(k).To(BeZero(), "transaction %d was rolled back", id)
			}
		}
		Expect(t.Rollback(x)).To(Succeed())
	})
})

// runUntilAccepted retries a transaction while the proxy refuses it as not run,
// which happens on a slow machine. If a refused attempt had been run nevertheless,
// the counts of the transaction's rows would be too high.
func runUntilAccepted(x context.Context, m *pgx.Conn, id int, commit bool) error {
	for {
		err := runTransaction(x, m, id, commit)
		var p *pgconn.PgError
		if !errors.As(err, &p) || p.Code != "53300" && p.Code != "57P03" {
			return err
		}
	}
}

// runTransaction writes two rows and after each counts its own rows and the other
// transactions that show only one.
func runTransaction(x context.Context, m *pgx.Conn, id int, commit bool) error {
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
			return &isolationError{id: id, ownRows: own, openTransactions: open}
		}
	}
	if commit {
		return t.Commit(x)
	}
	return t.Rollback(x)
}

// isolationError reports a transaction that read rows of another open transaction,
// or not exactly its own rows.
type isolationError struct{ id, ownRows, openTransactions int }

func (e *isolationError) Error() string {
	return fmt.Sprintf("transaction %d sees %d of its own rows and %d open transactions", e.id, e.ownRows, e.openTransactions)
}
