package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// session is a connection of a daemon.
type session struct {
	m        *member
	life     int
	state    byte
	readOnly bool
	values   map[string]string
	prepared map[string]string
	ids      []string
	keys     []string
}

func (m *member) serve(c net.Conn, full bool, life int) {
	defer func() {
		m.g.mu.Lock()
		delete(m.conns, c)
		m.g.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	s := &session{m: m, life: life, state: 'I', values: map[string]string{}, prepared: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		var out string
		switch {
		case f[0] == "START" && len(f) == 3:
			if w := strings.Fields(f[2]); f[1] != m.g.name || len(w) > 1 && w[1] != m.id {
				_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", m.id)
				return
			}
			if full {
				_, _ = fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", m.id)
				return
			}
			m.slots <- struct{}{}
			time.Sleep(m.g.s.opening)
			<-m.slots
		case f[0] == "QUERY" && len(f) == 3:
			out = s.query(f[1], f[2])
		default:
			return
		}
		m.g.mu.Lock()
		ended, cut := !m.running || m.life != life, m.frontsCut
		p := position(m.log[:m.applied()])
		m.g.mu.Unlock()
		if ended {
			return
		}
		if cut {
			// The answer is held up; the connection stays silent.
			for cut {
				time.Sleep(20 * time.Millisecond)
				m.g.mu.Lock()
				cut = m.frontsCut
				m.g.mu.Unlock()
			}
		}
		if _, err := fmt.Fprintf(c, "%sREADY %c %s\r\n", out, s.state, p); err != nil {
			return
		}
	}
}

func (s *session) fail(code string) string {
	if s.state == 'T' {
		s.state = 'E'
	}
	return "ERROR " + code + " " + s.m.id + "\r\n"
}

const complete = "COMPLETE -\r\n"

func (s *session) signed() string {
	return fmt.Sprintf("COMPLETE %s.%016x\r\n", s.m.id, rand.Uint64())
}

// work takes a slot for a time, and reports false if too many wait for one.
func (s *session) work(d time.Duration) bool {
	m := s.m
	m.g.mu.Lock()
	if m.waiting >= m.g.s.queue {
		m.g.mu.Unlock()
		return false
	}
	m.waiting++
	m.g.mu.Unlock()
	m.slots <- struct{}{}
	m.g.mu.Lock()
	m.waiting--
	m.g.mu.Unlock()
	time.Sleep(d)
	<-m.slots
	return true
}

// query runs a statement and returns the answer up to READY.
func (s *session) query(id, text string) string {
	m, g := s.m, s.m.g
	term, number := 0, 0
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, t, _ := strings.Cut(rest, " ")
		_, _ = fmt.Sscanf(p, "%d.%d", &term, &number)
		text = t
	}
	if g.received != nil {
		g.received(m, id, text)
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		return s.fail("MALFORMED")
	}
	switch word {
	case "RESET", "SET", "PREPARE", "DEALLOCATE":
		s.setUp(word, rest)
		return complete
	case "STATUS":
		if !s.work(time.Millisecond) {
			return s.fail("BUSY")
		}
		return s.status()
	case "DEMOTE":
		return s.demote(rest)
	case "BEGIN":
		return s.begin(rest == "READ", term, number)
	case "ROLLBACK":
		s.state, s.ids, s.keys = 'I', nil, nil
		return complete
	case "COMMIT":
		return s.commit(id)
	case "EXECUTE":
		n, a, _ := strings.Cut(rest, " ")
		v, ok := s.prepared[n]
		if !ok {
			return s.fail("UNKNOWN")
		}
		word, _, _ = strings.Cut(v, " ")
		rest = a
	}
	return s.run(id, word, rest, term, number)
}

// setUp changes the values and prepared names of the session.
func (s *session) setUp(word, rest string) {
	n, v, _ := strings.Cut(rest, " ")
	switch word {
	case "RESET":
		clear(s.values)
		clear(s.prepared)
	case "SET":
		s.values[n] = v
	case "PREPARE":
		s.prepared[n] = v
	case "DEALLOCATE":
		delete(s.prepared, rest)
	}
}

