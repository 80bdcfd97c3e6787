package site

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Accepted ages of the databases that the site configures.
const (
	boundedAge = 400 * time.Millisecond
	ownAge     = 800 * time.Millisecond
)

// start stands for the id of the message that opens a session, whose refusal
// ends the connection.
const start = "start"

// clientTimeout bounds the wait for an answer.
const clientTimeout = 4 * time.Second

// Outcome counts how operations ended.
type Outcome struct {
	mu sync.Mutex
	// Served, Refused, Doubtful and Cut count operations; Longest is the longest
	// time between two served writes on a primary database.
	Served, Refused, Doubtful, Cut int
	Longest                        time.Duration
	last                           time.Time
	// refused and acknowledged hold the ids of writes by what was said of them.
	refused, acknowledged []string
}

// Client is one caller's session.
type Client struct {
	s    *Site
	o    *Outcome
	r    *rand.Rand
	name string
	n    int
	c    net.Conn
	b    *bufio.Reader
	// session names the connection.
	session string
	kind    string
	values  map[string]string
	// inTx tells that a transaction is open.
	inTx bool
}

// Load runs clients against daemons' addresses for a time and returns how their
// operations ended.
func (s *Site) Load(seed uint64, clients int, d time.Duration, addresses func() []string) *Outcome {
	o := &Outcome{last: time.Now()}
	var w sync.WaitGroup
	for i := range clients {
		w.Go(func() {
			c := &Client{s: s, o: o, r: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprintf("c%d-%d", seed, i)}
			for t := time.Now(); time.Since(t) < d; {
				c.operation(addresses())
				time.Sleep(time.Duration(c.r.IntN(10)) * time.Millisecond)
			}
			c.drop()
		})
	}
	w.Wait()
	return o
}

// Verify checks the writes of a finished load.
func (s *Site) Verify(o *Outcome) {
	count := func(id string) int {
		n := 0
		for _, g := range s.groups {
			n += g.present(id)
		}
		return n
	}
	for _, id := range o.refused {
		if count(id) > 0 {
			s.note("REFUSED", "%s was refused and is kept", id)
		}
	}
	for _, id := range o.acknowledged {
		if count(id) > 1 {
			s.note("TWICE", "%s is kept more than once", id)
		}
	}
}

func (c *Client) drop() {
	if c.c != nil {
		_ = c.c.Close()
		c.c = nil
	}
}

// connect opens a session on a random daemon.
func (c *Client) connect(l []string) bool {
	if c.c != nil && c.r.IntN(8) > 0 {
		return true
	}
	c.drop()
	if len(l) == 0 {
		return false
	}
	k, err := net.DialTimeout("tcp", l[c.r.IntN(len(l))], time.Second)
	if err != nil {
		return false
	}
	c.c, c.b, c.values = k, bufio.NewReader(k), map[string]string{}
	c.n++
	c.session = fmt.Sprintf("%s@%d", c.name, c.n)
	g := c.s.groups[c.r.IntN(len(c.s.groups))]
	c.kind = []string{"primary", "bounded", "own"}[c.r.IntN(3)]
	if _, err := fmt.Fprintf(k, "START %s-%s who\r\n", g.name, c.kind); err != nil {
		c.drop()
		return false
	}
	if code, _, _ := c.answer(start); code != "" {
		c.drop()
		return false
	}
	return true
}

// answer reads up to the end of an answer and returns its error code, the
// session's state and whether the answer was whole.
func (c *Client) answer(id string) (code string, state byte, whole bool) {
	_ = c.c.SetReadDeadline(time.Now().Add(clientTimeout))
	for {
		t, err := c.b.ReadString('\n')
		if err != nil {
			return "CUT", 0, false
		}
		f := strings.Fields(t)
		switch f[0] {
		case "ERROR":
			code = f[1]
			if id == start {
				return code, 0, true
			}
		case "COMPLETE":
			if id != "" && id != start && f[1] != "sig-"+id {
				c.s.note("MIXED", "%s was answered with %s", id, f[1])
			}
		case "READY":
			return code, f[1][0], true
		}
	}
}

