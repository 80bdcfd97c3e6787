package owner

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/monitor"
	"github.com/dragonflypick/dragonflypick/outcome"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Settings of idempotency keys.
const (
	// keyExpiry is how long the row of a key is kept before it may be deleted.
	keyExpiry = 24 * time.Hour
	// writesPerCleanup is the number of keyed writes of an owner between two
	// deletions of expired keys.
	writesPerCleanup = 64
	// maxCleanupRows is the maximum number of expired keys in one deletion.
	maxCleanupRows = 128
	// keyRetryDelay is the delay before another attempt to write a key.
	keyRetryDelay = 20 * time.Millisecond
)

// SQLSTATE codes of backend servers, and those sent to callers that use keys.
const (
	codeUniqueViolation     = "23505"
	codeUndefinedTable      = "42P01"
	codeReadOnlyTransaction = "25006"
	// codeKeyReused refuses a key that was used for another statement.
	codeKeyReused = "22023"
	// codeAlreadyExecuted reports that the key's request was executed before and
	// that its answer can't be repeated, because it was a transaction or returned
	// rows.
	codeAlreadyExecuted = "55000"
)

// createKeyTable creates the table of keys. It is in the group's database, so that
// a key commits together with its write or not at all.
const createKeyTable = `CREATE TABLE IF NOT EXISTS dragonflypick_keys (name TEXT PRIMARY KEY, digest TEXT NOT NULL, tag TEXT NOT NULL, gave_rows INTEGER NOT NULL, expires BIGINT NOT NULL)`

// setIdleTimeout makes the backend server end the transaction of a daemon that
// hangs, so that other attempts don't wait for its locks. The value is in
// milliseconds.
const setIdleTimeout = "SET LOCAL idle_in_transaction_session_timeout = 300; "

// idempotencyKey is the use of an idempotency key by one exchange. The key's row
// is written at the start of the transaction. A concurrent attempt with the same
// key then waits for the end of this transaction, and fails with a unique
// violation if it has committed.
type idempotencyKey struct {
	exchange *exchange
	// name and digest are those that the entry sent. The digest identifies the
	// request, so that the use of a key for another request is detected.
	name   string
	digest string
	// rowWritten is set if the open transaction has written the key's row.
	rowWritten bool
	// gaveRows is set if the statement returned rows.
	gaveRows bool
}

// keyRow is a row of the table of keys.
type keyRow struct {
	digest string
	// tag is the command tag of the committed request.
	tag      string
	gaveRows bool
}

// internalReply is a backend server's answer to a statement of the owner itself.
type internalReply struct {
	// code is the SQLSTATE of the error; empty on success.
	code string
	// message is the ErrorResponse, if there was one.
	message wire.Message
	// status is the transaction status from ReadyForQuery.
	status   byte
	position logpos.Position
}

// execInternal runs a statement of the owner itself on the exchange's connection,
// and relays nothing of its answer.
func (e *exchange) execInternal(sql string) (internalReply, error) {
	var r internalReply
	if err := e.writeToServer(wire.Message{Type: wire.Query, Body: append([]byte(sql), 0)}); err != nil {
		return r, err
	}
	for {
		m, err := e.readAnswer()
		if err != nil {
			return r, err
		}
		switch m.Type {
		case wire.ErrorResponse:
			r.code, r.message = sqlState(m), m
		case wire.ParameterStatus:
			if p, ok, _ := backend.ReportedPosition(m); ok {
				r.position = p
			}
		case wire.ReadyForQuery:
			r.status = m.Body[0]
			return r, nil
		}
	}
}

// sqlState returns the SQLSTATE of an ErrorResponse, or XX000 if it has none.
func sqlState(m wire.Message) string {
	var r pgproto3.ErrorResponse
	if r.Decode(m.Body) != nil || r.Code == "" {
		return "XX000"
	}
	return r.Code
}

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// insertStatement returns the statement that writes the key's row with the given
// command tag.
func (k *idempotencyKey) insertStatement(tag string) string {
	return "INSERT INTO dragonflypick_keys (name, digest, tag, gave_rows, expires) VALUES (" +
		quoteLiteral(k.name) + ", " + quoteLiteral(k.digest) + ", " + quoteLiteral(tag) + ", 0, " + unixSeconds(time.Now().Add(keyExpiry)) + ")"
}

