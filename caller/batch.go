package caller

import (
	"net"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// sendMessages sends the query's messages. If they aren't complete, it also
// forwards what the caller sends up to the end of its batch; an error then means
// that the session must be closed.
func (n *callerSession) sendMessages(t *peer.Stream, q query) error {
	err := t.Write(q.messages...)
	if err == nil {
		err = t.Flush()
	}
	if q.complete {
		return err
	}
	for {
		m, err := n.reader.Read()
		if err != nil {
			return Error.Wrap(err)
		}
		if m.Type == wire.Terminate {
			return Error.Wrap(net.ErrClosed)
		}
		e := n.forwardNext(t, q.rewriter, m)
		if e != nil {
			n.server.config.Log.Info("batch refused", "caller", n.caller, "group", n.group, "type", string(rune(m.Type)), "code", e.Code, "reason", e.Message)
			q.rewriter.refuse(e)
			_ = t.Close()
		}
		switch {
		case e != nil && e.Code == codeProtocol && !isBatchMessage(m):
			return e
		case m.Type == wire.Sync, e != nil && answeredByReady(m):
			return nil
		}
	}
}

// forwardNext forwards a message of a batch whose first messages were already
// sent. Once the batch is refused, its other messages are skipped.
func (n *callerSession) forwardNext(t *peer.Stream, p *batchRewriter, m wire.Message) *RefusedError {
	if p.refused() != nil {
		return nil
	}
	switch {
	case answeredByReady(m):
		return simpleInBatchError()
	case m.Type == wire.CopyData, m.Type == wire.CopyDone, m.Type == wire.CopyFail:
		return nil
	case !isBatchMessage(m):
		return &RefusedError{Code: codeProtocol, Message: "unknown protocol message"}
	}
	l, e := p.rewriteNext(m)
	if e != nil {
		return e
	}
	if t.Write(l...) == nil && (m.Type == wire.Sync || m.Type == wire.Flush) {
		_ = t.Flush()
	}
	return nil
}

func simpleInBatchError() *RefusedError {
	return &RefusedError{Code: codeUnsupported, Message: "a simple query or function call inside a batch is not supported", Hint: "Send Sync first."}
}

// isBatchMessage reports whether a caller's message belongs to the extended query
// protocol.
func isBatchMessage(m wire.Message) bool {
	switch m.Type {
	case wire.Parse, wire.Bind, wire.Describe, wire.Execute, wire.Close, wire.Flush, wire.Sync:
		return true
	default:
		return false
	}
}

// answeredByReady reports whether a caller's message other than Sync is answered
// by a ReadyForQuery of its own.
func answeredByReady(m wire.Message) bool {
	return m.Type == wire.Query || m.Type == wire.FunctionCall
}

// seal limits the statements that the batch may still add to those that may run on
// the stream that is opened for it.
func (p *batchRewriter) seal() {
	p.sealed, p.sealedKind = true, p.query.class.Kind
}

// checkSeal refuses a statement that needs more of a stream than the one that is
// open for the batch.
func (p *batchRewriter) checkSeal(k statement.Kind) *RefusedError {
	if !p.sealed || kindPrecedence(k) <= kindPrecedence(p.sealedKind) {
		return nil
	}
	return &RefusedError{
		Code: codeUnsupported, Message: "a statement that writes or begins a transaction is not supported behind the Flush of a batch that began with less",
		Hint: "Send Sync first.",
	}
}

// refuse records why the batch is refused, and returns the first such reason.
func (p *batchRewriter) refuse(e *RefusedError) *RefusedError {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusal == nil {
		p.refusal = e
	}
	return p.refusal
}

// refused returns why the batch is refused; nil if it isn't.
func (p *batchRewriter) refused() *RefusedError {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusal
}

// observeEnd takes note of a statement of the batch that may commit by itself.
func (p *batchRewriter) observeEnd(c statement.Classification) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endsTransaction = p.endsTransaction || c.Kind == statement.End || c.Count > 1
}

// mayCommit reports whether the batch has a statement that may commit before its Sync.
func (p *batchRewriter) mayCommit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endsTransaction
}
