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
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
	"github.com/dragonflypick/dragonflypick/write"
)

// Settings of idempotency keys.
const (
	// keyExpiry is how long a key keeps its outcome.
	keyExpiry = 24 * time.Hour
	// writesPerCleanup is the number of keyed writes of an owner to each cleaning.
	writesPerCleanup = 64
	// maxCleanupRows is the greatest number of expired keys that a cleaning removes.
	maxCleanupRows = 128
	// keyRetryInterval is the pause before a key is tried again.
	keyRetryInterval = 20 * time.Millisecond
)

// SQLSTATEs of backend servers, and those that callers with keys get.
const (
	codeUniqueViolation     = "23505"
	codeUndefinedTable      = "42P01"
	codeReadOnlyTransaction = "25006"
	// codeKeyReused refuses a key that stands for another statement.
	codeKeyReused = "22023"
	// codeAlreadyExecuted tells that the key's request ran before, where its answer
	// can't be given again: a transaction, or a statement that gave rows.
	codeAlreadyExecuted = "55000"
)

// createKeyTable makes the table of keys. It lies in the group's database, so that
// a key commits with its write or not at all.
const createKeyTable = `CREATE TABLE IF NOT EXISTS dragonflypick_keys (name TEXT PRIMARY KEY, digest TEXT NOT NULL, tag TEXT NOT NULL, gave_rows INTEGER NOT NULL, expires BIGINT NOT NULL)`

// setIdleTimeout lets the server end the transaction of a daemon that is frozen, so
// that its locks don't keep others waiting; in milliseconds.
const setIdleTimeout = "SET LOCAL idle_in_transaction_session_timeout = 300; "

// idempotencyKey is the use of an idempotency key by one exchange. The key's row is
// written first in the transaction: it makes another attempt wait for the end
// of this one, and then fail.
type idempotencyKey struct {
	exchange *exchange
	// name and digest are as the entry sent them.
	name   string
	digest string
	// rowWritten tells that the open transaction holds the key's row.
	rowWritten bool
	// gaveRows tells that the statement gave rows.
	gaveRows bool
}

// keyRow is a key's row.
type keyRow struct {
	digest string
	// tag is the command tag of the outcome.
	tag      string
	gaveRows bool
}

// reply is a backend server's answer to a statement of the owner.
type reply struct {
	// code is the SQLSTATE of failure; empty for success.
	code     string
	message  wire.Message
	status   byte
	position logpos.Position
}

// execInternal runs a statement of the owner on the exchange's connection.
func (e *exchange) execInternal(sql string) (reply, error) {
	var r reply
	if err := e.write(wire.Message{Type: wire.Query, Body: append([]byte(sql), 0)}); err != nil {
		return r, err
	}
	for {
		m, err := e.conn.R.Read()
		if err != nil {
			return r, Error.Wrap(err)
		}
		e.recordActivity()
		switch m.Type {
		case wire.ErrorResponse:
			r.code, r.message = sqlState(m), m
		case wire.ParameterStatus:
			if n := wire.CString(m.Body); n == backend.PositionParameter {
				r.position, _ = logpos.Parse(wire.CString(m.Body[len(n)+1:]))
			}
		case wire.ReadyForQuery:
			if len(m.Body) == 1 {
				r.status = m.Body[0]
			}
			return r, nil
		}
	}
}

// sqlState returns the SQLSTATE of an error.
func sqlState(m wire.Message) string {
	var r pgproto3.ErrorResponse
	if r.Decode(m.Body) != nil || r.Code == "" {
		return "XX000"
	}
	return r.Code
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// insert is the statement that writes the key's row; tag is the outcome unless
// a later statement sets it.
func (k *idempotencyKey) insert(tag string) string {
	return "INSERT INTO dragonflypick_keys (name, digest, tag, gave_rows, expires) VALUES (" +
		quote(k.name) + ", " + quote(k.digest) + ", " + quote(tag) + ", 0, " + unixSeconds(time.Now().Add(keyExpiry)) + ")"
}

func unixSeconds(t time.Time) string { return strconv.FormatInt(t.Unix(), 10) }

// begin begins the transaction of a single statement with the key's row. It
// returns a verdict and true if the statement is not to be run.
func (k *idempotencyKey) begin() (peer.Verdict, bool) {
	e := k.exchange
	for time.Now().Before(e.task.deadline) {
		r, err := e.execInternal("BEGIN; " + setIdleTimeout + k.insert(""))
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
		time.Sleep(keyRetryInterval)
	}
	e.release(false)
	return peer.Verdict{Outcome: peer.NotRun, Reason: "expired", RetryAfter: defaultRetryAfter}, true
}

// handleInsertError handles a key's row that could not be written; the transaction is
// rolled back. It returns false if another try may do.
func (k *idempotencyKey) handleInsertError(r reply) (peer.Verdict, bool) {
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
		e.release(false)
		return peer.Verdict{Outcome: peer.NotRun, Reason: "not-primary", RetryAfter: defaultRetryAfter}, true
	default:
		e.release(false)
		return k.answerCaller(peer.Verdict{}, r.message), true
	}
}

