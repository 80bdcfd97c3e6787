package model

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/session"
)

// Timing and behavior of callers.
const (
	// thinkTime is the mean delay between two requests of a session.
	thinkTime     = 100 * time.Millisecond
	callerTimeout = 7 * time.Second
	// keyProbability is the probability, from 0 to 1, that a write has a key,
	// writeProbability that a request is a write.
	keyProbability   = 0.5
	writeProbability = 0.5
	// entrySwitchProbability is the probability that a session switches to a
	// random entry before a request.
	entrySwitchProbability = 0.2
	// tokenLossProbability is the probability that a session loses its token
	// when it switches.
	tokenLossProbability = 0.5
)

// groupName is the name of the only database group.
const groupName = "orders"

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
	world *World
	id    int
	// entry is the daemon that the session is connected to.
	entry *Daemon
	// token is the last token that the caller received; empty before its first
	// write.
	token string
	// lastWrite is the last acknowledged write.
	lastWrite Statement
	// fixed keeps the session at its entry while that lives.
	fixed bool
	// Paused keeps the session from starting new requests.
	Paused bool
	busy   bool
	// lastRequestID is the ID of the last request.
	lastRequestID string
}

func (w *World) newSession() {
	s := &Session{world: w, id: len(w.Sessions)}
	w.Sessions = append(w.Sessions, s)
	s.scheduleNextRequest()
}

// AddSession adds a caller that stays connected to a daemon.
func (w *World) AddSession(d *Daemon) {
	w.newSession()
	s := w.Sessions[len(w.Sessions)-1]
	s.entry, s.fixed = d, true
}

// Busy reports whether the session waits for an answer.
func (s *Session) Busy() bool { return s.busy }

// Entry returns the daemon that the session is connected to, or nil.
func (s *Session) Entry() *Daemon { return s.entry }

func (s *Session) scheduleNextRequest() {
	d := time.Duration((0.5 + s.world.random.Float64()) * float64(thinkTime))
	s.world.After(d, s.sendNextRequest)
}

func (s *Session) sendNextRequest() {
	if s.Paused || !s.connectToEntry() {
		s.scheduleNextRequest()
		return
	}
	if s.world.random.Float64() < writeProbability {
		key := ""
		if s.world.random.Float64() < keyProbability {
			key = "key-" + s.world.newNumber()
		}
		s.sendWrite(key)
		return
	}
	s.sendRead()
}

// connectToEntry switches to a random entry if the current one is gone or with
// the probability entrySwitchProbability; it reports whether there is an entry.
func (s *Session) connectToEntry() bool {
	if s.entry != nil && s.entry.alive && !s.entry.draining && (s.fixed || s.world.random.Float64() >= entrySwitchProbability) {
		return true
	}
	var l []*Daemon
	for _, d := range s.world.Daemons {
		if d.alive && !d.draining {
			l = append(l, d)
		}
	}
	if len(l) == 0 {
		return false
	}
	s.entry = l[s.world.random.IntN(len(l))]
	if s.world.random.Float64() < tokenLossProbability {
		s.token = ""
	}
	return true
}

// newNumber returns a number that is unique in the world.
func (w *World) newNumber() string {
	w.lastNumber++
	return strconv.Itoa(w.lastNumber)
}

// sendRequest sends a request to the entry and checks that the answer belongs
// to it.
func (s *Session) sendRequest(r request, done func(ownerAnswer)) {
	if s.token != "" {
		p, err := session.ParseToken(groupName, s.token)
		if err != nil {
			s.world.addViolation("a session's token can't be read")
		}
		r.floor, r.floorKnown = p, true
	}
	if s.world.Options.NoFloor {
		r.floor, r.floorKnown = logpos.Position{}, true
	}
	s.busy, s.lastRequestID = true, r.ID
	d := s.entry
	s.world.startCall(&call{
		from: s.world.callers, to: d.Node, purpose: "session-" + strconv.Itoa(s.id), timeout: callerTimeout,
		handle: func(answer func(any)) { d.handleCallerRequest(r, answer) },
		done: func(v any, ok bool) {
			s.busy = false
			x, _ := v.(ownerAnswer)
			if !ok {
				s.entry = nil
				x = ownerAnswer{outcome: InDoubt, requestID: r.ID}
			}
			if x.requestID != r.ID && x.outcome == Done {
				s.world.addViolation("request " + r.ID + " got the answer to " + x.requestID)
			}
			done(x)
		},
	})
}

// sendWrite sends a write. A keyed write is repeated until it is done.
func (s *Session) sendWrite(key string) {
	x := Statement{ID: "write-" + s.world.newNumber(), Key: key}
	t := s.world.now
	s.sendRequest(request{Statement: x}, func(v ownerAnswer) {
		s.world.Writes = append(s.world.Writes, Write{
			Statement: x, Session: s.id, Outcome: v.outcome, Term: v.position.Term, Started: t, Ended: s.world.now,
		})
		if v.outcome == Done {
			f := session.Floor{Position: v.position}
			if p, err := session.ParseToken(groupName, s.token); err == nil {
				f = f.Raise(p)
			}
			s.token = session.FormatToken(groupName, f.Position)
			s.lastWrite = x
		}
		if v.outcome == Done || key == "" || s.Paused {
			s.scheduleNextRequest()
			return
		}
		s.world.After(thinkTime, func() { s.repeatWrite(key) })
	})
}

// repeatWrite repeats a keyed write, through another entry if the last one is
// gone.
func (s *Session) repeatWrite(key string) {
	if !s.connectToEntry() {
		s.world.After(thinkTime, func() { s.repeatWrite(key) })
		return
	}
	s.sendWrite(key)
}

// sendRead sends a read and checks that it shows the session's last
// acknowledged write.
func (s *Session) sendRead() {
	x := s.lastWrite
	id := "read-" + s.world.newNumber()
	s.sendRequest(request{Statement: Statement{ID: id}, read: true, expected: x}, func(v ownerAnswer) {
		if v.outcome == Done {
			s.world.Reads++
			if !v.found && v.requestID == id {
				s.world.addViolation("read " + id + " doesn't show write " + x.ID)
			}
		}
		s.scheduleNextRequest()
	})
}

// SessionAwaiting returns the session that waits for the answer to the given
// write, or nil.
func (w *World) SessionAwaiting(x Statement) *Session {
	for _, s := range w.Sessions {
		if s.busy && s.lastRequestID == x.ID {
			return s
		}
	}
	return nil
}
