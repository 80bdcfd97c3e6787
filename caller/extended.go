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
	// maxBatch is the size in bytes after which a batch is sent on before its
	// Sync; it can't be repeated then.
	maxBatch = 256 << 10
	// maxPrepared is the greatest number of prepared statements of a session.
	maxPrepared = 1000
)

// parsed is a prepared statement.
type parsed struct {
	// rest is the Parse message's body after the name.
	rest []byte
	sql  string
}

// extend adds a message to the batch and runs it at its end.
func (n *client) extend(x context.Context, m wire.Message) error {
	n.batch = append(n.batch, m)
	n.batchSize += m.Size()
	if m.Type != wire.Sync && m.Type != wire.Flush && n.batchSize < maxBatch {
		return nil
	}
	l := n.batch
	n.batch, n.batchSize = nil, 0
	w, e := n.plan(l)
	if e != nil {
		n.refuse(e)
		if m.Type == wire.Sync {
			n.ready()
		} else {
			n.skip = true
		}
		return n.w.Flush()
	}
	w.whole = m.Type == wire.Sync
	if err := n.runBatch(x, w, l); err != nil {
		return err
	}
	return n.w.Flush()
}

func (n *client) runBatch(x context.Context, w work, l []wire.Message) error {
	if w.local {
		n.runLocal(l)
		return nil
	}
	if n.status != statusFailed || n.open != nil {
		return n.dispatch(x, w)
	}
	if w.class.Kind == statement.End {
		n.rollBack(l)
		return nil
	}
	n.refuse(n.failedTransaction(w.class))
	if w.whole {
		n.ready()
	} else {
		n.skip = true
	}
	return nil
}

// rollBack answers the messages that end a transaction which has failed here.
func (n *client) rollBack(l []wire.Message) {
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
			_ = n.failedTransaction(statement.Class{Kind: statement.End})
		case wire.Close:
			n.send(&pgproto3.CloseComplete{})
		case wire.Sync:
			n.ready()
		}
	}
}

// plan rewrites a batch for a pooled connection: each use of a prepared
// statement parses it anew under the empty name.
func (n *client) plan(l []wire.Message) (work, *RefusedError) {
	p := &planner{n: n, w: work{local: true}}
	for _, m := range l {
		if e := p.add(m); e != nil {
			return work{}, e
		}
	}
	if !p.executes && !p.w.local {
		p.w.describeOnly = true
	}
	w := p.w
	w.plan = p
	return w, nil
}

// planner builds the work of one batch.
type planner struct {
	n *client
	w work
	// injected tells for each Parse whether the caller sent it; mu guards it.
	mu       sync.Mutex
	injected []bool
	// holder is the statement that the empty name stands for; set tells
	// whether it stands for any.
	holder string
	set    bool
	// executes tells that the batch runs something.
	executes bool
	seen     bool
}

func (p *planner) add(m wire.Message) *RefusedError {
	switch m.Type {
	case wire.Parse:
		return p.parse(m)
	case wire.Bind:
		return p.bind(m)
	case wire.Describe, wire.Close:
		return p.object(m)
	case wire.Execute:
		p.executes = true
	}
	p.w.messages = append(p.w.messages, m)
	return nil
}

func (p *planner) parse(m wire.Message) *RefusedError {
	name, rest, ok := cutString(m.Body)
	if !ok {
		return malformed("Parse")
	}
	sql, _, ok := cutString(rest)
	if !ok {
		return malformed("Parse")
	}
	if _, dup := p.n.prepared[name]; dup && name != "" {
		return &RefusedError{Code: "42P05", Message: "prepared statement \"" + name + "\" already exists"}
	}
	if len(p.n.prepared) >= maxPrepared {
		return &RefusedError{Code: codeTooMany, Message: "too many prepared statements in one session"}
	}
	p.n.prepared[name] = parsed{rest: rest, sql: sql}
	if name != "" {
		p.w.names = append(p.w.names, name)
	}
	if e := p.use(sql); e != nil {
		delete(p.n.prepared, name)
		return e
	}
	p.emitParse(rest, false)
	p.holder, p.set = name, true
	return nil
}

func (p *planner) emitParse(rest []byte, injected bool) {
	p.w.messages = append(p.w.messages, wire.Message{Type: wire.Parse, Body: append([]byte{0}, rest...)})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.injected = append(p.injected, injected)
}

