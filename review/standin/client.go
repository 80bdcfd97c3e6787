package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// client is a caller with one session.
type client struct {
	s    *site
	name string
	n    int
	conn net.Conn
	r    *bufio.Reader
}

// answer is what a client got for a statement.
type answer struct {
	// success is set for COMPLETE, code is that of an ERROR, "closed" if the connection
	// ended or the answer took too long.
	success  bool
	code     string
	state    string
	position string
	rows     []string
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// open starts a session at a daemon.
func (c *client) open(address, database string) bool {
	var err error
	if c.conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
		c.conn = nil
		return false
	}
	c.r = bufio.NewReader(c.conn)
	_ = c.conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "START %s %s\r\n", database, c.name); err != nil {
		c.close()
		return false
	}
	if a := c.read(); a.state != "I" {
		c.close()
		return false
	}
	return true
}

// read reads an answer.
func (c *client) read() answer {
	var a answer
	for {
		l, err := c.r.ReadString('\n')
		if err != nil {
			return answer{code: "closed"}
		}
		f := strings.Fields(l)
		switch {
		case len(f) == 0:
			return answer{code: "closed"}
		case f[0] == "ROW":
			a.rows = append(a.rows, strings.TrimSuffix(strings.TrimPrefix(l, "ROW "), "\r\n"))
		case f[0] == "COMPLETE":
			a.success = true
		case f[0] == "ERROR":
			a.code = f[1]
		case f[0] == "READY":
			a.state, a.position = f[1], f[2]
			return a
		}
	}
}

// query sends a statement and returns its ID and the answer.
func (c *client) query(text string, d time.Duration) (string, answer) {
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	_ = c.conn.SetDeadline(time.Now().Add(d))
	t := time.Now()
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, answer{code: "closed"}
	}
	a := c.read()
	c.s.event("%s %q -> success %v %s %s %s, %d ms", id, text, a.success, a.code, a.state, a.position, time.Since(t).Milliseconds())
	return id, a
}

// acknowledged takes note that a client was told that its commit has succeeded.
func (s *site) acknowledged(g *group, id string) {
	t := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.commits[id]
	if e == nil {
		s.event("%s succeeded, but no member has committed it", id)
		return
	}
	e.acknowledged = t
	if p, ok := g.promotedAt[e.term+1]; ok && e.committed.After(p) {
		s.broken("ONE: %s was committed at the old primary (%s) %d ms after the promotion of term %d had taken effect, and the client was told success; the log of term %d ends at %d without it",
			id, e.position(), e.committed.Sub(p).Milliseconds(), e.term+1, e.term, g.promoted[e.term+1][len(g.promoted[e.term+1])-1].number)
	}
}

// transactions runs transactions of one write and a commit, with a pause between them,
// until done is closed.
func (s *site) transactions(i int, g *group, database string, pause func() time.Duration, done <-chan struct{}) {
	c := &client{s: s, name: fmt.Sprintf("c%d", i)}
	defer c.close()
	for {
		select {
		case <-done:
			return
		default:
		}
		if c.conn == nil && !c.open(s.hosts[i%len(s.hosts)].front, database) {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if !c.transaction(g, pause()) {
			c.close()
		}
		time.Sleep(time.Duration(rand.Int64N(int64(200 * time.Millisecond))))
	}
}

// transaction runs one transaction, and reports whether the session goes on.
func (c *client) transaction(g *group, pause time.Duration) bool {
	if _, a := c.query("BEGIN", 2*time.Second); !a.success {
		return false
	}
	if _, a := c.query(fmt.Sprintf("WRITE k%d v%d", rand.IntN(2000), c.n), 2*time.Second); !a.success {
		return false
	}
	time.Sleep(pause)
	id, a := c.query("COMMIT", 2*time.Second)
	if a.success {
		c.s.acknowledged(g, id)
	}
	return a.success && a.state == "I"
}

// writes runs single writes until done is closed.
func (s *site) writes(i int, g *group, database string, done <-chan struct{}) {
	c := &client{s: s, name: fmt.Sprintf("w%d", i)}
	defer c.close()
	for {
		select {
		case <-done:
			return
		default:
		}
		if c.conn == nil && !c.open(s.hosts[i%len(s.hosts)].front, database) {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		id, a := c.query(fmt.Sprintf("WRITE k%d v%d", rand.IntN(2000), c.n), 2*time.Second)
		if a.success {
			s.acknowledged(g, id)
		}
		if a.code == "closed" {
			c.close()
		}
		time.Sleep(time.Duration(rand.Int64N(int64(60 * time.Millisecond))))
	}
}

// load starts n clients; the returned function ends them.
func (s *site) load(n int, run func(i int, done <-chan struct{})) (end func()) {
	done := make(chan struct{})
	var w sync.WaitGroup
	for i := range n {
		w.Add(1)
		go func() {
			defer w.Done()
			run(i, done)
		}()
	}
	return func() {
		close(done)
		w.Wait()
	}
}
