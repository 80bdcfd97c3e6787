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
	// keyExpiry is how long a key keeps its outcome.
	keyExpiry = 24 * time.Hour
	// cleanEvery is the number of keyed writes of an owner to each cleaning.
	cleanEvery = 64
	// cleanMost is the greatest number of expired keys that a cleaning removes.
	cleanMost = 128
	// keyPause is the pause before a key is tried again.
	keyPause = 20 * time.Millisecond
)

// SQLSTATEs of backend servers, and those that callers with keys get.
const (
	stateUnique   = "23505"
	stateNoTable  = "42P01"
	stateReadOnly = "25006"
	// stateOtherUse refuses a key that stands for another statement.
	stateOtherUse = "22023"
	// stateRanBefore tells that the key's request ran before, where its answer
	// can't be given again: a transaction, or a statement that gave rows.
	stateRanBefore = "55000"
)

// createKeys makes the table of keys. It lies in the group's database, so that
// a key commits with its write or not at all.
const createKeys = `CREATE TABLE IF NOT EXISTS dragonflypick_keys (name TEXT PRIMARY KEY, digest TEXT NOT NULL, tag TEXT NOT NULL, gave_rows INTEGER NOT NULL, expires BIGINT NOT NULL)`

// boundIdle lets the server end the transaction of a daemon that is frozen, so
// that its locks don't keep others waiting; in milliseconds.
const boundIdle = "SET LOCAL idle_in_transaction_session_timeout = 300; "

// key is the use of an idempotency key by one exchange. The key's row is
// written first in the transaction: it makes another attempt wait for the end
// of this one, and then fail.
type key struct {
	e *exchange
	// name and digest are as the entry sent them.
	name   string
	digest string
	// held tells that the open transaction holds the key's row.
	held bool
	// rows tells that the statement gave rows.
	rows bool
}

// record is a key's row.
type record struct {
	digest string
	// tag is the command tag of the outcome.
	tag  string
	rows bool
}

// reply is a backend server's answer to a statement of the owner.
type reply struct {
	// code is the SQLSTATE of failure; empty for success.
	code     string
	message  wire.Message
	status   byte
	position logpos.Position
}

