package site

import (
	"bufio"
	"fmt"
	"net"
	"strings"
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
	member   *member
	conn     net.Conn
	writer   *bufio.Writer
	values   map[string]string
	prepared map[string]string
	// state is I (idle), T (in a transaction) or E (in a failed transaction),
	// as in READY.
	state byte
	// writes maps the keys that the open transaction wrote to the IDs of the
	// writes.
	writes map[string]string
	// statementIDs are the IDs of the writes of the open transaction.
	statementIDs []string
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
	s := &backendSession{member: m, conn: c, writer: bufio.NewWriter(c), values: map[string]string{}, prepared: map[string]string{}, state: 'I', incarnation: incarnation}
	r := bufio.NewReader(c)
	for {
		t, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(t, "\r\n"), " ", 3)
		switch {
		case f[0] == "START" && full:
			fmt.Fprintf(s.writer, "ERROR TOOMANY %s\r\n", m.id)
			_ = s.writer.Flush()
			return
		case f[0] == "START":
			if !s.start(strings.Fields(t)) {
				return
			}
		case f[0] == "QUERY" && len(f) == 3:
			s.handleQuery(f[1], f[2])
		default:
			return
		}
		m.group.mu.Lock()
		p := m.group.appliedPosition(m, time.Now())
		ended := m.down || s.incarnation != m.incarnation
		m.group.mu.Unlock()
		if ended {
			return
		}
		fmt.Fprintf(s.writer, "READY %c %s\r\n", s.state, p)
		if s.writer.Flush() != nil {
			return
		}
	}
}

// start takes note of the name in a START line, and reports whether the line names this
// member and its group.
func (s *backendSession) start(f []string) bool {
	s.who = f[2]
	s.member.site.checkName(s.who)
	if f[1] == s.member.group.name && (len(f) <= 3 || f[3] == s.member.id) {
		return true
	}
	fmt.Fprintf(s.writer, "ERROR WRONGNODE %s\r\n", s.member.id)
	_ = s.writer.Flush()
	return false
}

func (s *backendSession) sendError(code string) {
	fmt.Fprintf(s.writer, "ERROR %s %s\r\n", code, s.member.id)
	if s.state == 'T' {
		s.state = 'E'
	}
}

func (s *backendSession) sendComplete(signature string) {
	fmt.Fprintf(s.writer, "COMPLETE %s\r\n", signature)
}

// handleQuery runs the statement of a QUERY line. A leading "AFTER position"
// requires the member to have applied that position.
func (s *backendSession) handleQuery(id, text string) {
	g := s.member.group
	var after Position
	if arguments, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, t, _ := strings.Cut(arguments, " ")
		_, _ = fmt.Sscanf(p, "%d.%d", &after.Term, &after.Number)
		text = t
	}
	w, arguments, _ := strings.Cut(text, " ")
	switch w {
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		s.sendComplete("-")
	case "SET":
		n, v, _ := strings.Cut(arguments, " ")
		s.values[n] = v
		s.sendComplete("-")
	case "PREPARE":
		n, v, _ := strings.Cut(arguments, " ")
		s.prepared[n] = v
		s.sendComplete("-")
	case "STATUS":
		s.sendStatus()
	case "DEMOTE":
		g.mu.Lock()
		g.demote(s.member)
		g.mu.Unlock()
		s.sendStatus()
	case "BEGIN":
		s.beginTransaction(id, arguments, after)
	case "ROLLBACK":
		s.state, s.writes, s.statementIDs = 'I', nil, nil
		s.sendComplete("-")
	case "COMMIT":
		s.commitTransaction(id)
	default:
		s.runStatement(id, w, arguments, text, after)
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
	fmt.Fprintf(s.writer, "ROW %s %d %s 0 12 2 %d\r\n", role, s.member.term, s.member.receivedPosition(), len(s.member.conns))
	s.sendComplete("-")
}

// beginTransaction opens a transaction; mode is READ for a read-only one,
// otherwise empty.
func (s *backendSession) beginTransaction(id, mode string, after Position) {
	g := s.member.group
	g.mu.Lock()
	primary, behind := s.member.primary, g.appliedPosition(s.member, time.Now()).less(after)
	g.mu.Unlock()
	switch {
	case mode == "" && !primary:
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
func (s *backendSession) commitTransaction(id string) {
	s.member.slots <- struct{}{}
	defer func() { <-s.member.slots }()
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.member.down || s.incarnation != s.member.incarnation {
		return
	}
	s.state = 'I'
	w, a := s.writes, s.statementIDs
	s.writes, s.statementIDs = nil, nil
	if len(a) > 0 {
		if !s.member.primary {
			s.sendError("READONLY")
			return
		}
		c := &logEntry{writes: w, statementIDs: append(a, id), sessionID: s.transactionSessionID}
		g.appendEntry(s.member, c, time.Now())
		if !g.awaitReplicas(s, c) {
			return
		}
	}
	s.sendComplete("sig-" + id)
}

// runStatement runs a READ or WRITE statement, directly or by EXECUTE of a
// prepared one.
func (s *backendSession) runStatement(id, verb, arguments, text string, after Position) {
	g, at := s.member.group, s.member.site
	if verb == "EXECUTE" {
		n, a, _ := strings.Cut(arguments, " ")
		k, ok := s.prepared[n]
		if !ok {
			s.sendError("UNKNOWN")
			return
		}
		verb, _, _ = strings.Cut(k, " ")
		arguments = a
	}
	r := at.checkStatement(id, text, s)
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
		s.sendRow(arguments, now)
	case s.state == 'T':
		if s.writes == nil {
			s.writes = map[string]string{}
		}
		s.writes[arguments] = id
		s.statementIDs = append(s.statementIDs, id)
	default:
		c := &logEntry{writes: map[string]string{arguments: id}, statementIDs: []string{id}, sessionID: at.sessionIDOf(id)}
		g.appendEntry(s.member, c, now)
		if !g.awaitReplicas(s, c) {
			return
		}
	}
	s.sendComplete("sig-" + id)
}

// sendRow sends the newest value of a key that the member has applied.
func (s *backendSession) sendRow(key string, now time.Time) {
	v := "-"
	for _, c := range s.member.group.appliedEntries(s.member, now) {
		if x, ok := c.writes[key]; ok {
			v = x
		}
	}
	fmt.Fprintf(s.writer, "ROW %s\r\n", v)
}
