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

// Staleness limits of the bounded and own databases that the site configures.
const (
	boundedMaxStaleness = 400 * time.Millisecond
	ownMaxStaleness     = 800 * time.Millisecond
)

// startID is the ID with which readAnswer reads the answer to START. If START is
// refused, the connection ends without a READY line.
const startID = "start"

// clientTimeout limits the wait for an answer.
const clientTimeout = 4 * time.Second

// lossSlack is how long before the end of its connection a statement may have been
// sent that the daemon has not read: the close and the statement crossed.
const lossSlack = 200 * time.Millisecond

// LoadReport holds the results of RunLoad.
type LoadReport struct {
	mu sync.Mutex
	// Served, Refused, InDoubt and Disconnected count operations by outcome.
	// Operations in doubt may or may not have taken effect. Disconnected
	// operations got no complete answer within clientTimeout or before the
	// connection ended.
	Served, Refused, InDoubt, Disconnected int
	// FirstServed is when the first operation was served.
	FirstServed time.Time
	// Denied counts the sessions and operations that were denied. Denied operations are
	// among the refused ones.
	Denied int
	// Lost are the statements without a complete answer that a member has received or
	// that were sent longer than lossSlack before the connection ended.
	Lost []string
	// LongestWriteGap is the longest time between two served writes on a primary
	// database.
	LongestWriteGap time.Duration
	lastWrite       time.Time
	// refusedIDs and acknowledgedIDs are the IDs of refused and acknowledged
	// writes.
	refusedIDs, acknowledgedIDs []string
}

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
	values        map[string]string
	inTransaction bool
}

// RunLoad runs concurrent clients for the duration d and returns the outcomes of
// their operations. Clients connect to the daemons that addresses returns.
func (s *Site) RunLoad(seed uint64, clients int, d time.Duration, addresses func() []string) *LoadReport {
	return s.runClients(seed, clients, d, func(c *Client) { c.runOperation(addresses()) })
}

// RunReads is RunLoad with clients that only read.
func (s *Site) RunReads(seed uint64, clients int, d time.Duration, addresses func() []string) *LoadReport {
	return s.runClients(seed, clients, d, func(c *Client) {
		if c.connect(addresses()) {
			c.runRead()
		}
	})
}

// runClients runs concurrent clients, each of which repeats an operation, for the duration d.
func (s *Site) runClients(seed uint64, clients int, d time.Duration, operate func(*Client)) *LoadReport {
	o := &LoadReport{lastWrite: time.Now()}
	var w sync.WaitGroup
	for i := range clients {
		w.Go(func() {
			c := &Client{site: s, report: o, random: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprintf("c%d-%d", seed, i), key: ClientKey(i)}
			for t := time.Now(); time.Since(t) < d; {
				operate(c)
				time.Sleep(time.Duration(c.random.IntN(10)) * time.Millisecond)
			}
			c.disconnect()
		})
	}
	w.Wait()
	return o
}

// VerifyWrites checks the writes of a finished load: a refused write must not be
// in any log (REFUSED), an acknowledged one at most once in all logs (TWICE).
func (s *Site) VerifyWrites(o *LoadReport) {
	count := func(id string) int {
		n := 0
		for _, g := range s.groups {
			n += g.countWrites(id)
		}
		return n
	}
	for _, id := range o.refusedIDs {
		if count(id) > 0 {
			s.reportViolation("REFUSED", "%s was refused but is in the log", id)
		}
	}
	for _, id := range o.acknowledgedIDs {
		if count(id) > 1 {
			s.reportViolation("TWICE", "%s is in the logs more than once", id)
		}
	}
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
	c.conn, c.reader, c.values = k, bufio.NewReader(k), map[string]string{}
	c.sequence++
	c.sessionID = fmt.Sprintf("%s@%d", c.name, c.sequence)
	g := c.site.groups[c.random.IntN(len(c.site.groups))]
	c.kind = []string{"primary", "bounded", "own"}[c.random.IntN(3)]
	if _, err := fmt.Fprintf(k, "START %s-%s %s\r\n", g.name, c.kind, c.key); err != nil {
		c.disconnect()
		return false
	}
	if code, _, _ := c.readAnswer(startID); code != "" {
		c.countDenied(code)
		c.disconnect()
		return false
	}
	return true
}

// readAnswer reads to the end of an answer and returns its error code, the
// session's state and whether the answer was complete. It reports an answer as
// MIXED if its signature is not that of statement id, unless id is "" or startID.
func (c *Client) readAnswer(id string) (code string, state byte, complete bool) {
	_ = c.conn.SetReadDeadline(time.Now().Add(clientTimeout))
	for {
		t, err := c.reader.ReadString('\n')
		if err != nil {
			return "CUT", 0, false
		}
		f := strings.Fields(t)
		switch f[0] {
		case "ERROR":
			code = f[1]
			if id == startID {
				return code, 0, true
			}
		case "COMPLETE":
			if id != "" && id != startID && f[1] != "sig-"+id {
				c.site.reportViolation("MIXED", "%s got the answer to %s", id, f[1])
			}
		case "READY":
			return code, f[1][0], true
		}
	}
}

// execute sends a statement and reads its answer. With needsSignature the answer
// must carry the signature with the statement's ID.
func (c *Client) execute(text string, needsSignature bool) (id, code string, state byte, complete bool) {
	c.sequence++
	id = fmt.Sprintf("%s.%d", c.name, c.sequence)
	a := &statement{id: id, sessionID: c.sessionID, text: text, key: c.key, sent: time.Now(), ownWrites: c.kind == "own", inTransaction: c.inTransaction, values: map[string]string{}}
	for n, v := range c.values {
		a.values[n] = v
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
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, "CUT", 0, false
	}
	want := id
	if !needsSignature {
		want = ""
	}
	if code, state, complete = c.readAnswer(want); !complete {
		c.recordLoss(a)
	}
	return id, code, state, complete
}

