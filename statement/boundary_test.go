package statement_test

import (
	"maps"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/statement"
)

// PostgreSQL ends a line comment at CR or LF, and goes on with the escapes of a continued string.
var _ = DescribeTable("a write behind the end of a comment or of a string isn't taken for a part of it",
	func(sql string) { Expect(statement.Classify(sql).Kind).To(Equal(statement.Write)) },
	Entry("comment that ends at CR", "-- c\rDELETE FROM t"),
	Entry("comment behind a read that ends at CR", "SELECT 1; -- c\rDELETE FROM t"),
	Entry("comment that ends at LF", "SELECT 1; -- c\nDELETE FROM t"),
	Entry("continued escape string", "SELECT E'a'\n'b\\''; DELETE FROM t --'"),
	Entry("escape string that is continued after a comment", "SELECT E'a' -- c\r'b\\''; DELETE FROM t --'"),
	Entry("plain string behind an identifier that ends in $e", "SELECT a$e'\\'; DELETE FROM t --'"),
	Entry("plain string behind a comment", "SELECT /*e*/'\\'; DELETE FROM t --'"),
)

var _ = DescribeTable("a keyword is found where PostgreSQL finds it",
	func(sql string) { Expect(statement.Classify(sql).Kind).To(Equal(statement.Write)) },
	Entry("right behind a number", "SELECT 1INTO u FROM t"),
	Entry("right behind a number, locks", "SELECT * FROM t LIMIT 1FOR SHARE"),
	Entry("word that only Unicode takes for ROLLBACK", "ROLLBAC\u212a"),
)

// A quoted text holds any byte but NUL, those of its own end in their escaped form.
var _ = It("a write behind a quoted text isn't taken for a part of it, whatever the text holds", func() {
	pieces := []string{"'", "\"", "\\", "$", "$$", "$t$", "--", "/*", "*/", ";", "\r", "\n", " ", "e", "E'", "a", "\xff", "\u212a"}
	quote := map[string]func(string) string{
		"line comment":  func(s string) string { return "--" + strings.NewReplacer("\r", "", "\n", "").Replace(s) + "\r" },
		"block comment": func(s string) string { return "/*" + strings.NewReplacer("*", "", "/", "").Replace(s) + "*/" },
		"string":        func(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" },
		"escape string": func(s string) string { return "E'" + strings.NewReplacer("'", "\\'", "\\", "\\\\").Replace(s) + "'" },
		"continued escape string": func(s string) string {
			return "E'a' \r '" + strings.NewReplacer("'", "\\'", "\\", "\\\\").Replace(s) + "'"
		},
		"identifier":           func(s string) string { return "\"" + strings.ReplaceAll(s, "\"", "\"\"") + "\"" },
		"dollar-quoted string": func(s string) string { return "$q$" + strings.ReplaceAll(s, "$q$", "") + "$q$" },
	}
	rapid.Check(GinkgoT(), func(r *rapid.T) {
		by := rapid.SampledFrom(slices.Sorted(maps.Keys(quote))).Draw(r, "quoted by")
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(pieces)).Draw(r, "text"), "")
		c := statement.Classify("SELECT 1 + " + quote[by](text) + "; DELETE FROM t")
		if c.Kind != statement.Write || c.Count != 2 {
			r.Fatalf("kind %v, %d statements", c.Kind, c.Count)
		}
	})
})

var _ = It("a comment that is stripped leaves the end of its line, by which a string is continued", func() {
	Expect(statement.StripComments("SELECT 'a' -- c\n'b'")).To(Equal("SELECT 'a'  \n'b'"))
})

var _ = DescribeTable("the value of a setting is whole",
	func(sql, value string) {
		c := statement.Classify(sql)
		Expect(c.Kind).To(Equal(statement.SetProxySetting))
		Expect(c.Value).To(Equal(value))
	},
	Entry("with =", "SET dragonflypick.key = 'o=17'", "o=17"),
	Entry("with TO, value with =", "SET dragonflypick.key TO 'o=17'", "o=17"),
	Entry("with TO before a line break", "SET dragonflypick.key TO\n'o17'", "o17"),
	Entry("with TO after a tab", "SET dragonflypick.key\tTO\t'o17'", "o17"),
	Entry("behind a comment with =", "/* a=b */ SET dragonflypick.key TO 'o17'", "o17"),
	Entry("before a comment", "SET dragonflypick.key = 'o17' -- c", "o17"),
	Entry("value that ends with a CR", "SET dragonflypick.key = 'o17\r'", "o17\r"),
)