// ask sends a statement; signed tells that a member has to run it.
func (c *Client) ask(text string, signed bool) (id, code string, state byte, whole bool) {
	c.n++
	id = fmt.Sprintf("%s.%d", c.name, c.n)
	a := &asked{id: id, session: c.session, text: text, sent: time.Now(), own: c.kind == "own", inTx: c.inTx, values: map[string]string{}}
	for n, v := range c.values {
		a.values[n] = v
	}
	switch c.kind {
	case "bounded":
		a.age = boundedAge
	case "own":
		a.age = ownAge
	}
	c.s.mu.Lock()
	c.s.asked[id] = a
	c.s.mu.Unlock()
	if _, err := fmt.Fprintf(c.c, "QUERY %s %s\r\n", id, text); err != nil {
		return id, "CUT", 0, false
	}
	want := id
	if !signed {
		want = ""
	}
	code, state, whole = c.answer(want)
	return id, code, state, whole
}

// operation runs one operation on a daemon.
func (c *Client) operation(l []string) {
	if !c.connect(l) {
		return
	}
	switch c.r.IntN(5) {
	case 0:
		v := fmt.Sprint(c.r.IntN(3))
		if _, code, _, whole := c.ask("SET v "+v, false); code == "" && whole {
			c.values["v"] = v
			return
		}
		c.drop()
	case 1:
		c.transaction()
	case 2, 3:
		_, code, state, whole := c.ask(fmt.Sprintf("READ k%d", c.r.IntN(20)), true)
		c.count(code, whole, nil, false)
		c.keep(state, whole)
	default:
		id, code, state, whole := c.ask(fmt.Sprintf("WRITE k%d x", c.r.IntN(20)), true)
		c.count(code, whole, []string{id}, true)
		c.keep(state, whole)
	}
}

// keep drops the session unless it is outside of a transaction.
func (c *Client) keep(state byte, whole bool) {
	if !whole || state != 'I' {
		c.drop()
	}
}

// transaction writes twice and commits.
func (c *Client) transaction() {
	if c.r.IntN(2) == 0 {
		c.readTransaction()
		return
	}
	if _, code, _, whole := c.ask("BEGIN", false); code != "" || !whole {
		c.drop()
		return
	}
	c.inTx = true
	defer func() { c.inTx = false }()
	var ids []string
	for range 2 {
		id, code, state, whole := c.ask(fmt.Sprintf("WRITE k%d y", c.r.IntN(20)), true)
		ids = append(ids, id)
		if code != "" || !whole {
			c.count(code, whole, ids, true)
			if whole && state == 'E' {
				_, _, state, whole = c.ask("ROLLBACK", false)
			}
			c.keep(state, whole)
			return
		}
	}
	_, code, state, whole := c.ask("COMMIT", true)
	c.count(code, whole, ids, true)
	c.keep(state, whole)
}

// readTransaction reads a few times and ends in one way or another.
func (c *Client) readTransaction() {
	if _, code, _, whole := c.ask("BEGIN READ", false); code != "" || !whole {
		c.drop()
		return
	}
	c.inTx = true
	defer func() { c.inTx = false }()
	for range 1 + c.r.IntN(4) {
		_, code, _, whole := c.ask(fmt.Sprintf("READ k%d", c.r.IntN(20)), true)
		if code != "" || !whole || c.r.IntN(10) == 0 {
			c.count(code, whole, nil, false)
			c.drop()
			return
		}
		time.Sleep(time.Duration(c.r.IntN(10)) * time.Millisecond)
	}
	if c.r.IntN(3) == 0 {
		_, _, state, whole := c.ask("ROLLBACK", false)
		c.keep(state, whole)
		return
	}
	_, code, state, whole := c.ask("COMMIT", true)
	c.count(code, whole, nil, false)
	c.keep(state, whole)
}

// count notes how an operation ended.
func (c *Client) count(code string, whole bool, writes []string, write bool) {
	now := time.Now()
	if code == "" && whole {
		for _, id := range writes {
			for _, g := range c.s.groups {
				g.acknowledge(id, now)
			}
		}
	}
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	switch {
	case !whole:
		c.o.Cut++
	case code == "":
		c.o.Served++
		c.o.acknowledged = append(c.o.acknowledged, writes...)
		if write && c.kind == "primary" {
			c.o.Longest = max(c.o.Longest, now.Sub(c.o.last))
			c.o.last = now
		}
	case code == "INDOUBT" || code == "TIMEOUT" || code == "FAILED":
		c.o.Doubtful++
	default:
		c.o.Refused++
		c.o.refused = append(c.o.refused, writes...)
	}
}