// own runs a statement of the owner on the exchange's connection.
func (e *exchange) own(sql string) (reply, error) {
	var r reply
	if err := e.write(wire.Message{Type: wire.Query, Body: append([]byte(sql), 0)}); err != nil {
		return r, err
	}
	for {
		m, err := e.c.R.Read()
		if err != nil {
			return r, Error.Wrap(err)
		}
		e.touch()
		switch m.Type {
		case wire.ErrorResponse:
			r.code, r.message = codeOf(m), m
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

// codeOf returns the SQLSTATE of an error.
func codeOf(m wire.Message) string {
	var r pgproto3.ErrorResponse
	if r.Decode(m.Body) != nil || r.Code == "" {
		return "XX000"
	}
	return r.Code
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// insert is the statement that writes the key's row; tag is the outcome unless
// a later statement sets it.
func (k *key) insert(tag string) string {
	return "INSERT INTO dragonflypick_keys (name, digest, tag, gave_rows, expires) VALUES (" +
		quote(k.name) + ", " + quote(k.digest) + ", " + quote(tag) + ", 0, " + unix(time.Now().Add(keyExpiry)) + ")"
}

func unix(t time.Time) string { return strconv.FormatInt(t.Unix(), 10) }

// open begins the transaction of a single statement with the key's row. It
// returns a verdict and true if the statement is not to be run.
func (k *key) open() (peer.Verdict, bool) {
	e := k.e
	for time.Now().Before(e.t.deadline) {
		r, err := e.own("BEGIN; " + boundIdle + k.insert(""))
		if err != nil {
			return e.broken(err), true
		}
		if r.code == "" {
			k.held = true
			return peer.Verdict{}, false
		}
		if _, err := e.own("ROLLBACK"); err != nil {
			return e.broken(err), true
		}
		if v, over := k.refused(r); over {
			return v, true
		}
		time.Sleep(keyPause)
	}
	e.release(false)
	return peer.Verdict{Outcome: peer.NotRun, Reason: "expired", RetryAfter: defaultRetryAfter}, true
}

// refused handles a key's row that could not be written; the transaction is
// rolled back. It returns false if another try may do.
func (k *key) refused(r reply) (peer.Verdict, bool) {
	e := k.e
	switch r.code {
	case stateNoTable:
		if _, err := e.own(createKeys); err != nil {
			return e.broken(err), true
		}
		return peer.Verdict{}, false
	case stateUnique:
		return k.again()
	case stateReadOnly:
		e.release(false)
		return peer.Verdict{Outcome: peer.NotRun, Reason: "not-primary", RetryAfter: defaultRetryAfter}, true
	default:
		e.release(false)
		return k.pass(peer.Verdict{}, r.message), true
	}
}

// again answers a request whose key has a row. It returns false if the row has
// gone again.
func (k *key) again() (peer.Verdict, bool) {
	e := k.e
	x, stop := context.WithDeadline(context.Background(), e.t.deadline)
	defer stop()
	c, ok, p, err := k.look(x, monitor.Attempt{})
	if err == nil && !ok {
		return peer.Verdict{}, false
	}
	e.release(false)
	e.t.o.c.Log.Info("key has an outcome", "group", e.t.h.Group, "member", e.t.h.Member, "kind", e.t.h.Kind,
		"same", c.digest == k.digest, "position", p.String(), "error", err)
	v := peer.Verdict{Outcome: peer.Done, Position: p}
	switch {
	case err != nil:
		return peer.Verdict{Outcome: peer.InDoubt, Reason: "majority-timeout"}, true
	case c.digest != k.digest:
		return k.pass(peer.Verdict{}, failure(stateOtherUse, "the idempotency key was used for another statement", "Not run. Use a key for one request only.")), true
	case c.rows || e.t.h.Kind == peer.KindTransaction:
		return k.pass(v, failure(stateRanBefore, "the request with this idempotency key was committed before: "+c.tag, "Not run again; its rows are not kept.")), true
	default:
		return k.pass(v, complete(c.tag)), true
	}
}

// look reads the key's row from a primary.
func (k *key) look(x context.Context, a monitor.Attempt) (record, bool, logpos.Position, error) {
	r, p, err := k.e.t.m.Look(x, a, "SELECT digest, tag, gave_rows FROM dragonflypick_keys WHERE name = "+quote(k.name))
	if err != nil || len(r) != 1 || len(r[0]) != 3 {
		return record{}, false, p, err
	}
	return record{digest: string(r[0][0]), tag: string(r[0][1]), rows: string(r[0][2]) != "0"}, true, p, nil
}

// resolve tells what became of the key after the connection broke.
func (k *key) resolve(x context.Context) outcome.Event {
	_, ok, p, err := k.look(x, k.e.attempt())
	if err != nil {
		return outcome.Expired{}
	}
	return outcome.KeyResolved{Present: ok, Position: p}
}

// see notes rows in the answer.
func (k *key) see(m wire.Message) { k.rows = k.rows || m.Type == wire.DataRow }

// finish ends one answer of the backend server: the single statement's
// transaction is committed with its outcome, or rolled back; a transaction that
// the caller has begun gets the key's row. It returns the ReadyForQuery to send.
func (k *key) finish(m wire.Message) (wire.Message, peer.Verdict) {
	s := byte('I')
	if len(m.Body) == 1 {
		s = m.Body[0]
	}
	switch {
	case k.e.t.h.Kind == peer.KindTransaction && !k.held && s == 'T':
		return m, k.join()
	case k.e.t.h.Kind == peer.KindTransaction || s == 'I':
		return m, peer.Verdict{}
	case s == 'T':
		return idle, k.commit()
	default:
		_, err := k.e.own("ROLLBACK")
		if err != nil {
			k.e.release(true)
		}
		return idle, peer.Verdict{}
	}
}

// commit stores the outcome and commits.
func (k *key) commit() peer.Verdict {
	e := k.e
	q := "UPDATE dragonflypick_keys SET tag = " + quote(tagOf(e.tail)) + ", gave_rows = " + flag(k.rows) + " WHERE name = " + quote(k.name)
	if e.t.o.clean() {
		q += "; DELETE FROM dragonflypick_keys WHERE name IN (SELECT name FROM dragonflypick_keys WHERE expires < " +
			unix(time.Now()) + " ORDER BY expires, name LIMIT " + strconv.Itoa(cleanMost) + ")"
	}
	e.handle(outcome.Forwarded{MayCommit: true})
	r, err := e.own(q + "; COMMIT")
	if err != nil {
		v := e.broken(err)
		if v.Outcome == "" {
			v = peer.Verdict{Outcome: answeredHere}
		}
		return v
	}
	if r.code != "" {
		if r.status != 'I' {
			_, err = e.own("ROLLBACK")
		}
		e.release(err != nil)
		e.tail = []wire.Message{r.message}
		return peer.Verdict{}
	}
	e.handle(outcome.Committed{Position: r.position})
	return peer.Verdict{}
}

// answeredHere marks that the whole answer has gone to the entry.
const answeredHere = peer.Outcome("answered")

func flag(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// tagOf returns the command tag of a CommandComplete; empty if there is none.
func tagOf(l []wire.Message) string {
	if len(l) == 0 {
		return ""
	}
	return wire.CString(l[len(l)-1].Body)
}

// join writes the key's row into a transaction that the caller has begun.
func (k *key) join() peer.Verdict {
	e := k.e
	r, err := e.own(k.insert("COMMIT"))
	if err != nil {
		return e.broken(err)
	}
	if r.code == "" {
		k.held = true
		return peer.Verdict{}
	}
	if _, err := e.own("ROLLBACK"); err != nil {
		return e.broken(err)
	}
	e.tail = nil
	if v, over := k.refused(r); over {
		if v.Outcome == "" {
			v.Outcome = answeredHere
		}
		return v
	}
	return peer.Verdict{Outcome: peer.NotRun, Reason: "key-busy", RetryAfter: keyPause}
}

// pass answers the caller's request in the backend server's place by one
// message, after the verdict if there is one.
func (k *key) pass(v peer.Verdict, last wire.Message) peer.Verdict {
	e := k.e
	_ = e.t.s.SetReadDeadline(e.t.deadline)
	var o []wire.Message
	if e.t.h.Kind == peer.KindWrite {
		l, err := k.batch()
		if err != nil {
			return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
		}
		o = answerTo(l, last)
	} else {
		o = []wire.Message{last}
	}
	if v.Outcome != "" && e.t.s.WriteVerdict(v) != nil {
		return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
	}
	if e.t.s.Write(append(o, idle)...) == nil {
		_ = e.t.s.Flush()
	}
	return peer.Verdict{}
}

// batch reads the caller's messages up to the Query or Sync.
func (k *key) batch() ([]wire.Message, error) {
	var l []wire.Message
	for {
		m, err := k.e.t.s.Read()
		if err != nil {
			return nil, err
		}
		l = append(l, m)
		if m.Type == wire.Query || m.Type == wire.Sync {
			return l, nil
		}
	}
}

// answerTo builds the answer to a batch with one statement that gives no rows:
// last stands for the execution, or for the whole if it is an error.
func answerTo(l []wire.Message, last wire.Message) []wire.Message {
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
				o = append(o, encoded(&pgproto3.ParameterDescription{}))
			}
			o = append(o, encoded(&pgproto3.NoData{}))
		case wire.Query, wire.Execute:
			o = append(o, last)
			if last.Type == wire.ErrorResponse {
				return o
			}
		}
	}
	return o
}

func complete(tag string) wire.Message {
	return wire.Message{Type: wire.CommandComplete, Body: append([]byte(tag), 0)}
}

func failure(code, message, hint string) wire.Message {
	return encoded(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message, Hint: hint})
}

func encoded(m pgproto3.BackendMessage) wire.Message {
	b, err := m.Encode(nil)
	if err != nil {
		return wire.Message{Type: wire.ErrorResponse, Body: []byte{0}}
	}
	return wire.Message{Type: b[0], Body: b[5:]}
}
