package cluster_test

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/cluster"
)

func startCluster(change func(*cluster.Config)) (*cluster.Cluster, func(int) *pgx.Conn) {
	f := cluster.DefaultConfig()
	f.Groups = []string{"orders"}
	change(&f)
	c, err := cluster.Start(context.Background(), f)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Stop)
	return c, func(d int) *pgx.Conn {
		n, err := pgx.Connect(context.Background(), c.Daemons[d].ConnectionURL("orders"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = n.Close(context.Background()) })
		return n
	}
}

func sqlstateOf(err error) string {
	var p *pgconn.PgError
	ExpectWithOffset(1, err).To(BeAssignableToTypeOf(p))
	return err.(*pgconn.PgError).Code
}

var _ = Describe("idempotency keys", Ordered, func() {
	var c *cluster.Cluster
	var connect func(int) *pgx.Conn
	x := context.Background()

	count := func(where string) int {
		var k int
		Expect(connect(0).QueryRow(x, "SELECT count(*) FROM gel WHERE "+where).Scan(&k)).To(Succeed())
		return k
	}

	BeforeAll(func() {
		c, connect = startCluster(func(*cluster.Config) {})
		_, err := connect(0).Exec(x, "CREATE TABLE gel (id INTEGER, name TEXT)")
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns the first outcome for a repeated simple query and runs it once", func() {
		for d := range 3 {
			t, err := connect(d).Exec(x, "/* dragonflypick key=a-1 */ INSERT INTO gel (id) VALUES (1), (1)")
			Expect(err).NotTo(HaveOccurred())
			Expect(t.String()).To(Equal("INSERT 0 2"))
		}
		Expect(count("id = 1")).To(Equal(2))
	})

	It("returns the first outcome for a repeated extended query and runs it once", func() {
		for d := range 3 {
			n := connect(d)
			_, err := n.Exec(x, "SET dragonflypick.key = 'a-2'")
			Expect(err).NotTo(HaveOccurred())
			t, err := n.Exec(x, "INSERT INTO gel (id, name) VALUES ($1, $2)", 2, "amber")
			Expect(err).NotTo(HaveOccurred())
			Expect(t.String()).To(Equal("INSERT 0 1"))
			Expect(n.PgConn().ParameterStatus("dragonflypick.session")).To(HavePrefix("1:orders:"))
		}
		Expect(count("id = 2")).To(Equal(1))
	})

	It("rejects a key that was used with another statement or other parameters", func() {
		n := connect(0)
		_, err := n.Exec(x, "/* dragonflypick key=a-1 */ INSERT INTO gel (id) VALUES (3)")
		Expect(sqlstateOf(err)).To(Equal("22023"))
		_, err = n.Exec(x, "/* dragonflypick key=a-3 */ INSERT INTO gel (id) VALUES ($1)", 4)
		Expect(err).NotTo(HaveOccurred())
		_, err = n.Exec(x, "/* dragonflypick key=a-3 */ INSERT INTO gel (id) VALUES ($1)", 3)
		Expect(sqlstateOf(err)).To(Equal("22023"))
		Expect(count("id = 3")).To(BeZero())
	})

	It("reports an error when a repeated statement returned rows", func() {
		q := "/* dragonflypick key=a-5 */ INSERT INTO gel (id) VALUES (5) RETURNING id"
		var k int
		Expect(connect(0).QueryRow(x, q).Scan(&k)).To(Succeed())
		Expect(sqlstateOf(connect(1).QueryRow(x, q).Scan(&k))).To(Equal("55000"))
		Expect(count("id = 5")).To(Equal(1))
	})

	It("keeps the key usable when the statement fails", func() {
		n := connect(1)
		for range 2 {
			_, err := n.Exec(x, "/* dragonflypick key=a-6 */ INSERT INTO nosuch VALUES (1)")
			Expect(sqlstateOf(err)).To(Equal("42P01"))
		}
	})

	It("rejects a key for several statements", func() {
		_, err := connect(0).Exec(x, "/* dragonflypick key=a-7 */ INSERT INTO gel (id) VALUES (7); INSERT INTO gel (id) VALUES (7)")
		Expect(sqlstateOf(err)).To(Equal("0A000"))
		Expect(count("id = 7")).To(BeZero())
	})

	It("commits the key of a transaction together with the transaction", func() {
		b := "/* dragonflypick key=a-8 */ BEGIN"
		for _, end := range []string{"ROLLBACK", "COMMIT"} {
			n := connect(0)
			for _, q := range []string{b, "INSERT INTO gel (id) VALUES (8)", end} {
				_, err := n.Exec(x, q)
				Expect(err).NotTo(HaveOccurred())
			}
		}
		n := connect(1)
		_, err := n.Exec(x, b)
		Expect(sqlstateOf(err)).To(Equal("55000"))
		Expect(count("id = 8")).To(Equal(1))
		_, err = n.Exec(x, "INSERT INTO gel (id) VALUES (9)")
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns the first outcome after a failover", func() {
		q := "/* dragonflypick key=a-10 */ INSERT INTO gel (id) VALUES (10)"
		_, err := connect(0).Exec(x, q)
		Expect(err).NotTo(HaveOccurred())
		p := c.Primary("orders")
		p.Kill()
		t, err := connect(1).Exec(x, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.String()).To(Equal("INSERT 0 1"))
		Expect(c.Primary("orders").Name).NotTo(Equal(p.Name))
		Expect(count("id = 10")).To(Equal(1))
	})
})

