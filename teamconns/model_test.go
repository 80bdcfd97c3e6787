package teamconns_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/teamconns"
)

// model follows the actions of a set.
type model struct {
	set     *teamconns.Set
	config  teamconns.Config
	now     time.Time
	lastID  uint64
	waiting map[uint64]string
	// yielded are the requests that were told to yield.
	yielded map[uint64]bool
	// teams holds the team of each connection; opening, busy and idle are disjoint.
	teams   map[uint64]string
	opening []uint64
	busy    []uint64
	idle    []uint64
	problem string
}

func newModel(c teamconns.Config) *model {
	return &model{set: teamconns.New(c), config: c, now: time.Unix(1000, 0), waiting: map[uint64]string{}, yielded: map[uint64]bool{}, teams: map[uint64]string{}}
}

func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1, 2:
		m.lastID++
		n := rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(t, "team")
		m.waiting[m.lastID] = n
		m.handle(teamconns.Requested{ID: m.lastID, Team: n})
	case 3:
		if len(m.opening) > 0 {
			m.endOpening(rapid.Bool().Draw(t, "succeeds"), rapid.Bool().Draw(t, "full"))
		}
	case 4, 5:
		if len(m.busy) > 0 {
			m.release(rapid.IntRange(0, 3).Draw(t, "closed") == 0)
		}
	case 6:
		if len(m.busy) > 0 {
			m.handle(teamconns.Kept{Conn: m.busy[0]})
		}
	case 7:
		m.handle(teamconns.Ticked{})
	}
}

func (m *model) endOpening(succeeds, full bool) {
	c := m.opening[0]
	m.opening = m.opening[1:]
	if succeeds {
		m.busy = append(m.busy, c)
		m.handle(teamconns.Opened{Conn: c, Took: 12 * time.Millisecond})
		return
	}
	delete(m.teams, c)
	m.handle(teamconns.OpeningFailed{Conn: c, Full: full})
}

func (m *model) release(closed bool) {
	c := m.busy[0]
	m.busy = m.busy[1:]
	if closed {
		delete(m.teams, c)
	} else {
		m.idle = append(m.idle, c)
	}
	m.handle(teamconns.Released{Conn: c, Closed: closed})
}

func (m *model) handle(e teamconns.Event) {
	for _, a := range m.set.Handle(e, m.now) {
		switch a := a.(type) {
		case teamconns.Use:
			m.takeIdle(a.Conn, "a connection is used that isn't idle")
			if n, ok := m.waiting[a.Request]; !ok || n != m.teams[a.Conn] {
				m.problem = "a request got a connection of another team, or didn't wait"
			}
			delete(m.waiting, a.Request)
			m.busy = append(m.busy, a.Conn)
		case teamconns.Open:
			n, ok := m.waiting[a.Request]
			if !ok {
				m.problem = "a connection is opened for no request"
			}
			delete(m.waiting, a.Request)
			m.teams[a.Conn] = n
			m.opening = append(m.opening, a.Conn)
		case teamconns.Close:
			m.takeIdle(a.Conn, "a connection is closed that isn't idle")
			delete(m.teams, a.Conn)
		case teamconns.Yield:
			if _, ok := m.waiting[a.Request]; !ok || m.yielded[a.Request] {
				m.problem = "a request yields that doesn't wait, or yields again"
			}
			m.yielded[a.Request] = true
		}
	}
	if len(m.teams) > m.config.Connections || len(m.teams) != m.set.Len() || len(m.idle) != m.set.Idle() {
		m.problem = "wrong number of connections"
	}
}

func (m *model) takeIdle(c uint64, problem string) {
	i := slices.Index(m.idle, c)
	if i < 0 {
		m.problem = problem
		return
	}
	m.idle = slices.Delete(m.idle, i, i+1)
}

// finish ends all openings and statements until no request waits, and returns what is
// wrong if some still does.
func (m *model) finish() string {
	for range 1000 {
		m.now = m.now.Add(time.Second)
		m.handle(teamconns.Ticked{})
		switch {
		case m.problem != "":
			return m.problem
		case len(m.opening) > 0:
			m.endOpening(true, false)
		case len(m.busy) > 0:
			m.release(false)
		case len(m.waiting) == 0:
			return ""
		default:
			return "a request waits although all connections are idle"
		}
	}
	return "the requests don't end"
}
