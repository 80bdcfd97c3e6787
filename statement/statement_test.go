package statement_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/statement"
)

func TestStatement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Statement")
}

var _ = DescribeTable("the kind of an SQL text",
	func(sql string, kind statement.Kind, count int) {
		c := statement.Classify(sql)
		Expect(c.Kind).To(Equal(kind))
		Expect(c.Count).To(Equal(count))
	},
	Entry("empty statement and comment", " ; -- nothing", statement.Empty, 0),
	Entry("select", "SELECT 1", statement.Read, 1),
	Entry("values", "VALUES (1)", statement.Read, 1),
	Entry("two reads", "SELECT 1; SELECT 2", statement.Read, 2),
	Entry("read and write", "SELECT 1; DELETE FROM t", statement.Write, 2),
	Entry("writing CTE", "WITH a AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM a", statement.Write, 1),
	Entry("reading CTE", "WITH a AS (SELECT 1) SELECT * FROM a", statement.Read, 1),
	Entry("row locks, FOR UPDATE", "SELECT * FROM t FOR UPDATE", statement.Write, 1),
	Entry("row locks, FOR NO KEY UPDATE", "SELECT * FROM t FOR NO KEY UPDATE", statement.Write, 1),
	Entry("select into", "SELECT * INTO u FROM t", statement.Write, 1),
	Entry("sequence", "SELECT nextval('s')", statement.Write, 1),
	Entry("keywords in a string", "SELECT 'insert; for update'", statement.Read, 1),
	Entry("keywords in a quoted identifier", `SELECT "delete" FROM t`, statement.Read, 1),
	Entry("keywords in a dollar-quoted string", "SELECT $$delete; x$$", statement.Read, 1),
	Entry("keywords in a comment", "SELECT 1 /* delete /* nested */ */", statement.Read, 1),
	Entry("explain", "EXPLAIN SELECT 1", statement.Read, 1),
	Entry("explain analyze", "EXPLAIN ANALYZE DELETE FROM t", statement.Write, 1),
	Entry("begin", "BEGIN", statement.Begin, 1),
	Entry("begin read only", "START TRANSACTION READ ONLY", statement.BeginReadOnly, 1),
	Entry("read-only transaction in one text", "BEGIN READ ONLY; SELECT 1; COMMIT", statement.BeginReadOnly, 3),
	Entry("begin and write", "BEGIN; DELETE FROM t", statement.Write, 2),
	Entry("commit", "COMMIT", statement.End, 1),
	Entry("rollback to", "ROLLBACK TO SAVEPOINT a", statement.Write, 1),
	Entry("commit of a prepared transaction", "COMMIT PREPARED 'a'", statement.Unsupported, 1),
	Entry("session advisory lock", "SELECT pg_advisory_lock(1)", statement.Unsupported, 1),
	Entry("transaction advisory lock", "SELECT pg_advisory_xact_lock(1)", statement.Write, 1),
	Entry("temporary table", "CREATE TEMP TABLE t (i int)", statement.Unsupported, 1),
	Entry("table", "CREATE TABLE t (i int)", statement.Write, 1),
	Entry("unsupported after a read", "SELECT 1; LISTEN a", statement.Unsupported, 2),
	Entry("set a dragonflypick setting", "SET dragonflypick.rank = 'urgent'", statement.SetProxySetting, 1),
	Entry("show a dragonflypick setting", "SHOW dragonflypick.session", statement.ShowProxySetting, 1),
	Entry("ignored session parameter", "SET application_name = 'a'", statement.Ignored, 1),
	Entry("unsupported session parameter", "SET search_path = a", statement.Unsupported, 1),
	Entry("unknown statement", "FROBNICATE", statement.Write, 1),
)

var _ = DescribeTable("the hints of a comment",
	func(sql string, h statement.Hints) {
		Expect(statement.Classify(sql).Hints).To(Equal(h))
	},
	Entry("comment without the prefix", "/* rank=urgent */ SELECT 1", statement.Hints{}),
	Entry("rank and key", "/* dragonflypick rank=urgent key=o-17 */ SELECT 1", statement.Hints{Rank: bundle.Urgent, HasRank: true, Key: "o-17"}),
	Entry("tolerance and class", "SELECT 1 -- dragonflypick tolerance=2s class=swatch", statement.Hints{Tolerance: 2 * time.Second, ReadClass: "swatch"}),
	Entry("negative tolerance", "/* dragonflypick tolerance=-2s */ SELECT 1", statement.Hints{Tolerance: -2 * time.Second, Invalid: "tolerance=-2s"}),
	Entry("comment in a string", "SELECT '/* dragonflypick rank=urgent */'", statement.Hints{}),
	Entry("unknown hint", "/* dragonflypick a=b */ SELECT 1", statement.Hints{Invalid: "a=b"}),
)