// answerDuplicate answers a request whose key has a row. It returns false if the row has
// gone again.
func (k *idempotencyKey) answerDuplicate() (peer.Verdict, bool) {
	e := k.exchange
	x, stop := context.WithDeadline(context.Background(), e.task.deadline)
	defer stop()
	c, ok, p, err := k.readRow(x, monitor.BackendSession{})
	if err == nil && !ok {
		return peer.Verdict{}, false
	}
	e.release(false)
	e.task.owner.config.Log.Info("key has an outcome", "group", e.task.header.Group, "member", e.task.header.Member, "kind", e.task.header.Kind,
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

// readRow reads the key's row from a primary.
func (k *idempotencyKey) readRow(x context.Context, a monitor.BackendSession) (keyRow, bool, logpos.Position, error) {
	r, p, err := k.exchange.task.monitor.QueryPrimary(x, a, "SELECT digest, tag, gave_rows FROM dragonflypick_keys WHERE name = "+quote(k.name))
	if err != nil || len(r) != 1 || len(r[0]) != 3 {
		return keyRow{}, false, p, err
	}
	return keyRow{digest: string(r[0][0]), tag: string(r[0][1]), gaveRows: string(r[0][2]) != "0"}, true, p, nil
}

// resolve tells what became of the key after the connection broke.
func (k *idempotencyKey) resolve(x context.Context) write.Event {
	_, ok, p, err := k.readRow(x, k.exchange.backendSession())
	if err != nil {
		return write.Expired{}
	}
	return write.Found{Ran: ok, Position: p}
}

// observe notes rows in the answer.
func (k *idempotencyKey) observe(m wire.Message) { k.gaveRows = k.gaveRows || m.Type == wire.DataRow }

// finishAnswer ends one answer of the backend server: the single statement's
// transaction is committed with its outcome, or rolled back; a transaction that
// the caller has begun gets the key's row. It returns the ReadyForQuery to send.
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
		return readyIdle, k.commit()
	default:
		_, err := k.exchange.execInternal("ROLLBACK")
		if err != nil {
			k.exchange.release(true)
		}
		return readyIdle, peer.Verdict{}
	}
}

// commit stores the outcome and commits.
func (k *idempotencyKey) commit() peer.Verdict {
	e := k.exchange
	q := "UPDATE dragonflypick_keys SET tag = " + quote(commandTag(e.pendingComplete)) + ", gave_rows = " + boolDigit(k.gaveRows) + " WHERE name = " + quote(k.name)
	if e.task.owner.shouldCleanUp() {
		q += "; DELETE FROM dragonflypick_keys WHERE name IN (SELECT name FROM dragonflypick_keys WHERE expires < " +
			unixSeconds(time.Now()) + " ORDER BY expires, name LIMIT " + strconv.Itoa(maxCleanupRows) + ")"
	}
	e.handle(write.Forwarded{Commits: true})
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
		e.release(err != nil)
		e.pendingComplete = []wire.Message{r.message}
		return peer.Verdict{}
	}
	e.handle(write.Committed{Position: r.position})
	return peer.Verdict{}
}

// answerSent marks that the whole answer has gone to the entry.
const answerSent = peer.Outcome("answered")

func boolDigit(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// commandTag returns the command tag of a CommandComplete; empty if there is none.
func commandTag(l []wire.Message) string {
	if len(l) == 0 {
		return ""
	}
	return wire.CString(l[len(l)-1].Body)
}

// insertIntoTransaction writes the key's row into a transaction that the caller has begun.
func (k *idempotencyKey) insertIntoTransaction() peer.Verdict {
	e := k.exchange
	r, err := e.execInternal(k.insert("COMMIT"))
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
	return peer.Verdict{Outcome: peer.NotRun, Reason: "key-busy", RetryAfter: keyRetryInterval}
}

// answerCaller answers the caller's request in the backend server's place by one
// message, after the verdict if there is one.
func (k *idempotencyKey) answerCaller(v peer.Verdict, last wire.Message) peer.Verdict {
	e := k.exchange
	_ = e.task.stream.SetReadDeadline(e.task.deadline)
	var o []wire.Message
	if e.task.header.Kind == peer.KindWrite {
		l, err := k.readBatch()
		if err != nil {
			return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
		}
		o = buildAnswer(l, last)
	} else {
		o = []wire.Message{last}
	}
	if v.Outcome != "" && e.task.stream.WriteVerdict(v) != nil {
		return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
	}
	if e.task.stream.Write(append(o, readyIdle)...) == nil {
		_ = e.task.stream.Flush()
	}
	return peer.Verdict{}
}

// readBatch reads the caller's messages up to the Query or Sync.
func (k *idempotencyKey) readBatch() ([]wire.Message, error) {
	var l []wire.Message
	for {
		m, err := k.exchange.task.stream.Read()
		if err != nil {
			return nil, err
		}
		l = append(l, m)
		if m.Type == wire.Query || m.Type == wire.Sync {
			return l, nil
		}
	}
}

// buildAnswer builds the answer to a batch with one statement that gives no rows:
// last stands for the execution, or for the whole if it is an error.
func buildAnswer(l []wire.Message, last wire.Message) []wire.Message {
	var o []wire.Message
	for _, m := range l {
		switch m.Type {
		case wire.Parse:
			o = append(o, wire.Message{Type: wire.ParseComplete})
		case wire.Bind:
			o = append(o, wire.Message{Type: wire.BindComplete})
		case wire.Close:
			o = append(o, wire.Message{Type: wire.CloseComplete})
		case wire.Describe:
			if len(m.Body) > 0 && m.Body[0] == 'S' {
				o = append(o, encode(&pgproto3.ParameterDescription{}))
			}
			o = append(o, encode(&pgproto3.NoData{}))
		case wire.Query, wire.Execute:
			o = append(o, last)
			if last.Type == wire.ErrorResponse {
				return o
			}
		}
	}
	return o
}

func commandComplete(tag string) wire.Message {
	return wire.Message{Type: wire.CommandComplete, Body: append([]byte(tag), 0)}
}

func errorResponse(code, message, hint string) wire.Message {
	return encode(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message, Hint: hint})
}

func encode(m pgproto3.BackendMessage) wire.Message {
	b, err := m.Encode(nil)
	if err != nil {
		return wire.Message{Type: wire.ErrorResponse, Body: []byte{0}}
	}
	return wire.Message{Type: b[0], Body: b[5:]}
}
