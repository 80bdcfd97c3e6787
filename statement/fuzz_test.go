package statement_test

import (
	"testing"

	"github.com/dragonflypick/dragonflypick/statement"
)

func FuzzClassify(f *testing.F) {
	for _, s := range []string{
		"SELECT 1", "/* dragonflypick rank=urgent key=a */ INSERT INTO t VALUES ('it''s; $1', $2)", "SELECT $$a;b$$; BEGIN",
		"E'\\'", "/* /* */", "\"", "--", "SET dragonflypick.rank = 'urgent'", "$tag$ $tag",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		c := statement.Classify(s)
		if n := len(statement.Split(s)); n != c.Count {
			t.Fatalf("%q has %d statements by Split and %d by Classify", s, n, c.Count)
		}
		statement.StripComments(s)
		statement.MaxParameter(s)
	})
}
