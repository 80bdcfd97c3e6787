package site

import "time"

// runOperation runs one operation on a daemon.
func (c *Client) runOperation(l []string) {
	if !c.connect(l) {
		return
	}
	switch c.random.IntN(5) {
	case 0:
		c.changeSession()
	case 1:
		c.runTransaction()
	case 2, 3:
		_, code, state, complete := c.execute(c.drawRead(), true)
		c.recordOutcome(code, complete, nil, false)
		c.disconnectUnlessIdle(state, complete)
	default:
		id, code, state, complete := c.execute(c.drawWrite(), true)
		c.recordOutcome(code, complete, []string{id}, true)
		c.disconnectUnlessIdle(state, complete)
	}
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
		id, code, state, complete := c.execute(c.drawWrite(), true)
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
		_, code, _, complete := c.execute(c.drawRead(), true)
		if code != "" || !complete || c.random.IntN(10) == 0 {
			c.recordOutcome(code, complete, nil, false)
			c.disconnect()
			return
		}
		c.rest(time.Duration(c.random.IntN(10)) * time.Millisecond)
		if c.conn == nil {
			c.recordOutcome("CUT", false, nil, false)
			return
		}
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

// changeSession sets a value of the session, prepares a statement or deallocates one.
func (c *Client) changeSession() {
	var text string
	var done func()
	if c.random.IntN(2) == 0 {
		n, v := pick(c.random, c.words.valueNames), pick(c.random, c.words.values)
		text, done = "SET "+n+" "+v, func() { c.values[n] = v }
	} else if n := pick(c.random, c.words.names); c.prepared[n] != "" {
		text, done = "DEALLOCATE "+n, func() { delete(c.prepared, n) }
	} else {
		p := pick(c.random, []string{"READ ", "WRITE "}) + pick(c.random, c.words.shapes)
		text, done = "PREPARE "+n+" "+p, func() { c.prepared[n] = p }
	}
	if _, code, _, complete := c.execute(text, false); code != "" || !complete {
		c.disconnect()
		return
	}
	done()
}

// drawRead returns the text of a read, which executes a prepared one if there is one.
func (c *Client) drawRead() string {
	return c.drawVerb("READ") + " " + pick(c.random, c.words.items)
}

// drawWrite returns the text of a write.
func (c *Client) drawWrite() string {
	return c.drawVerb("WRITE") + " " + pick(c.random, c.words.items) + " " + c.texts.text()
}

// drawVerb returns the verb, or EXECUTE with the name of a statement prepared for it.
func (c *Client) drawVerb(verb string) string {
	for _, n := range c.words.names {
		if v, _ := cutWord(c.prepared[n]); v == verb {
			return "EXECUTE " + n
		}
	}
	return verb
}
