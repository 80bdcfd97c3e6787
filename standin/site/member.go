package site

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// member is a backend server. The group's mutex guards its fields.
type member struct {
	id       string
	group    *group
	site     *Site
	listener net.Listener
	// advertised is the address in the member's record.
	advertised string
	primary    bool
	term       int
	log        []*logEntry
	down       bool
	// incarnation counts how often the member was stopped; sessions of an earlier
	// incarnation are invalid.
	incarnation int
	// replicationStopped is true if the member receives no entries.
	replicationStopped bool
	// mute is true if the member answers reads outside of transactions only after
	// muteTime.
	mute     bool
	draining bool
	// drainingAt is when the store got the report that the member is draining.
	drainingAt time.Time
	// unreachable is true if no daemon reaches the member; the other members do.
	unreachable bool
	// cutFromStore is true if the member's reports don't reach the store.
	cutFromStore bool
	startedAt    int64
	slots        chan struct{}
	conns        map[net.Conn]bool
}

// maxConnections is the maximum number of connections of a member.
const maxConnections = 12

// muteTime is longer than any statement may take.
const muteTime = 2500 * time.Millisecond

// backendSession is a daemon's connection to a member.
type backendSession struct {
	member *member
	conn   net.Conn
	// writing serializes writes to conn.
	writing sync.Mutex
	// answer holds the messages of the answer that is being made.
	answer []byte
	// held is an answer that is repeated once the next message has arrived.
	held   []byte
	values map[string]string
	// prepared maps names to what was prepared under them: READ or WRITE and the shape.
	prepared map[string]string
	// state is I (idle), T (in a transaction) or E (in a failed transaction),
	// as in READY.
	state byte
	// writes are those of the open transaction.
	writes []write
	// transactionSessionID is the ID of the client session whose transaction is
	// open.
	transactionSessionID string
	// who is the name that was told when the connection was opened.
	who string
	// incarnation is the member's incarnation when the connection was opened.
	incarnation int
}

func (m *member) acceptConnections() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		down, full := m.down || m.unreachable, len(m.conns) >= maxConnections
		incarnation := m.incarnation
		if !down {
			m.conns[c] = true
		}
		m.group.mu.Unlock()
		if down {
			_ = c.Close()
			continue
		}
		m.site.tasks.Go(func() error {
			m.serveConnection(c, full, incarnation)
			return nil
		})
	}
}

func (m *member) serveConnection(c net.Conn, full bool, incarnation int) {
	defer func() {
		m.group.mu.Lock()
		delete(m.conns, c)
		m.group.mu.Unlock()
		_ = c.Close()
	}()
	s := &backendSession{member: m, conn: c, values: map[string]string{}, prepared: map[string]string{}, state: 'I', incarnation: incarnation}
	r := bufio.NewReader(c)
	for {
		k, fields, err := ReadMessage(r)
		if err != nil {
			return
		}
		s.sendHeld()
		if !s.handleMessage(k, fields, full) {
			return
		}
		m.group.mu.Lock()
		p := m.group.appliedPosition(m, time.Now())
		ended := m.down || s.incarnation != m.incarnation
		m.group.mu.Unlock()
		if ended {
			return
		}
		s.add("READY", string(s.state), p.String())
		if s.sendAnswer(k) != nil {
			return
		}
	}
}

// handleMessage makes the answer to a message, except for its end, and reports whether the
// session goes on.
func (s *backendSession) handleMessage(kind, fields string, full bool) bool {
	switch kind {
	case "START":
		if full {
			return s.refuse("TOOMANY")
		}
		return s.start(strings.SplitN(fields, " ", 3))
	case "QUERY":
		s.handleQuery(cutWord(fields))
		return true
	case "TERMINATE":
	default:
		s.member.site.reportViolation("UNASKED", "%s got the message %s of an unknown kind", s.member.id, quote(kind+" "+fields))
	}
	return false
}

// start takes note of the name in the fields of START, and reports whether they name this
// member and its group.
func (s *backendSession) start(f []string) bool {
	if len(f) < 2 {
		return s.refuse("MALFORMED")
	}
	s.who = f[1]
	s.member.site.checkName(s.who)
	if f[0] == s.member.group.name && (len(f) == 2 || f[2] == s.member.id) {
		return true
	}
	return s.refuse("WRONGNODE")
}

// handleQuery runs the statement of a QUERY line. A leading "AFTER position"
// requires the member to have applied that position.
func (s *backendSession) handleQuery(id, text string) {
	g := s.member.group
	s.checkDrain(id, text)
	var after Position
	if arguments, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, t := cutWord(arguments)
		_, _ = fmt.Sscanf(p, "%d.%d", &after.Term, &after.Number)
		text = t
	}
	w, arguments := cutWord(text)
	switch w {
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		s.sendComplete("-")
	case "SET":
		n, v := cutWord(arguments)
		s.values[n] = v
		s.sendComplete("-")
	case "PREPARE":
		n, v := cutWord(arguments)
		s.prepared[n] = v
		s.sendComplete("-")
	case "DEALLOCATE":
		delete(s.prepared, arguments)
		s.sendComplete("-")
	case "STATUS":
		s.sendStatus()
	case "DEMOTE":
		g.mu.Lock()
		g.demote(s.member)
		g.mu.Unlock()
		s.sendStatus()
	case "BEGIN":
		s.beginTransaction(id, text, after)
	case "ROLLBACK":
		s.state, s.writes = 'I', nil
		s.sendComplete("-")
	case "COMMIT":
		s.commitTransaction(id, text)
	default:
		s.runStatement(id, text, after)
	}
}

