package site

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// member is a backend server. Its fields are guarded by its group's mutex.
type member struct {
	id      string
	g       *group
	site    *Site
	l       net.Listener
	primary bool
	term    int
	log     []*commit
	down    bool
	// life counts the member's starts; what ran in an earlier one ended with it.
	life int
	// deaf tells that it receives nothing.
	deaf     bool
	draining bool
	born     int64
	slots    chan struct{}
	conns    map[net.Conn]bool
}

// maxConns is the greatest number of connections of a member.
const maxConns = 12

// session is a connection to a member.
type session struct {
	m        *member
	c        net.Conn
	w        *bufio.Writer
	values   map[string]string
	prepared map[string]string
	state    byte
	writes   map[string]string
	attempts []string
	owner    string
	// life is that of the member when the connection was opened.
	life int
}

func (m *member) serve() {
	for {
		c, err := m.l.Accept()
		if err != nil {
			return
		}
		m.g.mu.Lock()
		down, full := m.down, len(m.conns) >= maxConns
		life := m.life
		if !down {
			m.conns[c] = true
		}
		m.g.mu.Unlock()
		if down {
			_ = c.Close()
			continue
		}
		m.site.group.Go(func() error {
			m.talk(c, full, life)
			return nil
		})
	}
}

func (m *member) talk(c net.Conn, full bool, life int) {
	defer func() {
		m.g.mu.Lock()
		delete(m.conns, c)
		m.g.mu.Unlock()
		_ = c.Close()
	}()
	s := &session{m: m, c: c, w: bufio.NewWriter(c), values: map[string]string{}, prepared: map[string]string{}, state: 'I', life: life}
	r := bufio.NewReader(c)
	for {
		t, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(t, "\r\n"), " ", 3)
		switch {
		case f[0] == "START" && full:
			fmt.Fprintf(s.w, "ERROR TOOMANY %s\r\n", m.id)
			_ = s.w.Flush()
			return
		case f[0] == "START":
			if id := strings.Fields(t); id[1] != m.g.name || len(id) > 3 && id[3] != m.id {
				fmt.Fprintf(s.w, "ERROR WRONGNODE %s\r\n", m.id)
				_ = s.w.Flush()
				return
			}
		case f[0] == "QUERY" && len(f) == 3:
			s.query(f[1], f[2])
		default:
			return
		}
		m.g.mu.Lock()
		p := m.g.position(m, time.Now())
		ended := m.down || s.life != m.life
		m.g.mu.Unlock()
		if ended {
			return
		}
		fmt.Fprintf(s.w, "READY %c %s\r\n", s.state, p)
		if s.w.Flush() != nil {
			return
		}
	}
}

func (s *session) fail(code string) {
	fmt.Fprintf(s.w, "ERROR %s %s\r\n", code, s.m.id)
	if s.state == 'T' {
		s.state = 'E'
	}
}

func (s *session) done(signature string) { fmt.Fprintf(s.w, "COMPLETE %s\r\n", signature) }

// query runs a query text.
func (s *session) query(id, text string) {
	g := s.m.g
	var after Position
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, t, _ := strings.Cut(rest, " ")
		_, _ = fmt.Sscanf(p, "%d.%d", &after.Term, &after.Number)
		text = t
	}
	w, rest, _ := strings.Cut(text, " ")
	switch w {
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		s.done("-")
	case "SET":
		n, v, _ := strings.Cut(rest, " ")
		s.values[n] = v
		s.done("-")
	case "PREPARE":
		n, v, _ := strings.Cut(rest, " ")
		s.prepared[n] = v
		s.done("-")
	case "STATUS":
		s.status()
	case "DEMOTE":
		g.mu.Lock()
		g.demote(s.m)
		g.mu.Unlock()
		s.status()
	case "BEGIN":
		s.begin(id, rest, after)
	case "ROLLBACK":
		s.state, s.writes, s.attempts = 'I', nil, nil
		s.done("-")
	case "COMMIT":
		s.commit(id)
	default:
		s.run(id, w, rest, text, after)
	}
}

func (s *session) status() {
	g := s.m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if s.m.primary {
		role = "primary"
	}
	fmt.Fprintf(s.w, "ROW %s %d %s 0 12 2 %d\r\n", role, s.m.term, s.m.received(), len(s.m.conns))
	s.done("-")
}

func (s *session) begin(id, how string, after Position) {
	g := s.m.g
	g.mu.Lock()
	primary, behind := s.m.primary, g.position(s.m, time.Now()).less(after)
	g.mu.Unlock()
	switch {
	case how == "" && !primary:
		s.fail("READONLY")
	case behind:
		s.fail("LAGGING")
	default:
		s.state, s.owner = 'T', s.m.site.sessionOf(id)
		s.done("-")
	}
}

func (s *session) commit(id string) {
	s.m.slots <- struct{}{}
	defer func() { <-s.m.slots }()
	g := s.m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.m.down || s.life != s.m.life {
		return
	}
	s.state = 'I'
	w, a := s.writes, s.attempts
	s.writes, s.attempts = nil, nil
	if len(a) > 0 {
		if !s.m.primary {
			s.fail("READONLY")
			return
		}
		g.append(s.m, &commit{writes: w, attempts: append(a, id), session: s.owner}, time.Now())
	}
	s.done("sig-" + id)
}

// run runs a read or a write.
func (s *session) run(id, word, rest, text string, after Position) {
	g, at := s.m.g, s.m.site
	if word == "EXECUTE" {
		n, a, _ := strings.Cut(rest, " ")
		k, ok := s.prepared[n]
		if !ok {
			s.fail("UNKNOWN")
			return
		}
		word, _, _ = strings.Cut(k, " ")
		rest = a
	}
	r := at.check(id, text, s)
	s.m.slots <- struct{}{}
	time.Sleep(at.c.Work)
	g.mu.Lock()
	defer g.mu.Unlock()
	<-s.m.slots
	now := time.Now()
	switch {
	case s.m.down || s.life != s.m.life:
		return
	case g.position(s.m, now).less(after):
		s.fail("LAGGING")
		return
	case word == "WRITE" && !s.m.primary:
		s.fail("READONLY")
		return
	case word == "READ":
		if s.state == 'I' {
			g.checkRead(s.m, r, now)
		}
		s.row(rest, now)
	case s.state == 'T':
		if s.writes == nil {
			s.writes = map[string]string{}
		}
		s.writes[rest] = id
		s.attempts = append(s.attempts, id)
	default:
		g.append(s.m, &commit{writes: map[string]string{rest: id}, attempts: []string{id}, session: at.sessionOf(id)}, now)
	}
	s.done("sig-" + id)
}

// row sends the newest value of an item.
func (s *session) row(item string, now time.Time) {
	v := "-"
	for _, c := range s.m.g.applied(s.m, now) {
		if x, ok := c.writes[item]; ok {
			v = x
		}
	}
	fmt.Fprintf(s.w, "ROW %s\r\n", v)
}