// recordLoss records a statement without a complete answer, unless it may have crossed
// the close of its connection.
func (c *Client) recordLoss(a *statement) {
	d := time.Since(a.sent)
	c.site.mu.Lock()
	received := a.received
	c.site.mu.Unlock()
	if !received && d <= lossSlack {
		return
	}
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	c.report.Lost = append(c.report.Lost, fmt.Sprintf("%s %q sent %s before the end, in a transaction: %t, received by a member: %t",
		a.id, a.text, d.Round(time.Millisecond), a.inTransaction, received))
}

// runOperation runs one operation on a daemon.
func (c *Client) runOperation(l []string) {
	if !c.connect(l) {
		return
	}
	switch c.random.IntN(5) {
	case 0:
		v := fmt.Sprint(c.random.IntN(3))
		if _, code, _, complete := c.execute("SET v "+v, false); code == "" && complete {
			c.values["v"] = v
			return
		}
		c.disconnect()
	case 1:
		c.runTransaction()
	case 2, 3:
		c.runRead()
	default:
		id, code, state, complete := c.execute(fmt.Sprintf("WRITE k%d x", c.random.IntN(20)), true)
		c.recordOutcome(code, complete, []string{id}, true)
		c.disconnectUnlessIdle(state, complete)
	}
}

// runRead runs a read outside of transactions.
func (c *Client) runRead() {
	_, code, state, complete := c.execute(fmt.Sprintf("READ k%d", c.random.IntN(20)), true)
	c.recordOutcome(code, complete, nil, false)
	c.disconnectUnlessIdle(state, complete)
}

// disconnectUnlessIdle closes the connection unless its session is open and
// outside a transaction.
func (c *Client) disconnectUnlessIdle(state byte, complete bool) {
	if !complete || state != 'I' {
		c.disconnect()
	}
}

// runTransaction writes twice and commits, or, in half of the calls, runs a
// read-only transaction.
func (c *Client) runTransaction() {
	if c.random.IntN(2) == 0 {
		c.runReadTransaction()
		return
	}
	if _, code, _, complete := c.execute("BEGIN", false); code != "" || !complete {
		c.disconnect()
		return
	}
	c.inTransaction = true
	defer func() { c.inTransaction = false }()
	var ids []string
	for range 2 {
		id, code, state, complete := c.execute(fmt.Sprintf("WRITE k%d y", c.random.IntN(20)), true)
		ids = append(ids, id)
		if code != "" || !complete {
			c.recordOutcome(code, complete, ids, true)
			if complete && state == 'E' {
				_, _, state, complete = c.execute("ROLLBACK", false)
			}
			c.disconnectUnlessIdle(state, complete)
			return
		}
	}
	_, code, state, complete := c.execute("COMMIT", true)
	c.recordOutcome(code, complete, ids, true)
	c.disconnectUnlessIdle(state, complete)
}

// runReadTransaction reads up to four times, then commits, rolls back or closes
// the connection.
func (c *Client) runReadTransaction() {
	if _, code, _, complete := c.execute("BEGIN READ", false); code != "" || !complete {
		c.disconnect()
		return
	}
	c.inTransaction = true
	defer func() { c.inTransaction = false }()
	for range 1 + c.random.IntN(4) {
		_, code, _, complete := c.execute(fmt.Sprintf("READ k%d", c.random.IntN(20)), true)
		if code != "" || !complete || c.random.IntN(10) == 0 {
			c.recordOutcome(code, complete, nil, false)
			c.disconnect()
			return
		}
		time.Sleep(time.Duration(c.random.IntN(10)) * time.Millisecond)
	}
	if c.random.IntN(3) == 0 {
		_, _, state, complete := c.execute("ROLLBACK", false)
		c.disconnectUnlessIdle(state, complete)
		return
	}
	_, code, state, complete := c.execute("COMMIT", true)
	c.recordOutcome(code, complete, nil, false)
	c.disconnectUnlessIdle(state, complete)
}

// countDenied counts a refusal by its code.
func (c *Client) countDenied(code string) {
	if code == "DENIED" {
		c.report.mu.Lock()
		c.report.Denied++
		c.report.mu.Unlock()
	}
}

// recordOutcome counts an operation by its outcome. writeIDs are the IDs of the
// operation's writes.
func (c *Client) recordOutcome(code string, complete bool, writeIDs []string, isWrite bool) {
	now := time.Now()
	c.countDenied(code)
	if code == "" && complete {
		for _, id := range writeIDs {
			for _, g := range c.site.groups {
				g.recordAcknowledgment(id, now)
			}
		}
	}
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	switch {
	case !complete:
		c.report.Disconnected++
	case code == "":
		c.report.Served++
		if c.report.FirstServed.IsZero() {
			c.report.FirstServed = time.Now()
		}
		c.report.acknowledgedIDs = append(c.report.acknowledgedIDs, writeIDs...)
		if isWrite && c.kind == "primary" {
			c.report.LongestWriteGap = max(c.report.LongestWriteGap, now.Sub(c.report.lastWrite))
			c.report.lastWrite = now
		}
	case code == "INDOUBT" || code == "TIMEOUT" || code == "FAILED":
		c.report.InDoubt++
	default:
		c.report.Refused++
		c.report.refusedIDs = append(c.report.refusedIDs, writeIDs...)
	}
}