// checkDrain reports new work of a client that reaches a member later than DrainTime after the
// store's report that it is draining.
func (s *backendSession) checkDrain(id, text string) {
	m, d := s.member, s.member.site.config.DrainTime
	if d == 0 || id == "-" || s.state != 'I' {
		return
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if t := time.Since(m.drainingAt); m.draining && t > d && !m.site.drainsExcused() {
		m.site.reportViolation("DRAIN", "%s got %s %s after the report that it is draining", m.id, quote(text), t)
	}
}

func (s *backendSession) sendStatus() {
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if s.member.primary {
		role = "primary"
	}
	s.add("ROW", role, strconv.Itoa(s.member.term), s.member.receivedPosition().String(), "0 12 2", strconv.Itoa(len(s.member.conns)))
	s.sendComplete("-")
}

// beginTransaction opens a transaction, with BEGIN READ a read-only one.
func (s *backendSession) beginTransaction(id, text string, after Position) {
	if id != "-" {
		s.member.site.checkStatement(id, text, s)
	}
	g := s.member.group
	g.mu.Lock()
	primary, behind := s.member.primary, g.appliedPosition(s.member, time.Now()).less(after)
	g.mu.Unlock()
	switch {
	case text != "BEGIN READ" && !primary:
		s.sendError("READONLY")
	case behind:
		s.sendError("LAGGING")
	default:
		s.state, s.transactionSessionID = 'T', s.member.site.sessionIDOf(id)
		s.sendComplete("-")
	}
}

// commitTransaction commits the open transaction and appends its writes, if
// any, to the log.
func (s *backendSession) commitTransaction(id, text string) {
	if id != "-" || len(s.writes) > 0 {
		s.member.site.checkStatement(id, text, s)
	}
	s.member.slots <- struct{}{}
	defer func() { <-s.member.slots }()
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.member.down || s.incarnation != s.member.incarnation {
		return
	}
	s.state = 'I'
	w := s.writes
	s.writes = nil
	if len(w) > 0 {
		if !s.member.primary {
			s.sendError("READONLY")
			return
		}
		c := &logEntry{writes: w, commitID: id, sessionID: s.transactionSessionID}
		g.appendEntry(s.member, c, time.Now())
		if !g.awaitReplicas(s, c) {
			return
		}
	}
	s.sendSigned(id, nil)
}

// resolve returns the verb and the arguments of a statement, for EXECUTE those of the
// prepared one. It sends an error and returns false if there is none of that name.
func (s *backendSession) resolve(id, text string) (verb, arguments string, ok bool) {
	verb, arguments = cutWord(text)
	if verb != "EXECUTE" {
		return verb, arguments, true
	}
	n, arguments := cutWord(arguments)
	p, ok := s.prepared[n]
	s.member.site.checkPrepared(id, p)
	if !ok {
		s.sendError("UNKNOWN")
		return "", "", false
	}
	verb, _ = cutWord(p)
	return verb, arguments, true
}

// runStatement runs a READ or WRITE statement, directly or by EXECUTE of a
// prepared one.
func (s *backendSession) runStatement(id, text string, after Position) {
	g, at := s.member.group, s.member.site
	r := at.checkStatement(id, text, s)
	verb, arguments, ok := s.resolve(id, text)
	if !ok {
		return
	}
	if g.isBusy() {
		s.sendError("BUSY")
		return
	}
	s.member.slots <- struct{}{}
	time.Sleep(at.config.StatementTime)
	g.mu.Lock()
	mute := s.member.mute && verb == "READ" && s.state == 'I'
	g.mu.Unlock()
	if mute {
		time.Sleep(muteTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	<-s.member.slots
	now := time.Now()
	switch {
	case s.member.down || s.incarnation != s.member.incarnation:
		return
	case verb != "READ" && verb != "WRITE":
		s.sendError("MALFORMED")
		return
	case g.appliedPosition(s.member, now).less(after):
		s.sendError("LAGGING")
		return
	case verb == "WRITE" && !s.member.primary:
		s.sendError("READONLY")
		return
	case verb == "READ":
		if s.state == 'I' {
			g.checkRead(s.member, r, now)
		}
		s.sendSigned(id, s.rows(arguments, now))
		return
	}
	s.runWrite(id, arguments, now)
}

// runWrite adds a write to the open transaction, or commits it; the group's mutex is held.
func (s *backendSession) runWrite(id, arguments string, now time.Time) {
	g := s.member.group
	item, data := cutWord(arguments)
	w := write{item: item, data: data, id: id}
	if s.state == 'T' {
		s.writes = append(s.writes, w)
	} else {
		c := &logEntry{writes: []write{w}, sessionID: s.member.site.sessionIDOf(id)}
		g.appendEntry(s.member, c, now)
		if !g.awaitReplicas(s, c) {
			return
		}
	}
	s.sendSigned(id, nil)
}

// maxRows is the greatest number of rows that hold writes.
const maxRows = 3

// rows returns the rows of a read: the newest writes of an item that the member has
// applied, each as its data and its ID, and at times another row.
func (s *backendSession) rows(item string, now time.Time) []string {
	var o []string
	l := s.member.group.appliedEntries(s.member, now)
	for i := len(l) - 1; i >= 0 && len(o) < maxRows; i-- {
		for _, w := range l[i].writes {
			if w.item == item {
				o = append(o, w.data+" "+w.id)
			}
		}
	}
	if len(l)%2 == 0 {
		o = append(o, s.member.site.signer.ending(uint64(len(l)/2)))
	}
	return o
}