func unixSeconds(t time.Time) string { return strconv.FormatInt(t.Unix(), 10) }

// beginTransaction starts the transaction of a single statement by writing the
// key's row. It returns a verdict and true if the statement must not be run.
func (k *idempotencyKey) beginTransaction() (peer.Verdict, bool) {
	e := k.exchange
	for time.Now().Before(e.task.deadline) {
		r, err := e.execInternal("BEGIN; " + setIdleTimeout + k.insertStatement(""))
		if err != nil {
			return e.connectionLost(err), true
		}
		if r.code == "" {
			k.rowWritten = true
			return peer.Verdict{}, false
		}
		if _, err := e.execInternal("ROLLBACK"); err != nil {
			return e.connectionLost(err), true
		}
		if v, over := k.handleInsertError(r); over {
			return v, true
		}
		time.Sleep(keyRetryDelay)
	}
	e.releaseConnection(false)
	return peer.Verdict{Outcome: peer.NotRun, Reason: "expired", RetryAfter: defaultRetryAfter}, true
}

// handleInsertError handles the failure to write a key's row, after the
// transaction was rolled back. It returns false if another attempt may succeed.
func (k *idempotencyKey) handleInsertError(r internalReply) (peer.Verdict, bool) {
	e := k.exchange
	switch r.code {
	case codeUndefinedTable:
		if _, err := e.execInternal(createKeyTable); err != nil {
			return e.connectionLost(err), true
		}
		return peer.Verdict{}, false
	case codeUniqueViolation:
		return k.answerDuplicate()
	case codeReadOnlyTransaction:
		e.releaseConnection(false)
		return peer.Verdict{Outcome: peer.NotRun, Reason: "not-primary", RetryAfter: defaultRetryAfter}, true
	default:
		e.releaseConnection(false)
		return k.answerCaller(peer.Verdict{}, r.message), true
	}
}

// answerDuplicate answers a request whose key already has a row. It returns false
// if the row no longer exists.
func (k *idempotencyKey) answerDuplicate() (peer.Verdict, bool) {
	e := k.exchange
	x, stop := context.WithDeadline(context.Background(), e.task.deadline)
	defer stop()
	c, ok, p, err := k.readRow(x, monitor.BackendSession{})
	if err == nil && !ok {
		return peer.Verdict{}, false
	}
	e.releaseConnection(false)
	e.task.owner.config.Log.Info("idempotency key already used", "group", e.task.header.Group, "member", e.task.header.Member, "kind", e.task.header.Kind,
		"same", c.digest == k.digest, "position", p.String(), "error", err)
	v := peer.Verdict{Outcome: peer.Done, Position: p}
	switch {
	case err != nil:
		return peer.Verdict{Outcome: peer.InDoubt, Reason: "majority-timeout"}, true
	case c.digest != k.digest:
		return k.answerCaller(peer.Verdict{}, errorResponse(codeKeyReused, "the idempotency key was used for another statement", "Not run. Use a key for one request only.")), true
	case c.gaveRows || e.task.header.Kind == peer.KindTransaction:
		return k.answerCaller(v, errorResponse(codeAlreadyExecuted, "the request with this idempotency key was committed before: "+c.tag, "Not run again; its rows are not kept.")), true
	default:
		return k.answerCaller(v, commandComplete(c.tag)), true
	}
}

// readRow reads the key's row from the primary, after terminating the session if
// it still runs. It returns false if there is no row.
func (k *idempotencyKey) readRow(x context.Context, session monitor.BackendSession) (keyRow, bool, logpos.Position, error) {
	r, p, err := k.exchange.task.monitor.QueryPrimary(x, session, "SELECT digest, tag, gave_rows FROM dragonflypick_keys WHERE name = "+quoteLiteral(k.name))
	if err != nil || len(r) != 1 || len(r[0]) != 3 {
		return keyRow{}, false, p, err
	}
	return keyRow{digest: string(r[0][0]), tag: string(r[0][1]), gaveRows: string(r[0][2]) != "0"}, true, p, nil
}

