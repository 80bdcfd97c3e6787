package model

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/session"
)

// Timing and behavior of callers.
const (
	// thinkTime is the mean pause between two requests of a session.
	thinkTime     = 100 * time.Millisecond
	callerTimeout = 7 * time.Second
	// keyShare is the share of keyed writes among writes, from 0 to 1; writeShare
	// is that of writes among requests.
	keyShare   = 0.5
	writeShare = 0.5
	// roamShare is the share of requests before which a session switches to a
	// random entry.
	roamShare = 0.2
	// forgetShare is the share of switches after which a session has no token.
	forgetShare = 0.5
)

// group is the name of the only database group.
const group = "orders"

// Write is a write whose caller has received its outcome.
type Write struct {
	Statement
	Session int
	Outcome Outcome
	// Term is the term of the position in the answer; zero if there was none.
	Term    uint64
	Started time.Time
	Ended   time.Time
}

// Session is a caller that sends one request at a time.
type Session struct {
	w  *World
	id int
	// entry is the daemon that the session is connected to.
	entry *Daemon
	// token is the last token that the caller received; empty before its first
	// write.
	token string
	// lastWrite is the last acknowledged write.
	lastWrite Statement
	// Paused keeps the session from starting new requests.
	Paused bool
	busy   bool
	// currentID is the ID of the last request.
	currentID string
}

func (w *World) newSession() {
	s := &Session{w: w, id: len(w.Sessions)}
	w.Sessions = append(w.Sessions, s)
	s.scheduleNext()
}

// Busy reports whether the session waits for an answer.
func (s *Session) Busy() bool { return s.busy }

// Entry returns the daemon that the session is connected to, or nil.
func (s *Session) Entry() *Daemon { return s.entry }

func (s *Session) scheduleNext() {
	d := time.Duration((0.5 + s.w.random.Float64()) * float64(thinkTime))
	s.w.After(d, s.next)
}

func (s *Session) next() {
	if s.Paused || !s.connect() {
		s.scheduleNext()
		return
	}
	if s.w.random.Float64() < writeShare {
		key := ""
		if s.w.random.Float64() < keyShare {
			key = "key-" + s.w.nextNumber()
		}
		s.write(key)
		return
	}
	s.read()
}

// connect switches to a random entry if the current one is gone or with the
// probability roamShare; it reports whether there is an entry.
func (s *Session) connect() bool {
	if s.entry != nil && s.entry.alive && !s.entry.draining && s.w.random.Float64() >= roamShare {
		return true
	}
	var l []*Daemon
	for _, d := range s.w.Daemons {
		if d.alive && !d.draining {
			l = append(l, d)
		}
	}
	if len(l) == 0 {
		return false
	}
	s.entry = l[s.w.random.IntN(len(l))]
	if s.w.random.Float64() < forgetShare {
		s.token = ""
	}
	return true
}

// nextNumber returns a number that is unique in the world.
func (w *World) nextNumber() string {
	w.lastNumber++
	return strconv.Itoa(w.lastNumber)
}

// send sends a request to the entry and checks that the answer belongs to it.
func (s *Session) send(r request, done func(ownerAnswer)) {
	if s.token != "" {
		p, err := session.ParseToken(group, s.token)
		if err != nil {
			s.w.violate("a session's token can't be read")
		}
		r.floor, r.floorKnown = p, true
	}
	if s.w.Options.NoFloor {
		r.floor, r.floorKnown = logpos.Position{}, true
	}
	s.busy, s.currentID = true, r.ID
	d := s.entry
	s.w.startCall(&call{
		from: s.w.callers, to: d.Node, purpose: "session-" + strconv.Itoa(s.id), timeout: callerTimeout,
		handle: func(answer func(any)) { d.submit(r, answer) },
		done: func(v any, ok bool) {
			s.busy = false
			x, _ := v.(ownerAnswer)
			if !ok {
				s.entry = nil
				x = ownerAnswer{outcome: InDoubt, requestID: r.ID}
			}
			if x.requestID != r.ID && x.outcome == Done {
				s.w.violate("request " + r.ID + " got the answer to " + x.requestID)
			}
			done(x)
		},
	})
}

// write sends a write. A keyed write is repeated until it is done.
func (s *Session) write(key string) {
	x := Statement{ID: "write-" + s.w.nextNumber(), Key: key}
	t := s.w.now
	s.send(request{Statement: x}, func(v ownerAnswer) {
		s.w.Writes = append(s.w.Writes, Write{
			Statement: x, Session: s.id, Outcome: v.outcome, Term: v.position.Term, Started: t, Ended: s.w.now,
		})
		if v.outcome == Done {
			f := session.Floor{Position: v.position}
			if p, err := session.ParseToken(group, s.token); err == nil {
				f = f.Raise(p)
			}
			s.token = session.FormatToken(group, f.Position)
			s.lastWrite = x
		}
		if v.outcome == Done || key == "" || s.Paused {
			s.scheduleNext()
			return
		}
		s.w.After(thinkTime, func() { s.repeat(key) })
	})
}

// repeat repeats a keyed write, through another entry if the last one is gone.
func (s *Session) repeat(key string) {
	if !s.connect() {
		s.w.After(thinkTime, func() { s.repeat(key) })
		return
	}
	s.write(key)
}

// read checks that a read shows the session's last acknowledged write.
func (s *Session) read() {
	x := s.lastWrite
	id := "read-" + s.w.nextNumber()
	s.send(request{Statement: Statement{ID: id}, read: true, expected: x}, func(v ownerAnswer) {
		if v.outcome == Done {
			s.w.Reads++
			if !v.found && v.requestID == id {
				s.w.violate("read " + id + " doesn't show write " + x.ID)
			}
		}
		s.scheduleNext()
	})
}

// WritingSession returns the session that waits for the answer to the given write, or
// nil.
func (w *World) WritingSession(x Statement) *Session {
	for _, s := range w.Sessions {
		if s.busy && s.currentID == x.ID {
			return s
		}
	}
	return nil
}
