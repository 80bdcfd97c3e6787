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

// Timing of sessions.
const (
	operationTimeout = 40 * time.Second
	connectTimeout   = 5 * time.Second
	// reconnectPause is the pause after a failed connect.
	reconnectPause = 50 * time.Millisecond
	// bringsToken is the share of moves that bring the session's token.
	bringsToken = 0.8
)

// table is the table of orders. Nothing in it keeps an order from standing
// twice.
const table = "CREATE TABLE IF NOT EXISTS load_orders (id TEXT NOT NULL, rolls INTEGER NOT NULL)"

// worker is one session.
type worker struct {
	r     *Runner
	id    int
	k     bundle.Rank
	u     *rand.Rand
	c     *pgx.Conn
	token string
	// at is the daemon that the session is on.
	at    int
	count int
	// last is the session's last acknowledged order.
	last string
}

func newWorker(r *Runner, id int, k bundle.Rank) *worker {
	return &worker{r: r, id: id, k: k, u: rand.New(rand.NewPCG(r.c.Seed, uint64(id)<<8)), at: id % len(r.c.Addresses)}
}

func (w *worker) run(x context.Context) error {
	defer w.close()
	for due := range w.r.work[w.k] {
		if x.Err() != nil {
			return Error.Wrap(x.Err())
		}
		if w.r.c.MoveEvery > 0 && w.count > 0 && w.count%w.r.c.MoveEvery == 0 {
			w.move()
		}
		w.count++
		w.operate(x, due)
	}
	return nil
}

// move leaves for another daemon, with or without the session's token.
func (w *worker) move() {
	w.close()
	w.at = w.u.IntN(len(w.r.c.Addresses))
	if w.u.Float64() >= bringsToken {
		w.token = ""
		w.last = ""
	}
}

func (w *worker) close() {
	if w.c == nil {
		return
	}
	x, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_ = w.c.Close(x)
	w.c = nil
}

func (w *worker) operate(x context.Context, due time.Time) {
	x, stop := context.WithTimeout(x, operationTimeout)
	defer stop()
	switch w.k {
	case bundle.Urgent:
		w.order(x, due)
	case bundle.Routine:
		w.lookUp(x, due)
	default:
		w.report(x, due)
	}
}

// connect opens the session's connection if there is none.
func (w *worker) connect(x context.Context) error {
	if w.c != nil && !w.c.IsClosed() {
		return nil
	}
	x, stop := context.WithTimeout(x, connectTimeout)
	defer stop()
	c, err := Dial(x, w.r.c, w.r.c.Addresses[w.at], map[string]string{"dragonflypick.rank": w.k.String(), "dragonflypick.session": w.token})
	if err != nil {
		w.at = w.u.IntN(len(w.r.c.Addresses))
		time.Sleep(reconnectPause)
		return err
	}
	w.c = c
	return nil
}

// order places an order.
func (w *worker) order(x context.Context, due time.Time) {
	id := fmt.Sprintf("o-%d-%d-%d", w.r.c.Seed, w.id, w.count)
	b := time.Now()
	o, code := w.place(x, id)
	for i := 0; w.r.c.Keyed && o == inDoubt && i < w.r.c.Repeats; i++ {
		time.Sleep(reconnectPause)
		o, code = w.place(x, id)
		if o == refused {
			o = inDoubt
		}
	}
	if o == done {
		w.last = id
	}
	w.r.rec.ended(w.k, o, code, time.Since(due))
	w.r.rec.ordered(order{id: id, started: b, ended: time.Now(), outcome: o})
}

func (w *worker) place(x context.Context, id string) (outcome, string) {
	if err := w.connect(x); err != nil {
		return refused, "connect"
	}
	q := "INSERT INTO load_orders (id, rolls) VALUES ($1, $2)"
	if w.r.c.Keyed {
		q = "/* dragonflypick key=" + id + " */ " + q
	}
	_, err := w.c.Exec(x, q, id, 1+w.count%9)
	o, code := judge(err)
	w.after(o)
	return o, code
}

// after keeps the session's token, and gives a broken connection up.
func (w *worker) after(o outcome) {
	if w.c == nil {
		return
	}
	if t := w.c.PgConn().ParameterStatus("dragonflypick.session"); t != "" {
		w.token = t
	}
	if o == failed || w.c.IsClosed() {
		w.close()
	}
}

// judge tells what an error means for the caller.
func judge(err error) (outcome, string) {
	var p *pgconn.PgError
	switch {
	case err == nil:
		return done, ""
	case !errors.As(err, &p):
		return inDoubt, "connection: " + cause(err)
	case p.Code == "53300" || p.Code == "57P03" || p.Code == "57P01":
		return refused, p.Code + " " + p.Message
	case p.Code == "08007":
		return inDoubt, p.Code + " " + p.Message
	default:
		return failed, p.Code + " " + p.Message
	}
}

// cause returns the innermost error's text without addresses.
func cause(err error) string {
	for u := errors.Unwrap(err); u != nil; u = errors.Unwrap(err) {
		err = u
	}
	return err.Error()
}

// lookUp reads the session's last order, which it must see.
func (w *worker) lookUp(x context.Context, due time.Time) {
	if err := w.connect(x); err != nil {
		w.r.rec.ended(w.k, refused, "connect", time.Since(due))
		return
	}
	if w.count%lookUpsPerOrder == 1 {
		w.order(x, due)
		return
	}
	var n int64
	err := w.c.QueryRow(x, "SELECT count(*) FROM load_orders WHERE id = $1", w.last).Scan(&n)
	o, code := judge(err)
	w.after(o)
	if o == done && n == 0 && w.last != "" {
		w.r.rec.staleRead()
	}
	w.r.rec.ended(w.k, o, code, time.Since(due))
}

// lookUpsPerOrder is the number of look-ups of a routine session for each of
// its orders.
const lookUpsPerOrder = 20

// report reads with a tolerance.
func (w *worker) report(x context.Context, due time.Time) {
	if err := w.connect(x); err != nil {
		w.r.rec.ended(w.k, refused, "connect", time.Since(due))
		return
	}
	var n int64
	err := w.c.QueryRow(x, "/* dragonflypick class=swatch */ SELECT count(*) FROM load_orders").Scan(&n)
	o, code := judge(err)
	w.after(o)
	w.r.rec.ended(w.k, o, code, time.Since(due))
}

// prepare makes the table.
func (r *Runner) prepare(x context.Context) error {
	x, stop := context.WithTimeout(x, operationTimeout)
	defer stop()
	c, err := Dial(x, r.c, r.c.Addresses[0], nil)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(x) }()
	_, err = c.Exec(x, table)
	return Error.Wrap(err)
}

// verifyAttempts is how often the final read is tried.
const verifyAttempts = 20

// verify compares every order's outcome with what the primary holds.
func (r *Runner) verify(x context.Context) error {
	var err error
	for range verifyAttempts {
		var held map[string]int
		if held, err = r.held(x); err == nil {
			r.rec.compare(held)
			return nil
		}
		time.Sleep(time.Second / 4)
	}
	return err
}

// held reads all orders of this run from the primary.
func (r *Runner) held(x context.Context) (map[string]int, error) {
	x, stop := context.WithTimeout(x, operationTimeout)
	defer stop()
	a := r.c.Addresses[rand.IntN(len(r.c.Addresses))]
	c, err := Dial(x, r.c, a, nil)
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
	p := fmt.Sprintf("o-%d-", r.c.Seed)
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

func loopback(a string) bool {
	h, _, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	i := net.ParseIP(h)
	return i != nil && i.IsLoopback()
}
