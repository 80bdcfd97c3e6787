package cluster_test

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/cluster"
)

var _ = Describe("text that isn't UTF-8", Ordered, func() {
	const text = "Gr\xfcn-gel\xe9\xff\x80\r\n\n"
	var c *cluster.Cluster
	var connect func(int) *pgx.Conn
	x := context.Background()

	// exec runs statements in the simple protocol and returns the first column of all rows.
	exec := func(n *pgx.Conn, sql string) []string {
		r, err := n.PgConn().Exec(x, sql).ReadAll()
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return firstColumn(r...)
	}

	BeforeAll(func() {
		c, connect = startCluster(func(*cluster.Config) {})
		exec(connect(0), "CREATE TABLE gel (id INTEGER, name TEXT)")
	})

	It("stays as it is in statements, parameters and rows between daemons", func() {
		for d := range c.Daemons {
			n := connect(d)
			exec(n, "DELETE FROM gel")
			exec(n, "INSERT INTO gel (id, name) VALUES (1, '"+text+"')")
			r := n.PgConn().ExecParams(x, "INSERT INTO gel (id, name) VALUES (2, $1)", [][]byte{[]byte(text)}, nil, nil, nil).Read()
			Expect(r.Err).NotTo(HaveOccurred())
			exec(n, "BEGIN")
			Expect(exec(n, "SELECT name FROM gel ORDER BY id")).To(Equal([]string{text, text}))
			r = n.PgConn().ExecParams(x, "SELECT name FROM gel WHERE name = $1", [][]byte{[]byte(text)}, nil, nil, nil).Read()
			Expect(r.Err).NotTo(HaveOccurred())
			Expect(firstColumn(r)).To(Equal([]string{text, text}))
			exec(n, "COMMIT")
		}
	})

	It("is refused as a database's or a user's name, and accepted in other parameters of a session", func() {
		for _, change := range []func(*pgx.ConnConfig){
			func(f *pgx.ConnConfig) { f.Database = "orders\xff" },
			func(f *pgx.ConnConfig) { f.User = "shop\xff" },
		} {
			f := connect(0).Config()
			change(f)
			_, err := pgx.ConnectConfig(x, f)
			var p *pgconn.PgError
			Expect(errors.As(err, &p)).To(BeTrue(), "%v", err)
		}
		f := connect(0).Config()
		f.RuntimeParams["application_name"] = text
		n, err := pgx.ConnectConfig(x, f)
		Expect(err).NotTo(HaveOccurred())
		Expect(exec(n, "SELECT 1")).To(Equal([]string{"1"}))
		Expect(n.Close(x)).To(Succeed())
	})

	It("doesn't make two idempotency keys one, so that an acknowledged write isn't run", func() {
		for d := range c.Daemons {
			n := connect(d)
			exec(n, "DELETE FROM gel")
			for _, key := range []string{"o-\xe8", "o-\xe9"} {
				exec(n, "SET dragonflypick.key = '"+string(rune('a'+d))+key+"'")
				exec(n, "INSERT INTO gel (id) VALUES (3)")
			}
			exec(n, "BEGIN")
			Expect(exec(n, "SELECT id FROM gel")).To(HaveLen(2))
			exec(n, "COMMIT")
		}
	})
})

// firstColumn returns the first column of all rows.
func firstColumn(l ...*pgconn.Result) []string {
	var o []string
	for _, r := range l {
		for _, w := range r.Rows {
			o = append(o, string(w[0]))
		}
	}
	return o
}
