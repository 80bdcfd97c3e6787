package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// tap forwards the connections to one address, and records the messages that pass.
type tap struct {
	name     string
	target   string
	record   *record
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]bool
	starts []arrival
	// healed is closed while bytes pass; during a cut they are held back.
	healed chan struct{}
}

// arrival is a single statement, or the first message of a transaction, that a member has
// received.
type arrival struct {
	at    time.Time
	id    string
	write bool
}

func newTap(name, target string, r *record) (*tap, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &tap{name: name, target: target, record: r, listener: l, conns: map[net.Conn]bool{}, healed: make(chan struct{})}
	close(t.healed)
	go t.accept()
	return t, nil
}

func (t *tap) address() string { return t.listener.Addr().String() }

func (t *tap) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.forward(c)
	}
}

func (t *tap) forward(c net.Conn) {
	t.await()
	d, err := net.Dial("tcp", t.target)
	if err != nil {
		_ = c.Close()
		return
	}
	t.mu.Lock()
	t.conns[c], t.conns[d] = true, true
	t.mu.Unlock()
	s := &passing{tap: t, state: "I"}
	go func() {
		s.pass(c, d, s.request)
		_ = d.Close()
	}()
	s.pass(d, c, s.answer)
	_ = c.Close()
	t.mu.Lock()
	delete(t.conns, c)
	delete(t.conns, d)
	t.mu.Unlock()
}

// cut holds all bytes back for a time.
func (t *tap) cut(d time.Duration) {
	t.record.note("%s is cut off for %s", t.name, d)
	t.mu.Lock()
	t.healed = make(chan struct{})
	t.mu.Unlock()
	time.AfterFunc(d, func() {
		t.record.note("%s is reached again", t.name)
		t.mu.Lock()
		defer t.mu.Unlock()
		close(t.healed)
	})
}

// await waits until bytes pass.
func (t *tap) await() {
	t.mu.Lock()
	c := t.healed
	t.mu.Unlock()
	<-c
}

func (t *tap) stop() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

// passing is one forwarded connection.
type passing struct {
	tap *tap

	mu sync.Mutex
	// state is that of the last answer.
	state string
}

// pass forwards messages, each of which ends with CR LF.
func (s *passing) pass(from, to net.Conn, see func(string)) {
	r := bufio.NewReader(from)
	for {
		m, err := readMessage(r)
		s.tap.await()
		if m != "" {
			see(m)
			if _, err := fmt.Fprint(to, m); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func readMessage(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		p, err := r.ReadString('\n')
		b.WriteString(p)
		if err != nil || strings.HasSuffix(b.String(), "\r\n") {
			return b.String(), err
		}
	}
}

// shortened is what the record holds of a message.
func shortened(m string) string {
	m = strings.TrimSpace(m)
	return fmt.Sprintf("%.100q", m)
}

func (s *passing) request(m string) {
	s.tap.record.line("%s <- %s", s.tap.name, shortened(m))
	f := strings.SplitN(strings.TrimSpace(m), " ", 3)
	if len(f) < 3 || f[0] != "QUERY" || f[1] == "-" {
		return
	}
	s.mu.Lock()
	idle := s.state == "I"
	s.mu.Unlock()
	if !idle {
		return
	}
	w := strings.HasPrefix(f[2], "WRITE") || f[2] == "BEGIN"
	s.tap.mu.Lock()
	s.tap.starts = append(s.tap.starts, arrival{at: time.Now(), id: f[1], write: w})
	s.tap.mu.Unlock()
}

func (s *passing) answer(m string) {
	s.tap.record.line("%s -> %s", s.tap.name, shortened(m))
	if f := strings.Fields(m); len(f) > 1 && f[0] == "READY" {
		s.mu.Lock()
		s.state = f[1]
		s.mu.Unlock()
	}
}