// demote makes a primary of a lower term a replica.
func (s *session) demote(rest string) string {
	g, m := s.m.g, s.m
	n, _ := strconv.Atoi(rest)
	g.mu.Lock()
	if m.primary && m.term < n {
		g.follow(m)
	}
	g.mu.Unlock()
	return s.status()
}

func (s *session) status() string {
	g, m := s.m.g, s.m
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s 0 8 0 %d\r\n%s", role, m.term, position(m.log), len(m.conns), complete)
}

// lacks reports whether the log that a member has applied lacks a position; g.mu is held.
func (m *member) lacks(term, number int) bool {
	if term == 0 {
		return false
	}
	e := last(m.log[:m.applied()])
	return e.number < number || e.term < term && e.number == number
}

func (s *session) begin(readOnly bool, term, number int) string {
	g := s.m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case s.m.lacks(term, number):
		return s.fail("LAGGING")
	case !readOnly && !s.m.primary:
		return s.fail("READONLY")
	}
	s.state, s.readOnly, s.ids, s.keys = 'T', readOnly, nil, nil
	return complete
}

// run runs a read or a write.
func (s *session) run(id, word, rest string, term, number int) string {
	m, g := s.m, s.m.g
	if !s.work(g.s.work()) {
		return s.fail("BUSY")
	}
	key, _, _ := strings.Cut(rest, " ")
	g.mu.Lock()
	if !m.running || m.life != s.life {
		g.mu.Unlock()
		return ""
	}
	if word == "READ" && g.read != nil && s.state == 'I' {
		g.read(m, id)
	}
	switch {
	case m.lacks(term, number):
		defer g.mu.Unlock()
		return s.fail("LAGGING")
	case (word == "WRITE" || s.state == 'T' && !s.readOnly) && !m.primary:
		defer g.mu.Unlock()
		return s.fail("READONLY")
	case word == "READ":
		defer g.mu.Unlock()
		v := m.value(key)
		if g.row != nil {
			v = g.row(key)
		}
		return "ROW " + v + "\r\n" + s.signed()
	case s.state == 'T':
		defer g.mu.Unlock()
		s.ids, s.keys = append(s.ids, id), append(s.keys, key)
		return s.signed()
	}
	e := m.commit([]string{id}, []string{key})
	g.mu.Unlock()
	if g.s.syncReplicas > 0 && !m.awaitReplica(e, s.life) {
		return s.fail("INDOUBT")
	}
	return s.signed()
}

// value returns the position of the last write of a key that the member has applied;
// g.mu is held.
func (m *member) value(key string) string {
	for i := m.applied() - 1; i >= 0; i-- {
		if slices.Contains(m.log[i].keys, key) {
			return m.log[i].position()
		}
	}
	return "-"
}

// commit ends a transaction.
func (s *session) commit(id string) string {
	m, g := s.m, s.m.g
	if s.state == 'E' {
		s.state, s.ids, s.keys = 'I', nil, nil
		return s.fail("ABORTED")
	}
	if !s.work(g.s.work()) {
		return s.fail("BUSY")
	}
	g.mu.Lock()
	if !m.running || m.life != s.life {
		g.mu.Unlock()
		return ""
	}
	ids, keys := s.ids, s.keys
	s.state, s.ids, s.keys = 'I', nil, nil
	if len(ids) == 0 {
		g.mu.Unlock()
		return s.signed()
	}
	if !m.primary {
		g.mu.Unlock()
		return s.fail("READONLY")
	}
	e := m.commit(append(ids, id), keys)
	g.mu.Unlock()
	if g.s.syncReplicas > 0 && !m.awaitReplica(e, s.life) {
		return s.fail("INDOUBT")
	}
	return s.signed()
}
