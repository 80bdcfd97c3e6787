package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timeouts and waits of sessions.
const (
	operationTimeout = 40 * time.Second
	connectTimeout   = 5 * time.Second
	// retryBackoff is the wait after a failed connect and before an order in doubt
	// is repeated.
	retryBackoff = 50 * time.Millisecond
	// keepTokenProbability is the probability that a session keeps its token when
	// it moves to another daemon.
	keepTokenProbability = 0.8
)

// createTableSQL creates the table of orders. It has no unique constraint, so an order
// that is run twice is stored twice and can be counted.
const createTableSQL = "CREATE TABLE IF NOT EXISTS load_orders (id TEXT NOT NULL, rolls INTEGER NOT NULL)"

// worker runs the operations of one session.
type worker struct {
	runner *Runner
	id     int
	rank   bundle.Rank
	random *rand.Rand
	conn   *pgx.Conn
	token  string
	// addressIndex is the index in Config.Addresses of the session's daemon.
	addressIndex   int
	operationCount int
	// lastOrder is the id of the session's last acknowledged order.
	lastOrder string
}

func newWorker(r *Runner, id int, k bundle.Rank) *worker {
	return &worker{runner: r, id: id, rank: k, random: rand.New(rand.NewPCG(r.config.Seed, uint64(id)<<8)), addressIndex: id % len(r.config.Addresses)}
}

func (w *worker) runOperations(x context.Context) error {
	defer w.close()
	for due := range w.runner.due[w.rank] {
		if x.Err() != nil {
			return Error.Wrap(x.Err())
		}
		if w.runner.config.MoveEvery > 0 && w.operationCount > 0 && w.operationCount%w.runner.config.MoveEvery == 0 {
			w.moveToRandomDaemon()
		}
		w.operationCount++
		w.runOperation(x, due)
	}
	return nil
}

// moveToRandomDaemon closes the connection and selects a random daemon for the next
// one. Without its token the session isn't guaranteed to read its own last order,
// so lastOrder is reset too.
func (w *worker) moveToRandomDaemon() {
	w.close()
	w.addressIndex = w.random.IntN(len(w.runner.config.Addresses))
	if w.random.Float64() >= keepTokenProbability {
		w.token = ""
		w.lastOrder = ""
	}
}

func (w *worker) close() {
	if w.conn == nil {
		return
	}
	x, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_ = w.conn.Close(x)
	w.conn = nil
}

func (w *worker) runOperation(x context.Context, due time.Time) {
	x, stop := context.WithTimeout(x, operationTimeout)
	defer stop()
	switch w.rank {
	case bundle.Urgent:
		w.placeOrder(x, due)
	case bundle.Routine:
		w.lookUpOrder(x, due)
	default:
		w.runReport(x, due)
	}
}

// connect opens the session's connection if none is open. If it fails, the next
// attempt goes to a random daemon.
func (w *worker) connect(x context.Context) error {
	if w.conn != nil && !w.conn.IsClosed() {
		return nil
	}
	x, stop := context.WithTimeout(x, connectTimeout)
	defer stop()
	c, err := Dial(x, w.runner.config, w.runner.config.Addresses[w.addressIndex], map[string]string{"dragonflypick.rank": w.rank.String(), "dragonflypick.session": w.token})
	if err != nil {
		w.addressIndex = w.random.IntN(len(w.runner.config.Addresses))
		time.Sleep(retryBackoff)
		return err
	}
	w.conn = c
	return nil
}

// placeOrder sends a new order and records its outcome. With Config.Keyed it
// repeats an order in doubt; an order that is refused then stays in doubt, since
// an earlier attempt may have been run.
func (w *worker) placeOrder(x context.Context, due time.Time) {
	id := fmt.Sprintf("o-%d-%d-%d", w.runner.config.Seed, w.id, w.operationCount)
	b := time.Now()
	o, code := w.insertOrder(x, id)
	for i := 0; w.runner.config.Keyed && o == inDoubt && i < w.runner.config.Repeats; i++ {
		time.Sleep(retryBackoff)
		o, code = w.insertOrder(x, id)
		if o == refused {
			o = inDoubt
		}
	}
	if o == done {
		w.lastOrder = id
	}
	w.runner.recorder.recordOutcome(w.rank, o, code, time.Since(due))
	w.runner.recorder.recordOrder(order{id: id, started: b, ended: time.Now(), outcome: o})
}

func (w *worker) insertOrder(x context.Context, id string) (outcome, string) {
	if err := w.connect(x); err != nil {
		return refused, "connect"
	}
	q := "INSERT INTO load_orders (id, rolls) VALUES ($1, $2)"
	if w.runner.config.Keyed {
		q = "/* dragonflypick key=" + id + " */ " + q
	}
	_, err := w.conn.Exec(x, q, id, 1+w.operationCount%9)
	o, code := classifyError(err)
	w.updateSession(o)
	return o, code
}

