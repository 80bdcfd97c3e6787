package teamconns

import (
	"cmp"
	"slices"
	"time"
)

const (
	// assumedOpeningTime is the opening time before one was measured.
	assumedOpeningTime = 10 * time.Millisecond
	// timeWeight is the weight of a measured time in its mean.
	timeWeight = 0.2
	// fullRetryDelay is how long no further connection is opened after the member
	// refused one because it had reached its limit. The member closes broken ones after
	// 3 s.
	fullRetryDelay = 250 * time.Millisecond
	// minTick is the shortest time until a Ticked event.
	minTick = 100 * time.Microsecond
	// slowFactor is the multiple of the mean opening time after which an opening no
	// longer counts as taking a slot, and minSlowTime the shortest such time.
	slowFactor  = 4
	minSlowTime = 50 * time.Millisecond
	// maxYieldedPerSlot bounds the requests that wait for an opening without a place.
	maxYieldedPerSlot = 2
)

type connState uint8

const (
	opening connState = iota
	running
	kept
	idle
)

type conn struct {
	id     uint64
	team   string
	values string
	state  connState
	// since is when the connection was last released, or since when it runs a statement.
	since time.Time
	// exchanged is set if the connection was opened in place of an idle one at a member
	// that had refused others.
	exchanged bool
}

type request struct {
	Requested
	yielded bool
}

// Set decides about the connections to one member. It is not safe for concurrent use.
type Set struct {
	config Config
	lastID uint64
	// conns holds all connections; idle ones in the order in which they were released.
	conns []*conn
	// waiting holds the waiting requests in the order of their arrival.
	waiting []*request
	teams   map[string]*team
	// openingTime is the mean time of an opening.
	openingTime time.Duration
	// statementTime is the mean time that a connection runs a statement.
	statementTime time.Duration
	// retryAt is the end of fullRetryDelay. Until then connections are only opened in
	// place of idle ones, and not before exchangeAt if such an opening was refused, too.
	retryAt, exchangeAt time.Time
	// forgetAt is the number of teams at which forgetTeams looks for some to forget.
	forgetAt int
	// openingLimit bounds the openings that run at once; zero if nothing else does.
	openingLimit int
	// greedy lets requests open a connection whenever none of their team is idle, in
	// place of the least recently used one. Tests compare it with the other decisions.
	greedy bool
}

// New returns a set without connections.
func New(c Config) *Set {
	return &Set{config: c, teams: map[string]*team{}, openingTime: assumedOpeningTime}
}

// Len returns the number of connections, including those that are being opened.
func (s *Set) Len() int { return len(s.conns) }

// Idle returns the number of idle connections.
func (s *Set) Idle() int {
	n := 0
	for _, c := range s.conns {
		if c.state == idle {
			n++
		}
	}
	return n
}

// Handle handles an event and returns the actions to take.
func (s *Set) Handle(e Event, now time.Time) []Action {
	s.forgetTeams(now)
	var o []Action
	switch e := e.(type) {
	case Requested:
		t := s.team(e.Team, now)
		t.requests++
		t.waiting++
		s.waiting = append(s.waiting, &request{Requested: e})
	case Withdrawn:
		s.stopWaiting(e.ID, now)
	case Opened:
		s.openingTime += time.Duration(timeWeight * float64(e.Took-s.openingTime))
		s.setState(e.Conn, running, now)
	case OpeningFailed:
		o = s.failOpening(e, now)
	case Kept:
		s.setState(e.Conn, kept, now)
	case Released:
		s.release(e, now)
	case Limited:
		s.openingLimit = e.Openings
	case IdleExpired:
		o = s.expire(e, now)
	}
	return append(o, s.serveWaiting(now)...)
}

// NextTick returns when a Ticked event is due at the latest, or false if none is.
func (s *Set) NextTick(now time.Time) (time.Time, bool) {
	_, n := s.openings(now)
	if len(s.waiting) == 0 {
		return time.Time{}, false
	}
	for _, r := range s.waiting {
		d := s.team(r.Team, now).untilWorthOpening(s.openingTime)
		if d > 0 {
			d = max(d, minTick)
		}
		t := now.Add(d)
		if t.Before(s.retryAt) {
			t = s.retryAt
		}
		if t.After(now) && (n.IsZero() || t.Before(n)) {
			n = t
		}
	}
	return n, !n.IsZero()
}

// serveWaiting serves the waiting requests for which there is a connection now, or
// which may open one.
func (s *Set) serveWaiting(now time.Time) []Action {
	var o []Action
	for _, r := range slices.Clone(s.waiting) {
		o = append(o, s.serve(r, now)...)
	}
	return o
}

// serve decides about a waiting request.
func (s *Set) serve(r *request, now time.Time) []Action {
	if c := s.idleOf(r.Team, r.Values); c != nil {
		s.stopWaiting(r.ID, now)
		s.use(c, now)
		return []Action{Use{Request: r.ID, Conn: c.id}}
	}
	full := now.Before(s.retryAt)
	if full && (r.Team == "" || now.Before(s.exchangeAt)) {
		return nil
	}
	why := OpenFirst
	if r.Team != "" && s.runningOf(r.Team) > 0 && !s.greedy {
		if !s.neededOften(r.Team, now) && s.team(r.Team, now).untilWorthOpening(s.openingTime) > 0 {
			return s.yield(r)
		}
		why = OpenMore
	}
	n, _ := s.openings(now)
	if r.Team != "" && n >= s.maxOpenings() && !s.greedy {
		return s.yield(r)
	}
	if s.openingLimit > 0 && n >= s.openingLimit {
		return nil
	}
	var o []Action
	if full || len(s.conns) >= s.config.Connections {
		if o = s.closeLeast(r.Team, now, CloseForOther); o == nil {
			return nil
		}
	}
	s.stopWaiting(r.ID, now)
	s.lastID++
	c := &conn{id: s.lastID, team: r.Team, state: opening, since: now, exchanged: full}
	s.conns = append(s.conns, c)
	s.team(r.Team, now).opened(s.busyOf(r.Team), now)
	return append(o, Open{Request: r.ID, Conn: c.id, Reason: why})
}

