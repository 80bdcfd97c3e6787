package caller

import (
	"context"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Limits of the extended query protocol.
const (
	// maxBatchBytes is the size from which a batch is sent before its Sync has
	// arrived; it can't be retried then.
	maxBatchBytes = 256 << 10
	// maxPreparedStatements limits the prepared statements of a session.
	maxPreparedStatements = 1000
)

// preparedStatement is a prepared statement of a session.
type preparedStatement struct {
	// parseBody is the body of the Parse message after the statement's name.
	parseBody []byte
	sql       string
}

// addToBatch adds a message to the batch, and runs the batch at a Sync or Flush
// or once it is large.
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
	q.describeOnly = q.describeOnly && q.complete
	if n.txStream == nil {
		q.rewriter.seal()
	}
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

// answerRollback answers the messages of a batch that ends a transaction which
// failed in the daemon.
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
			_ = n.handleFailedTransaction(statement.Classification{Kind: statement.End})
		case wire.Close:
			n.send(&pgproto3.CloseComplete{})
		case wire.Sync:
			n.sendReady()
		}
	}
}

// rewriteBatch rewrites a batch for a pooled connection: each use of a prepared
// statement parses it again as the unnamed statement.
func (n *callerSession) rewriteBatch(l []wire.Message) (query, *RefusedError) {
	p := &batchRewriter{session: n, query: query{local: true}}
	for _, m := range l {
		if e := p.rewrite(m); e != nil {
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

// batchRewriter builds the query for one batch.
type batchRewriter struct {
	session *callerSession
	query   query
	// injected holds for each Parse whether it was added by the daemon; mu
	// guards it, refusal and endsTransaction.
	mu       sync.Mutex
	injected []bool
	// endsTransaction is set once the batch has a statement that may commit
	// before its Sync.
	endsTransaction bool
	// refusal is why the batch was refused; nil if it wasn't.
	refusal *RefusedError
	// sealed is set once a stream is opened for the batch outside of a
	// transaction; sealedKind is the kind that the stream is opened for.
	sealed     bool
	sealedKind statement.Kind
	// unnamedSource is the name of the prepared statement that the unnamed
	// statement was parsed from; valid if unnamedValid.
	unnamedSource string
	unnamedValid  bool
	// hasExecute is set if the batch has an Execute message.
	hasExecute bool
	// hasClass is set once a statement's class was added to the query.
	hasClass bool
}

// rewrite adds the rewritten form of a message to the query.
func (p *batchRewriter) rewrite(m wire.Message) *RefusedError {
	switch m.Type {
	case wire.Parse:
		return p.rewriteParse(m)
	case wire.Bind:
		return p.rewriteBind(m)
	case wire.Describe, wire.Close:
		return p.rewriteDescribeOrClose(m)
	case wire.Execute:
		p.hasExecute = true
	}
	p.query.messages = append(p.query.messages, m)
	return nil
}

func (p *batchRewriter) rewriteParse(m wire.Message) *RefusedError {
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
		return &RefusedError{Code: codeTooManyConnections, Message: "too many prepared statements in one session"}
	}
	p.session.preparedStatements[name] = preparedStatement{parseBody: rest, sql: sql}
	if name != "" {
		p.query.preparedNames = append(p.query.preparedNames, name)
	}
	if e := p.addClass(sql); e != nil {
		delete(p.session.preparedStatements, name)
		return e
	}
	p.appendParse(rest, false)
	p.unnamedSource, p.unnamedValid = name, true
	return nil
}

func (p *batchRewriter) appendParse(rest []byte, injected bool) {
	p.query.messages = append(p.query.messages, wire.Message{Type: wire.Parse, Body: append([]byte{0}, rest...)})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.injected = append(p.injected, injected)
}

// isInjectedParse reports whether the Parse with the given index, from 0, was
// added by the daemon, so that its ParseComplete isn't sent to the caller.
func (p *batchRewriter) isInjectedParse(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return i < len(p.injected) && p.injected[i]
}

// rewriteNext rewrites a message of a batch whose first messages were already
// sent.
func (p *batchRewriter) rewriteNext(m wire.Message) ([]wire.Message, *RefusedError) {
	p.query.messages = nil
	e := p.rewrite(m)
	return p.query.messages, e
}

// addClass merges a statement's class into that of the batch. The kind with the
// highest precedence wins; a class without a rank or key hint inherits those of
// the class that it replaces.
func (p *batchRewriter) addClass(sql string) *RefusedError {
	c := statement.Classify(sql)
	if c.Kind == statement.Unsupported {
		return unsupportedError(c.Feature)
	}
	if e := p.checkSeal(c.Kind); e != nil {
		return e
	}
	if !isLocalKind(c.Kind) {
		p.query.local = false
	}
	p.observeEnd(c)
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

// kindPrecedence orders kinds of statements by what they require of a stream:
// first transactions, then writes, then reads.
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

// loadUnnamed adds a Parse of a prepared statement as the unnamed one, unless
// the unnamed statement already holds it.
func (p *batchRewriter) loadUnnamed(name string) *RefusedError {
	s, ok := p.session.preparedStatements[name]
	if !ok {
		return &RefusedError{Code: codeNoPreparedStatement, Message: "prepared statement \"" + name + "\" does not exist"}
	}
	if p.unnamedValid && p.unnamedSource == name {
		return nil
	}
	if e := p.addClass(s.sql); e != nil {
		return e
	}
	p.appendParse(s.parseBody, true)
	p.unnamedSource, p.unnamedValid = name, true
	return nil
}

func (p *batchRewriter) rewriteBind(m wire.Message) *RefusedError {
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

func (p *batchRewriter) rewriteDescribeOrClose(m wire.Message) *RefusedError {
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
		p.unnamedValid = false
	} else if e := p.loadUnnamed(name); e != nil {
		return e
	}
	p.query.messages = append(p.query.messages, wire.Message{Type: m.Type, Body: []byte{'S', 0}})
	return nil
}

// cutCString returns the text before the first zero byte and the bytes after it.
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

// runLocalBatch answers a batch whose statements all concern only the session
// and need no backend server.
func (n *callerSession) runLocalBatch(l []wire.Message) {
	var c statement.Classification
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

// finishFailedBatch skips to the end of a local batch after an error.
func (n *callerSession) finishFailedBatch(l []wire.Message) {
	if l[len(l)-1].Type == wire.Sync {
		n.sendReady()
		return
	}
	n.skipToSync = true
}