// swallows reports whether the answer to the Parse with the given number, from
// 0, isn't for the caller.
func (p *planner) swallows(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return i < len(p.injected) && p.injected[i]
}

// next rewrites a message that comes after the first of a batch were sent.
func (p *planner) next(m wire.Message) ([]wire.Message, *RefusedError) {
	p.w.messages = nil
	e := p.add(m)
	return p.w.messages, e
}

// use takes a statement's class into the batch's.
func (p *planner) use(sql string) *RefusedError {
	c := statement.Classify(sql)
	if c.Kind == statement.Unsupported {
		return unsupported(c.Feature)
	}
	if !isLocal(c.Kind) {
		p.w.local = false
	}
	if !p.seen || rankOfKind(c.Kind) > rankOfKind(p.w.class.Kind) {
		h := p.w.class.Hints
		p.w.class = c
		if !c.Hints.HasRank {
			p.w.class.Hints.Rank, p.w.class.Hints.HasRank = h.Rank, h.HasRank
		}
		if c.Hints.Key == "" {
			p.w.class.Hints.Key = h.Key
		}
	}
	p.seen = true
	return nil
}

// rankOfKind orders kinds by what they need.
func rankOfKind(k statement.Kind) int {
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

// hold makes the empty name stand for a prepared statement.
func (p *planner) hold(name string) *RefusedError {
	s, ok := p.n.prepared[name]
	if !ok {
		return &RefusedError{Code: codeNoPrepared, Message: "prepared statement \"" + name + "\" does not exist"}
	}
	if p.set && p.holder == name {
		return nil
	}
	if e := p.use(s.sql); e != nil {
		return e
	}
	p.emitParse(s.rest, true)
	p.holder, p.set = name, true
	return nil
}

func (p *planner) bind(m wire.Message) *RefusedError {
	portal, rest, ok := cutString(m.Body)
	if !ok {
		return malformed("Bind")
	}
	name, rest, ok := cutString(rest)
	if !ok {
		return malformed("Bind")
	}
	if e := p.hold(name); e != nil {
		return e
	}
	b := append([]byte(portal), 0, 0)
	p.w.messages = append(p.w.messages, wire.Message{Type: wire.Bind, Body: append(b, rest...)})
	return nil
}

func (p *planner) object(m wire.Message) *RefusedError {
	if len(m.Body) < 2 || m.Body[len(m.Body)-1] != 0 {
		return malformed("Describe or Close")
	}
	if m.Body[0] != 'S' {
		p.w.messages = append(p.w.messages, m)
		return nil
	}
	name := wire.CString(m.Body[1:])
	if m.Type == wire.Close {
		delete(p.n.prepared, name)
		p.set = false
	} else if e := p.hold(name); e != nil {
		return e
	}
	p.w.messages = append(p.w.messages, wire.Message{Type: m.Type, Body: []byte{'S', 0}})
	return nil
}

func cutString(b []byte) (string, []byte, bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}

func malformed(t string) *RefusedError {
	return &RefusedError{Code: codeProtocol, Message: "malformed " + t + " message"}
}

// runLocal answers a batch whose statements all concern only the session.
func (n *client) runLocal(l []wire.Message) {
	var c statement.Class
	for _, m := range l {
		switch m.Type {
		case wire.Parse:
			_, rest, _ := cutString(m.Body)
			c = statement.Classify(wire.CString(rest))
			n.send(&pgproto3.ParseComplete{})
		case wire.Bind:
			_, rest, _ := cutString(m.Body)
			c = statement.Classify(n.prepared[wire.CString(rest)].sql)
			n.send(&pgproto3.BindComplete{})
		case wire.Describe:
			if m.Body[0] == 'S' {
				c = statement.Classify(n.prepared[wire.CString(m.Body[1:])].sql)
				n.send(&pgproto3.ParameterDescription{})
			}
			if !n.describeLocal(c) {
				n.send(&pgproto3.NoData{})
			}
		case wire.Execute:
			if e := n.local(c); e != nil {
				n.refuse(e)
				n.skipTo(l)
				return
			}
		case wire.Close:
			n.send(&pgproto3.CloseComplete{})
		case wire.Sync:
			n.ready()
		}
	}
}

// skipTo ends a local batch after an error.
func (n *client) skipTo(l []wire.Message) {
	if l[len(l)-1].Type == wire.Sync {
		n.ready()
		return
	}
	n.skip = true
}
