package pool

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a connection in the name of a team, empty for the daemon's own
	// work and for callers without a team, and the position that the member
	// reported. If the member refused it, the error is a *query.Failure.
	Dial(x context.Context, m catalog.Member, team string) (Conn, logpos.Position, error)
}

// Conn is a connection to a backend server. It is not safe for concurrent use, except for
// Close.
type Conn interface {
	// RunStep runs one step. After an error the connection can't be used any more,
	// and it is unknown whether the step was run, unless it is an *UnsentError.
	RunStep(s query.Step, deadline time.Time) (query.Reply, error)
	// Close ends a step that is being run. It may be called again.
	Close()
}

// conn is a pooled connection with the state of its session at the member.
type conn struct {
	Conn
	// id identifies the connection in the pool.
	id uint64
	// team is the team in whose name the connection was opened.
	team      string
	values    []query.Value
	templates templates
	// endOnKill is set while the connection runs work that Pool.Kill ends; Pool.mu guards
	// it.
	endOnKill bool
	// answers is what the connection has answered so far.
	answers *answerRecord
	// doubted is set while an answer may still be to come, since the last one may have been
	// a copy. The session is reset before anything else is sent: what the member answers
	// before it answers the reset is then told by its kind.
	doubted bool
	// took is how long the last step took, and roundTrip the last one that needed no slot
	// of the member; zero if none was run for the present request.
	took, roundTrip time.Duration
}

// valuesKey identifies session values.
func valuesKey(l []query.Value) string {
	var b strings.Builder
	for _, v := range l {
		b.WriteString(strconv.Quote(v.Name) + strconv.Quote(v.Text))
	}
	return b.String()
}

// hasValues reports whether the connection's session values equal v.
func (c *conn) hasValues(v []query.Value) bool { return slices.Equal(c.values, v) }

// setUpSession sets the session values of a request and prepares its template,
// unless the connection already has them. It returns a failed reply if the member
// refused.
func (c *conn) setUpSession(r *query.Request, deadline time.Time) (query.Reply, error) {
	if c.doubted {
		if o, err := c.reset(deadline); err != nil || o.Failure != nil {
			return o, err
		}
	}
	if !c.hasValues(r.Values) {
		if o, err := c.setValues(r.Values, deadline); err != nil || o.Failure != nil {
			return o, err
		}
	}
	if r.Template == nil {
		return query.Reply{}, nil
	}
	return c.prepare(*r.Template, deadline)
}

// prepare prepares a template, unless it is prepared already.
func (c *conn) prepare(t query.Template, deadline time.Time) (query.Reply, error) {
	if _, ok := c.templates.name(t); ok {
		return query.Reply{}, nil
	}
	if c.templates.needsReset(t) {
		v := c.values
		if o, err := c.reset(deadline); err != nil || o.Failure != nil {
			return o, err
		}
		if o, err := c.setValues(v, deadline); err != nil || o.Failure != nil {
			return o, err
		}
	}
	n := c.templates.newName()
	o, err := c.runSetUpStep(query.PrepareTemplate{Name: n, Template: t}, deadline)
	if err == nil && o.Failure == nil {
		c.templates.add(t, n)
	}
	return o, err
}

// setValues replaces the session values.
func (c *conn) setValues(v []query.Value, deadline time.Time) (query.Reply, error) {
	if len(c.values) > 0 {
		if o, err := c.reset(deadline); err != nil || o.Failure != nil {
			return o, err
		}
	}
	for _, x := range v {
		o, err := c.runSetUpStep(query.SetValue{Value: x}, deadline)
		if err != nil || o.Failure != nil {
			return o, err
		}
		c.values = append(c.values, x)
	}
	return query.Reply{}, nil
}

// reset clears the session values and the prepared templates.
func (c *conn) reset(deadline time.Time) (query.Reply, error) {
	o, err := c.runSetUpStep(query.ResetSession{}, deadline)
	if err == nil && o.Failure == nil {
		c.markReset()
	}
	return o, err
}

// markReset records that the member has reset the session.
func (c *conn) markReset() {
	c.values, c.doubted = nil, false
	c.templates.clear()
}

// runSetUpStep runs a step that needs no slot of the member.
func (c *conn) runSetUpStep(s query.Step, deadline time.Time) (query.Reply, error) {
	t := time.Now()
	o, err := c.RunStep(s, deadline)
	if err == nil {
		c.roundTrip = time.Since(t)
	}
	return o, err
}
