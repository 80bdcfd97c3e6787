package pool

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypick/dragonflypick/query"
)

// templateName returns the name that a shape is prepared under at members. It
// follows from the shape alone, so that sessions share it and never collide.
func templateName(s query.Shape) string {
	k := "r"
	if s.Write {
		k = "w"
	}
	return k + strconv.FormatUint(xxhash.Sum64String(k+s.Text), 36)
}
