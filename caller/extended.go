package caller

import (
	"context"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Limits of extended queries.
const (
	// maxBatchBytes is the size in bytes after which a batch is sent on before its
	// Sync; it can't be repeated then.
	maxBatchBytes = 256 << 10
	// maxPreparedStatements is the greatest number of prepared statements of a session.
	maxPreparedStatements = 1000
)

// preparedStatement is a prepared statement.
type preparedStatement struct {
	// parseBody is the Parse message's body after the name.
	parseBody []byte
	sql       string
}

// addToBatch adds a message to the batch and runs it at its end.
func (n *callerSession) addToBatch(x context.Context, m wire.Message) error {
	n.batch = append(n.batch, m)
	n.batchSize += m.Size()
	if m.Type != wire.Sync && m.Type != wire.Flush && n.batchSize < maxBatchBytes {
		return nil
	}
	l := n.batch
	n.batch, n.batchSize = nil, 0
	q, e := n.rewriteBatch(l)
	if e != nil {
		n.refuse(e)
		if m.Type == wire.Sync {
			n.sendReady()
		} else {
			n.skipToSync = true
		}
		return n.writer.Flush()
	}
	q.complete = m.Type == wire.Sync
	if err := n.runBatch(x, q, l); err != nil {
		return err
	}
	return n.writer.Flush()
}

func (n *callerSession) runBatch(x context.Context, q query, l []wire.Message) error {
	if q.local {
		n.runLocalBatch(l)
		return nil
	}
	if n.txStatus != statusFailed || n.txStream != nil {
		return n.dispatch(x, q)
	}
	if q.class.Kind == statement.End {
		n.answerRollback(l)
		return nil
	}
	n.refuse(n.handleFailedTransaction(q.class))
	if q.complete {
		n.sendReady()
	} else {
		n.skipToSync = true
	}
	return nil
}

// answerRollback answers the messages that end a transaction which has failed here.
func (n *callerSession) answerRollback(l []wire.Message) {
	for _, m := range l {
		switch m.Type {
		case wire.Parse:
			n.send(&pgproto3.ParseComplete{})
		case wire.Bind:
			n.send(&pgproto3.BindComplete{})
		case wire.Describe:
			if m.Body[0] == 'S' {
				n.send(&pgproto3.ParameterDescription{})
			}
			n.send(&pgproto3.NoData{})
		case wire.Execute:
			_ = n.handleFailedTransaction(statement.Class{Kind: statement.End})
		case wire.Close:
			n.send(&pgproto3.CloseComplete{})
		case wire.Sync:
			n.sendReady()
		}
	}
}

// rewriteBatch rewrites a batch for a pooled connection: each use of a prepared
// statement parses it anew under the empty name.
func (n *callerSession) rewriteBatch(l []wire.Message) (query, *RefusedError) {
	p := &batchRewriter{session: n, query: query{local: true}}
	for _, m := range l {
		if e := p.add(m); e != nil {
			return query{}, e
		}
	}
	if !p.hasExecute && !p.query.local {
		p.query.describeOnly = true
	}
	q := p.query
	q.rewriter = p
	return q, nil
}

// batchRewriter builds the work of one batch.
type batchRewriter struct {
	session *callerSession
	query   query
	// injected tells for each Parse whether the caller sent it; mu guards it.
	mu       sync.Mutex
	injected []bool
	// unnamedHolds is the statement that the empty name stands for; set tells
	// whether it stands for any.
	unnamedHolds string
	unnamedSet   bool
	// hasExecute tells that the batch runs something.
	hasExecute bool
	hasClass   bool
}

func (p *batchRewriter) add(m wire.Message) *RefusedError {
	switch m.Type {
	case wire.Parse:
		return p.parse(m)
	case wire.Bind:
		return p.bind(m)
	case wire.Describe, wire.Close:
		return p.describeOrClose(m)
	case wire.Execute:
		p.hasExecute = true
	}
	p.query.messages = append(p.query.messages, m)
	return nil
}

func (p *batchRewriter) parse(m wire.Message) *RefusedError {
	name, rest, ok := cutCString(m.Body)
	if !ok {
		return malformedError("Parse")
	}
	sql, _, ok := cutCString(rest)
	if !ok {
		return malformedError("Parse")
	}
	if _, dup := p.session.preparedStatements[name]; dup && name != "" {
		return &RefusedError{Code: "42P05", Message: "prepared statement \"" + name + "\" already exists"}
	}
	if len(p.session.preparedStatements) >= maxPreparedStatements {
		return &RefusedError{Code: codeTooMany, Message: "too many prepared statements in one session"}
	}
	p.session.preparedStatements[name] = preparedStatement{parseBody: rest, sql: sql}
	if name != "" {
		p.query.preparedNames = append(p.query.preparedNames, name)
	}
	if e := p.addClass(sql); e != nil {
		delete(p.session.preparedStatements, name)
		return e
	}
	p.emitParse(rest, false)
	p.unnamedHolds, p.unnamedSet = name, true
	return nil
}

func (p *batchRewriter) emitParse(rest []byte, injected bool) {
	p.query.messages = append(p.query.messages, wire.Message{Type: wire.Parse, Body: append([]byte{0}, rest...)})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.injected = append(p.injected, injected)
}

// isInjectedParse reports whether the answer to the Parse with the given number, from
// 0, isn't for the caller.
func (p *batchRewriter) isInjectedParse(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return i < len(p.injected) && p.injected[i]
}

// rewriteNext rewrites a message that comes after the first of a batch were sent.
func (p *batchRewriter) rewriteNext(m wire.Message) ([]wire.Message, *RefusedError) {
	p.query.messages = nil
	e := p.add(m)
	return p.query.messages, e
}

// addClass takes a statement's class into the batch's.
func (p *batchRewriter) addClass(sql string) *RefusedError {
	c := statement.Classify(sql)
	if c.Kind == statement.Unsupported {
		return unsupportedError(c.Feature)
	}
	if !isLocalKind(c.Kind) {
		p.query.local = false
	}
	if !p.hasClass || kindPrecedence(c.Kind) > kindPrecedence(p.query.class.Kind) {
		h := p.query.class.Hints
		p.query.class = c
		if !c.Hints.HasRank {
			p.query.class.Hints.Rank, p.query.class.Hints.HasRank = h.Rank, h.HasRank
		}
		if c.Hints.Key == "" {
			p.query.class.Hints.Key = h.Key
		}
	}
	p.hasClass = true
	return nil
}

// kindPrecedence orders kinds by what they need.
func kindPrecedence(k statement.Kind) int {
	switch k {
	case statement.Begin, statement.BeginReadOnly:
		return 3
	case statement.Write, statement.End:
		return 2
	case statement.Read:
		return 1
	default:
		return 0
	}
}

// loadUnnamed makes the empty name stand for a prepared statement.
func (p *batchRewriter) loadUnnamed(name string) *RefusedError {
	s, ok := p.session.preparedStatements[name]
	if !ok {
		return &RefusedError{Code: codeNoPreparedStatement, Message: "prepared statement \"" + name + "\" does not exist"}
	}
	if p.unnamedSet && p.unnamedHolds == name {
		return nil
	}
	if e := p.addClass(s.sql); e != nil {
		return e
	}
	p.emitParse(s.parseBody, true)
	p.unnamedHolds, p.unnamedSet = name, true
	return nil
}

func (p *batchRewriter) bind(m wire.Message) *RefusedError {
	portal, rest, ok := cutCString(m.Body)
	if !ok {
		return malformedError("Bind")
	}
	name, rest, ok := cutCString(rest)
	if !ok {
		return malformedError("Bind")
	}
	if e := p.loadUnnamed(name); e != nil {
		return e
	}
	b := append([]byte(portal), 0, 0)
	p.query.messages = append(p.query.messages, wire.Message{Type: wire.Bind, Body: append(b, rest...)})
	return nil
}

func (p *batchRewriter) describeOrClose(m wire.Message) *RefusedError {
	if len(m.Body) < 2 || m.Body[len(m.Body)-1] != 0 {
		return malformedError("Describe or Close")
	}
	if m.Body[0] != 'S' {
		p.query.messages = append(p.query.messages, m)
		return nil
	}
	name := wire.CString(m.Body[1:])
	if m.Type == wire.Close {
		delete(p.session.preparedStatements, name)
		p.unnamedSet = false
	} else if e := p.loadUnnamed(name); e != nil {
		return e
	}
	p.query.messages = append(p.query.messages, wire.Message{Type: m.Type, Body: []byte{'S', 0}})
	return nil
}

func cutCString(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}

func malformedError(t string) *RefusedError {
	return &RefusedError{Code: codeProtocol, Message: "malformed " + t + " message"}
}

// runLocalBatch answers a batch whose statements all concern only the session.
func (n *callerSession) runLocalBatch(l []wire.Message) {
	var c statement.Class
	for _, m := range l {
		switch m.Type {
		case wire.Parse:
			_, rest, _ := cutCString(m.Body)
			c = statement.Classify(wire.CString(rest))
			n.send(&pgproto3.ParseComplete{})
		case wire.Bind:
			_, rest, _ := cutCString(m.Body)
			c = statement.Classify(n.preparedStatements[wire.CString(rest)].sql)
			n.send(&pgproto3.BindComplete{})
		case wire.Describe:
			if m.Body[0] == 'S' {
				c = statement.Classify(n.preparedStatements[wire.CString(m.Body[1:])].sql)
				n.send(&pgproto3.ParameterDescription{})
			}
			if !n.describeLocal(c) {
				n.send(&pgproto3.NoData{})
			}
		case wire.Execute:
			if e := n.runLocalStatement(c); e != nil {
				n.refuse(e)
				n.finishFailedBatch(l)
				return
			}
		case wire.Close:
			n.send(&pgproto3.CloseComplete{})
		case wire.Sync:
			n.sendReady()
		}
	}
}

// finishFailedBatch ends a local batch after an error.
func (n *callerSession) finishFailedBatch(l []wire.Message) {
	if l[len(l)-1].Type == wire.Sync {
		n.sendReady()
		return
	}
	n.skipToSync = true
}
