package site

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Staleness limits of the bounded and own databases that the site configures.
const (
	boundedMaxStaleness = 400 * time.Millisecond
	ownMaxStaleness     = 800 * time.Millisecond
)

// clientTimeout limits the wait for an answer.
const clientTimeout = 4 * time.Second

// lossSlack is how long before the end of its connection a statement may have been
// sent that the daemon has not read: the close and the statement crossed.
const lossSlack = 200 * time.Millisecond

// Client is a caller with at most one open session.
type Client struct {
	site   *Site
	report *LoadReport
	random *rand.Rand
	name   string
	key    string
	// sequence is the number of the client's last session or statement.
	sequence int
	conn     net.Conn
	reader   *bufio.Reader
	// sessionID identifies the open session.
	sessionID string
	// kind is the kind of the session's database: primary, bounded or own.
	kind string
	// values are the session values whose SET was acknowledged.
	values map[string]string
	// prepared maps the names whose PREPARE was acknowledged to READ or WRITE and the
	// shape.
	prepared      map[string]string
	inTransaction bool
	texts         textSource
	words         *vocabulary
}

// RunLoad runs concurrent clients for the duration d and returns the outcomes of
// their operations. Clients connect to the daemons that addresses returns.
func (s *Site) RunLoad(seed uint64, clients int, d time.Duration, addresses func() []string) *LoadReport {
	o := &LoadReport{lastWrite: time.Now()}
	words := s.texts(seed, uint64(clients)).vocabulary()
	var w sync.WaitGroup
	for i := range clients {
		w.Go(func() {
			c := s.newClient(seed, i, words, o)
			for t := time.Now(); time.Since(t) < d; {
				c.runOperation(addresses())
				c.rest(time.Duration(c.random.IntN(10)) * time.Millisecond)
			}
			c.disconnect()
		})
	}
	w.Wait()
	return o
}

// newClient returns the i-th client of a load. Without teams, its key may be any text.
func (s *Site) newClient(seed uint64, i int, words *vocabulary, o *LoadReport) *Client {
	x := s.texts(seed, uint64(i))
	c := &Client{site: s, report: o, random: x.random, texts: x, words: words, key: ClientKey(i)}
	c.name = fmt.Sprintf("c%d-%d%s", seed, i, x.word())
	if s.config.Teams == 0 {
		c.key += x.word()
	}
	return c
}

func (c *Client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a session on a random daemon, and reports whether a session is
// open. Most calls keep a session that is already open.
func (c *Client) connect(l []string) bool {
	if c.conn != nil && c.random.IntN(8) > 0 {
		return true
	}
	c.disconnect()
	if len(l) == 0 {
		return false
	}
	k, err := net.DialTimeout("tcp", l[c.random.IntN(len(l))], time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.values, c.prepared = k, bufio.NewReader(k), map[string]string{}, map[string]string{}
	c.sequence++
	c.sessionID = fmt.Sprintf("%s@%d", c.name, c.sequence)
	g := c.site.groups[c.random.IntN(len(c.site.groups))]
	c.kind = []string{"primary", "bounded", "own"}[c.random.IntN(3)]
	if _, err := k.Write(appendMessage(nil, "START", g.name+"-"+c.kind, c.key)); err != nil {
		c.disconnect()
		return false
	}
	if o := c.readAnswer(); o.code != "" || !o.complete {
		c.countDenied(o.code)
		c.disconnect()
		return false
	}
	return true
}

// answer is the answer to a message.
type answer struct {
	rows            []string
	signature, code string
	state           byte
	// complete reports whether the whole answer has arrived.
	complete bool
	// answered reports whether it has COMPLETE or ERROR.
	answered bool
}

// readAnswer reads to the end of an answer, or of the connection.
func (c *Client) readAnswer() answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(clientTimeout))
	var o answer
	for {
		k, fields, err := ReadMessage(c.reader)
		if err != nil {
			if o.code == "" {
				o.code = "CUT"
			}
			return o
		}
		switch k {
		case "ROW":
			o.rows = append(o.rows, fields)
		case "COMPLETE":
			if o.answered {
				c.site.reportViolation("MIXED", "%s got a second end of an answer: %s", quote(c.name), quote(fields))
			}
			o.signature, o.answered = fields, true
		case "ERROR":
			o.code, _ = cutWord(fields)
			o.answered = true
		case "READY":
			w, _ := cutWord(fields)
			if o.complete = len(w) == 1; o.complete {
				o.state = w[0]
			}
			return o
		default:
			c.site.reportViolation("MIXED", "%s got the message %s of an unknown kind", quote(c.name), quote(k+" "+fields))
		}
	}
}

// checkAnswer reports a success without the signature for the statement and its rows
// (MIXED). Only statements that a member has run have one.
func (c *Client) checkAnswer(a *statement, o answer, needsSignature bool) {
	switch {
	case !o.complete || o.code != "":
	case needsSignature && !c.site.signer.verify(o.signature, a.id, o.rows):
		c.site.reportViolation("MIXED", "%s of %s got the signature %s and %s", quote(a.id), quote(a.text), quote(o.signature), quote(fmt.Sprintf("%q", o.rows)))
	case !needsSignature && (o.signature != "-" || len(o.rows) > 0):
		c.site.reportViolation("MIXED", "%s of %s got the answer to another statement: %s", quote(a.id), quote(a.text), quote(o.signature))
	}
}

// execute sends a statement and reads its answer. With needsSignature the answer
// must carry the signature of the statement and its rows.
func (c *Client) execute(text string, needsSignature bool) (id, code string, state byte, complete bool) {
	c.sequence++
	id = fmt.Sprintf("%s.%d", c.name, c.sequence)
	a := &statement{id: id, sessionID: c.sessionID, text: text, key: c.key, sent: time.Now(), ownWrites: c.kind == "own", inTransaction: c.inTransaction, values: maps.Clone(c.values)}
	if w, rest := cutWord(text); w == "EXECUTE" {
		n, _ := cutWord(rest)
		a.prepared = c.prepared[n]
	}
	switch c.kind {
	case "bounded":
		a.maxStaleness = boundedMaxStaleness
	case "own":
		a.maxStaleness = ownMaxStaleness
	}
	c.site.mu.Lock()
	c.site.statements[id] = a
	c.site.mu.Unlock()
	if _, err := c.conn.Write(appendMessage(nil, "QUERY", id, text)); err != nil {
		return id, "CUT", 0, false
	}
	o := c.readAnswer()
	if !o.complete {
		c.recordLoss(a)
	}
	c.checkAnswer(a, o, needsSignature)
	if o.code == "UNKNOWN" && a.prepared != "" {
		c.site.reportViolation("PINNED", "%s: the prepared name of %s is unknown", quote(id), quote(text))
	}
	return id, o.code, o.state, o.complete
}

// rest waits, and ends the session on a message that answers nothing. It reports the
// message unless it is an ERROR, which may announce the end of the connection.
func (c *Client) rest(d time.Duration) {
	if c.conn == nil {
		time.Sleep(d)
		return
	}
	t := time.Now().Add(d)
	_ = c.conn.SetReadDeadline(t)
	b, err := c.reader.Peek(len("ERROR"))
	if err == nil {
		if string(b) != "ERROR" {
			c.site.reportViolation("MIXED", "%s got the answer %s while no statement was outstanding", quote(c.name), quote(string(b)))
		}
		c.disconnect()
	}
	time.Sleep(time.Until(t))
}
