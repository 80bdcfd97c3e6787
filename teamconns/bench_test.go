package teamconns_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypick/dragonflypick/teamconns"
)

// BenchmarkRequest measures a request on an idle connection and its release, at a member
// with as many connections as it allows.
func BenchmarkRequest(b *testing.B) {
	s := teamconns.New(teamconns.Config{Connections: memberConnections, Slots: memberSlots})
	now := time.Unix(1000, 0)
	id := uint64(0)
	for i := range memberConnections {
		id++
		o := s.Handle(teamconns.Requested{ID: id, Team: strconv.Itoa(i)}, now)
		c := o[0].(teamconns.Open).Conn
		s.Handle(teamconns.Opened{Conn: c, Took: openingTime}, now)
		s.Handle(teamconns.Released{Conn: c}, now)
	}
	for i := range b.N {
		id++
		now = now.Add(time.Millisecond)
		o := s.Handle(teamconns.Requested{ID: id, Team: strconv.Itoa(i % memberConnections)}, now)
		s.Handle(teamconns.Released{Conn: o[0].(teamconns.Use).Conn}, now.Add(time.Microsecond))
	}
}