var _ = Describe("open connections that go silent", Ordered, func() {
	var c *cluster.Cluster
	var connect func(int) *pgx.Conn
	x := context.Background()

	BeforeAll(func() {
		c, connect = startCluster(func(f *cluster.Config) { f.StatementCost = 100 * time.Millisecond })
		_, err := connect(0).Exec(x, "CREATE TABLE gel (id INTEGER)")
		Expect(err).NotTo(HaveOccurred())
	})

	It("retries a read on another connection and promotes no member", func() {
		n := connect(0)
		t := c.Primary("orders").Status().Term
		var k int
		Expect(n.QueryRow(x, "SELECT count(*) FROM gel").Scan(&k)).To(Succeed())
		for _, m := range c.Members {
			m.Silence()
		}
		Expect(n.QueryRow(x, "SELECT count(*) FROM gel").Scan(&k)).To(Succeed())
		Expect(c.Primary("orders").Status().Term).To(Equal(t))
	})

	DescribeTable("runs a keyed write once, at whichever point its connection goes silent",
		func(key string, after time.Duration) {
			n := connect(1)
			t := c.Primary("orders").Status().Term
			s := time.AfterFunc(after, c.Primary("orders").Silence)
			defer s.Stop()
			_, err := n.Exec(x, "/* dragonflypick key="+key+" */ INSERT INTO gel (id) VALUES ($1)", after.Milliseconds())
			Expect(err).NotTo(HaveOccurred())
			var k int
			Expect(n.QueryRow(x, "SELECT count(*) FROM gel WHERE id = $1", after.Milliseconds()).Scan(&k)).To(Succeed())
			Expect(k).To(Equal(1))
			Expect(c.Primary("orders").Status().Term).To(Equal(t))
		},
		Entry("before it starts", "s-0", time.Millisecond),
		Entry("while its key is written", "s-1", 50*time.Millisecond),
		Entry("while it runs", "s-2", 150*time.Millisecond),
		Entry("while it commits", "s-3", 250*time.Millisecond),
		Entry("after it has run", "s-4", 400*time.Millisecond),
	)

	It("reports a write without a key as in doubt and doesn't repeat it", func() {
		n := connect(1)
		s := time.AfterFunc(50*time.Millisecond, c.Primary("orders").Silence)
		defer s.Stop()
		_, err := n.Exec(x, "INSERT INTO gel (id) VALUES (77)")
		Expect(sqlstateOf(err)).To(Equal("08007"))
		var k int
		Expect(n.QueryRow(x, "SELECT count(*) FROM gel WHERE id = 77").Scan(&k)).To(Succeed())
		Expect(k).To(BeNumerically("<=", 1))
	})
})