// resolveOutcome determines whether the key's transaction has committed, after the
// connection was lost.
func (k *idempotencyKey) resolveOutcome(x context.Context) outcome.Event {
	_, ok, p, err := k.readRow(x, k.exchange.backendSession())
	if err != nil {
		return outcome.Expired{}
	}
	return outcome.KeyResolved{Present: ok, Position: p}
}

// observeRows records whether the answer contains rows.
func (k *idempotencyKey) observeRows(m wire.Message) {
	k.gaveRows = k.gaveRows || m.Type == wire.DataRow
}

// finishAnswer handles the end of an answer of the backend server. The transaction
// of a single statement is committed with its outcome, or rolled back if it
// failed. In a transaction that the caller has begun, the key's row is written.
// It returns the ReadyForQuery to send.
func (k *idempotencyKey) finishAnswer(m wire.Message) (wire.Message, peer.Verdict) {
	s := byte('I')
	if len(m.Body) == 1 {
		s = m.Body[0]
	}
	switch {
	case k.exchange.task.header.Kind == peer.KindTransaction && !k.rowWritten && s == 'T':
		return m, k.insertIntoTransaction()
	case k.exchange.task.header.Kind == peer.KindTransaction || s == 'I':
		return m, peer.Verdict{}
	case s == 'T':
		return readyIdle, k.commitTransaction()
	default:
		_, err := k.exchange.execInternal("ROLLBACK")
		if err != nil {
			k.exchange.releaseConnection(true)
		}
		return readyIdle, peer.Verdict{}
	}
}

// commitTransaction stores the result in the key's row and commits. One in
// writesPerCleanup calls deletes expired keys in the same transaction.
func (k *idempotencyKey) commitTransaction() peer.Verdict {
	e := k.exchange
	q := "UPDATE dragonflypick_keys SET tag = " + quoteLiteral(commandTag(e.pendingComplete)) + ", gave_rows = " + boolDigit(k.gaveRows) + " WHERE name = " + quoteLiteral(k.name)
	if e.task.owner.shouldDeleteExpiredKeys() {
		q += "; DELETE FROM dragonflypick_keys WHERE name IN (SELECT name FROM dragonflypick_keys WHERE expires < " +
			unixSeconds(time.Now()) + " ORDER BY expires, name LIMIT " + strconv.Itoa(maxCleanupRows) + ")"
	}
	e.handleEvent(outcome.Forwarded{MayCommit: true})
	r, err := e.execInternal(q + "; COMMIT")
	if err != nil {
		v := e.connectionLost(err)
		if v.Outcome == "" {
			v = peer.Verdict{Outcome: answerSent}
		}
		return v
	}
	if r.code != "" {
		if r.status != 'I' {
			_, err = e.execInternal("ROLLBACK")
		}
		e.releaseConnection(err != nil)
		e.pendingComplete = []wire.Message{r.message}
		return peer.Verdict{}
	}
	e.handleEvent(outcome.Committed{Position: r.position})
	return peer.Verdict{}
}

// answerSent is an internal outcome: the complete answer has been sent to the
// entry, and no verdict is needed.
const answerSent = peer.Outcome("answered")

func boolDigit(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// commandTag returns the command tag of the CommandComplete in l; empty if
// there is none.
func commandTag(l []wire.Message) string {
	if len(l) == 0 {
		return ""
	}
	return wire.CString(l[len(l)-1].Body)
}

// insertIntoTransaction writes the key's row in a transaction that the caller has
// begun.
func (k *idempotencyKey) insertIntoTransaction() peer.Verdict {
	e := k.exchange
	r, err := e.execInternal(k.insertStatement("COMMIT"))
	if err != nil {
		return e.connectionLost(err)
	}
	if r.code == "" {
		k.rowWritten = true
		return peer.Verdict{}
	}
	if _, err := e.execInternal("ROLLBACK"); err != nil {
		return e.connectionLost(err)
	}
	e.pendingComplete = nil
	if v, over := k.handleInsertError(r); over {
		if v.Outcome == "" {
			v.Outcome = answerSent
		}
		return v
	}
	return peer.Verdict{Outcome: peer.NotRun, Reason: "key-busy", RetryAfter: keyRetryDelay}
}
