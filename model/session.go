package model

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/session"
)

// Timing and habits of callers.
const (
	thinkTime     = 100 * time.Millisecond
	callerTimeout = 7 * time.Second
	// keyShare and writeShare are shares of requests from 0 to 1.
	keyShare   = 0.5
	writeShare = 0.5
	// roamShare is the share of requests before which a session roams.
	roamShare = 0.2
	// forgetShare is the share of roaming sessions that bring no token.
	forgetShare = 0.5
)

// group is the name of the only database group.
const group = "orders"

// Write is a write that has ended for its caller.
type Write struct {
	Statement
	Session int
	Outcome Outcome
	// Term is that of the position that the caller was told; zero if none.
	Term    uint64
	Started time.Time
	Ended   time.Time
}

// Session is a caller that does one thing after another.
type Session struct {
	w  *World
	id int
	// entry is the daemon that the session is connected to.
	entry *Daemon
	// token is what the caller has been told last; empty before its first
	// write.
	token string
	// seen is the last acknowledged write.
	seen Statement
	// Paused sessions begin nothing new.
	Paused bool
	busy   bool
	// current is the ID of the last request.
	current string
}

func (w *World) newSession() {
	s := &Session{w: w, id: len(w.Sessions)}
	w.Sessions = append(w.Sessions, s)
	s.later()
}

// Busy reports whether the session waits for an answer.
func (s *Session) Busy() bool { return s.busy }

// Entry returns the daemon that the session is connected to, or nil.
func (s *Session) Entry() *Daemon { return s.entry }

func (s *Session) later() {
	d := time.Duration((0.5 + s.w.r.Float64()) * float64(thinkTime))
	s.w.After(d, s.next)
}

func (s *Session) next() {
	if s.Paused || !s.connect() {
		s.later()
		return
	}
	if s.w.r.Float64() < writeShare {
		key := ""
		if s.w.r.Float64() < keyShare {
			key = "key-" + s.w.number()
		}
		s.write(key)
		return
	}
	s.read()
}

// connect roams now and then, and when the entry has gone; it reports whether
// there is an entry.
func (s *Session) connect() bool {
	if s.entry != nil && s.entry.alive && !s.entry.leaving && s.w.r.Float64() >= roamShare {
		return true
	}
	var l []*Daemon
	for _, d := range s.w.Daemons {
		if d.alive && !d.leaving {
			l = append(l, d)
		}
	}
	if len(l) == 0 {
		return false
	}
	s.entry = l[s.w.r.IntN(len(l))]
	if s.w.r.Float64() < forgetShare {
		s.token = ""
	}
	return true
}

func (w *World) number() string {
	w.next++
	return strconv.Itoa(w.next)
}

func (s *Session) send(r request, done func(verdict)) {
	if s.token != "" {
		p, err := session.ParseToken(group, s.token)
		if err != nil {
			s.w.violate("a session's token can't be read")
		}
		r.floor, r.known = p, true
	}
	if s.w.Options.NoFloor {
		r.floor, r.known = logpos.Position{}, true
	}
	s.busy, s.current = true, r.ID
	d := s.entry
	s.w.do(&call{
		from: s.w.callers, to: d.Node, use: "session-" + strconv.Itoa(s.id), timeout: callerTimeout,
		handle: func(answer func(any)) { d.submit(r, answer) },
		done: func(v any, ok bool) {
			s.busy = false
			x, _ := v.(verdict)
			if !ok {
				s.entry = nil
				x = verdict{outcome: InDoubt, echo: r.ID}
			}
			if x.echo != r.ID && x.outcome == Done {
				s.w.violate("request " + r.ID + " got the answer to " + x.echo)
			}
			done(x)
		},
	})
}

// write makes a write. A keyed one is repeated until its outcome is known.
func (s *Session) write(key string) {
	x := Statement{ID: "write-" + s.w.number(), Key: key}
	t := s.w.now
	s.send(request{Statement: x}, func(v verdict) {
		s.w.Writes = append(s.w.Writes, Write{
			Statement: x, Session: s.id, Outcome: v.outcome, Term: v.position.Term, Started: t, Ended: s.w.now,
		})
		if v.outcome == Done {
			f := session.Floor{Position: v.position}
			if p, err := session.ParseToken(group, s.token); err == nil {
				f = f.Raise(p)
			}
			s.token = session.FormatToken(group, f.Position)
			s.seen = x
		}
		if v.outcome == Done || key == "" || s.Paused {
			s.later()
			return
		}
		s.w.After(thinkTime, func() { s.again(key) })
	})
}

// again repeats a keyed write, through another entry if the last one has gone.
func (s *Session) again(key string) {
	if !s.connect() {
		s.w.After(thinkTime, func() { s.again(key) })
		return
	}
	s.write(key)
}

// read looks for the session's last acknowledged write.
func (s *Session) read() {
	x := s.seen
	id := "read-" + s.w.number()
	s.send(request{Statement: Statement{ID: id}, read: true, want: x}, func(v verdict) {
		if v.outcome == Done {
			s.w.Reads++
			if !v.found && v.echo == id {
				s.w.violate("read " + id + " doesn't show write " + x.ID)
			}
		}
		s.later()
	})
}

// WritingSession returns the session whose write is in progress, or nil.
func (w *World) WritingSession(x Statement) *Session {
	for _, s := range w.Sessions {
		if s.busy && s.current == x.ID {
			return s
		}
	}
	return nil
}