// updateSession stores the session's token, and closes the connection after a
// failure.
func (w *worker) updateSession(o outcome) {
	if w.conn == nil {
		return
	}
	if t := w.conn.PgConn().ParameterStatus("dragonflypick.session"); t != "" {
		w.token = t
	}
	if o == failed || w.conn.IsClosed() {
		w.close()
	}
}

// classifyError returns the outcome of an operation that ended with err, and the text
// under which a failure is counted.
func classifyError(err error) (outcome, string) {
	var p *pgconn.PgError
	switch {
	case err == nil:
		return done, ""
	case !errors.As(err, &p):
		return inDoubt, "connection: " + innermostMessage(err)
	case p.Code == "53300" || p.Code == "57P03" || p.Code == "57P01":
		return refused, p.Code + " " + p.Message
	case p.Code == "08007":
		return inDoubt, p.Code + " " + p.Message
	default:
		return failed, p.Code + " " + p.Message
	}
}

// innermostMessage returns the text of the innermost error. Unlike the outer ones it
// contains no addresses, so equal failures of different connections are counted
// together.
func innermostMessage(err error) string {
	for u := errors.Unwrap(err); u != nil; u = errors.Unwrap(err) {
		err = u
	}
	return err.Error()
}

// lookUpOrder reads the session's last acknowledged order and counts a stale read if
// it is missing. The first of every operationsPerOrder operations is an order
// instead.
func (w *worker) lookUpOrder(x context.Context, due time.Time) {
	if err := w.connect(x); err != nil {
		w.runner.recorder.recordOutcome(w.rank, refused, "connect", time.Since(due))
		return
	}
	if w.operationCount%operationsPerOrder == 1 {
		w.placeOrder(x, due)
		return
	}
	var n int64
	err := w.conn.QueryRow(x, "SELECT count(*) FROM load_orders WHERE id = $1", w.lastOrder).Scan(&n)
	o, code := classifyError(err)
	w.updateSession(o)
	if o == done && n == 0 && w.lastOrder != "" {
		w.runner.recorder.countStale()
	}
	w.runner.recorder.recordOutcome(w.rank, o, code, time.Since(due))
}

// operationsPerOrder is the number of operations of a routine session for each of
// its orders.
const operationsPerOrder = 20

// runReport counts all orders, in a read of class "swatch", which allows a bounded
// staleness.
func (w *worker) runReport(x context.Context, due time.Time) {
	if err := w.connect(x); err != nil {
		w.runner.recorder.recordOutcome(w.rank, refused, "connect", time.Since(due))
		return
	}
	var n int64
	err := w.conn.QueryRow(x, "/* dragonflypick class=swatch */ SELECT count(*) FROM load_orders").Scan(&n)
	o, code := classifyError(err)
	w.updateSession(o)
	w.runner.recorder.recordOutcome(w.rank, o, code, time.Since(due))
}

// createOrderTable creates the table of orders.
func (r *Runner) createOrderTable(x context.Context) error {
	x, stop := context.WithTimeout(x, operationTimeout)
	defer stop()
	c, err := Dial(x, r.config, r.config.Addresses[0], nil)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(x) }()
	_, err = c.Exec(x, createTableSQL)
	return Error.Wrap(err)
}

// verifyAttempts is the maximum number of attempts of the final read.
const verifyAttempts = 20

// verifyOrders compares every order's outcome with the rows on the primary.
func (r *Runner) verifyOrders(x context.Context) error {
	var err error
	for range verifyAttempts {
		var stored map[string]int
		if stored, err = r.storedOrders(x); err == nil {
			r.recorder.compareOrders(stored)
			return nil
		}
		time.Sleep(time.Second / 4)
	}
	return err
}

// storedOrders reads the orders of this run from the primary, in a transaction, and
// returns the number of rows of each order.
func (r *Runner) storedOrders(x context.Context) (map[string]int, error) {
	x, stop := context.WithTimeout(x, operationTimeout)
	defer stop()
	a := r.config.Addresses[rand.IntN(len(r.config.Addresses))]
	c, err := Dial(x, r.config, a, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close(x) }()
	t, err := c.Begin(x)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = t.Rollback(x) }()
	rows, err := t.Query(x, "SELECT id FROM load_orders")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer rows.Close()
	o := map[string]int{}
	p := fmt.Sprintf("o-%d-", r.config.Seed)
	for rows.Next() {
		var id string
		if err := rows.Scan(&id); err != nil {
			return nil, Error.Wrap(err)
		}
		if strings.HasPrefix(id, p) {
			o[id]++
		}
	}
	return o, Error.Wrap(rows.Err())
}

func isLoopback(a string) bool {
	h, _, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	i := net.ParseIP(h)
	return i != nil && i.IsLoopback()
}
