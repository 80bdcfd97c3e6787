package statement_test

import (
	"testing"

	"github.com/dragonflypick/dragonflypick/statement"
)

// FuzzClassify checks that no SQL text causes a panic, and that Classify counts
// as many statements as Split returns.
func FuzzClassify(f *testing.F) {
	for _, s := range []string{
		"SELECT 1", "/* dragonflypick rank=urgent key=a */ INSERT INTO t VALUES ('it''s; $1', $2)", "SELECT $$a;b$$; BEGIN",
		"E'\\'", "/* /* */", "\"", "--", "SET dragonflypick.rank = 'urgent'", "/*\xff\xff*/ SET dragonflypick.key TO a", "$tag$ $tag",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		c := statement.Classify(s)
		if n := len(statement.Split(s)); n != c.Count {
			t.Fatalf("%q: Split returns %d statements, Classify counts %d", s, n, c.Count)
		}
		statement.StripComments(s)
		statement.MaxParameter(s)
	})
}