// failOpening handles that a connection could not be opened.
func (s *Set) failOpening(e OpeningFailed, now time.Time) []Action {
	i := s.index(e.Conn)
	exchanged := i >= 0 && s.conns[i].exchanged
	s.remove(e.Conn, now)
	if !e.Full {
		return nil
	}
	s.retryAt = now.Add(fullRetryDelay)
	if exchanged {
		s.exchangeAt = s.retryAt
	}
	return s.closeLeast("", now, CloseFull)
}

// neededOften reports whether a further connection of a team is expected to save its
// requests more waiting than the time that it takes to open it.
func (s *Set) neededOften(team string, now time.Time) bool {
	saved := s.team(team, now).needOf(s.lenOf(team)+1) * memoryTime.Seconds() * float64(s.statementTime)
	return saved > float64(s.openingTime)
}

// openings returns the number of openings that take a slot, and when the first of them
// will no longer count. One that lasts for long isn't answered by the member, and must
// not delay the others.
func (s *Set) openings(now time.Time) (n int, until time.Time) {
	slow := max(slowFactor*s.openingTime, minSlowTime)
	for _, c := range s.conns {
		if c.state != opening || now.Sub(c.since) >= slow {
			continue
		}
		n++
		if t := c.since.Add(slow); until.IsZero() || t.Before(until) {
			until = t
		}
	}
	return n, until
}

// maxOpenings returns the number of openings that may run at once.
func (s *Set) maxOpenings() int { return max(s.config.Slots/2, 1) }

// yield makes a request give its place to others, unless many have done so.
func (s *Set) yield(r *request) []Action {
	n := 0
	for _, o := range s.waiting {
		if o.yielded {
			n++
		}
	}
	if r.yielded || n >= maxYieldedPerSlot*s.config.Slots {
		return nil
	}
	r.yielded = true
	return []Action{Yield{Request: r.ID}}
}

// idleOf returns the idle connection of a team that was released last, of those with
// the given values if there are some, or nil.
func (s *Set) idleOf(team, values string) *conn {
	var o *conn
	for _, c := range slices.Backward(s.conns) {
		if c.state != idle || c.team != team {
			continue
		}
		if c.values == values {
			return c
		}
		o = cmp.Or(o, c)
	}
	return o
}

// closeLeast removes the idle connection of the least worth, of equal ones the one that
// was released first, that doesn't belong to a team. It returns nil if there is none.
func (s *Set) closeLeast(except string, now time.Time, why CloseReason) []Action {
	var l *conn
	var least float64
	for _, c := range s.conns {
		if c.state != idle || c.team == except {
			continue
		}
		if w := s.worthOf(c, now); l == nil || w < least {
			l, least = c, w
		}
	}
	if l == nil {
		return nil
	}
	s.remove(l.id, now)
	return []Action{Close{Conn: l.id, Reason: why}}
}

// worthOf returns the worth of an idle connection.
func (s *Set) worthOf(c *conn, now time.Time) float64 {
	if s.greedy {
		return 0
	}
	return s.team(c.team, now).needOf(s.lenOf(c.team))
}

// use puts an idle connection in use.
func (s *Set) use(c *conn, now time.Time) {
	c.state, c.since = running, now
	s.team(c.team, now).setBusy(s.busyOf(c.team), now)
}

func (s *Set) release(e Released, now time.Time) {
	i := s.index(e.Conn)
	if i < 0 {
		return
	}
	c := s.conns[i]
	s.measure(c, now)
	s.conns = slices.Delete(s.conns, i, i+1)
	if !e.Closed {
		c.state, c.values, c.since = idle, e.Values, now
		s.conns = append(s.conns, c)
	}
	s.team(c.team, now).setBusy(s.busyOf(c.team), now)
}

func (s *Set) expire(e IdleExpired, now time.Time) []Action {
	var o []Action
	for _, c := range slices.Clone(s.conns) {
		before := e.TeamsBefore
		if c.team == "" {
			before = e.Before
		}
		if c.state == idle && c.since.Before(before) {
			s.remove(c.id, now)
			o = append(o, Close{Conn: c.id, Reason: CloseIdle})
		}
	}
	return o
}

func (s *Set) remove(id uint64, now time.Time) {
	if i := s.index(id); i >= 0 {
		c := s.conns[i]
		s.conns = slices.Delete(s.conns, i, i+1)
		s.team(c.team, now).setBusy(s.busyOf(c.team), now)
	}
}

func (s *Set) setState(id uint64, t connState, now time.Time) {
	if i := s.index(id); i >= 0 {
		c := s.conns[i]
		s.measure(c, now)
		c.state, c.since = t, now
	}
}

// measure updates the mean statement time if a connection has run one.
func (s *Set) measure(c *conn, now time.Time) {
	if c.state == running {
		s.statementTime += time.Duration(timeWeight * float64(now.Sub(c.since)-s.statementTime))
	}
}

func (s *Set) index(id uint64) int {
	return slices.IndexFunc(s.conns, func(c *conn) bool { return c.id == id })
}

func (s *Set) stopWaiting(id uint64, now time.Time) {
	i := slices.IndexFunc(s.waiting, func(r *request) bool { return r.ID == id })
	if i < 0 {
		return
	}
	s.team(s.waiting[i].Team, now).waiting--
	s.waiting = slices.Delete(s.waiting, i, i+1)
}
