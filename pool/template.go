package pool

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypick/dragonflypick/query"
)

// templateName returns the name under which a template is prepared at members. It
// is a hash of the template, so that sessions share prepared templates.
func templateName(s query.Template) string {
	k := "r"
	if s.Write {
		k = "w"
	}
	return k + strconv.FormatUint(xxhash.Sum64String(k+s.Text), 36)
}
