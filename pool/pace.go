package pool

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pace"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/teamconns"
)

// Constants of the hash of statements' kinds; 1<<kindBits is pace.KindCount.
const (
	kindBits       = 4
	kindMultiplier = 0x9e3779b97f4a7c15
)

// PaceConfig asks for limits that follow how the member answers.
type PaceConfig struct {
	// Fresh is set if the member has started recently.
	Fresh bool
	// Known is what an earlier owner found; nil if nothing is known.
	Known *pace.State
	// Observe is called with each decision on the limit.
	Observe func(pace.Change)
}

// pacer applies the limits of a pace.Pace to a pool.
type pacer struct {
	config PaceConfig
	member catalog.Member
	limit  *slotLimit
	log    hclog.Logger
	now    func() time.Time

	mu   sync.Mutex
	pace *pace.Pace
	// direction is the sign of the last change of the limit.
	direction int
}

// newPacer returns a pacer, or nil if the pool's limits are fixed.
func newPacer(c Config, connections int, l *slotLimit) *pacer {
	if c.Pace == nil {
		return nil
	}
	m := c.Member
	a := &pacer{
		config: *c.Pace, member: m, limit: l, log: c.Log, now: c.Now,
		pace: pace.New(pace.Config{Slots: m.Slots, Connections: connections, Cold: m.ColdRemaining, Fresh: c.Pace.Fresh, Known: c.Pace.Known}, c.Now()),
	}
	l.setPaced(a.pace.Limit())
	return a
}

func (a *pacer) handle(e pace.Event) {
	a.mu.Lock()
	c := a.pace.Handle(e, a.now())
	if c == nil {
		a.mu.Unlock()
		return
	}
	a.limit.setPaced(a.pace.Limit())
	d := 0
	switch {
	case c.To > c.From:
		d = 1
	case c.To < c.From:
		d = -1
	}
	turned := d != 0 && d != a.direction
	if d != 0 {
		a.direction = d
	}
	a.mu.Unlock()
	if turned {
		a.log.Info("member pace changed direction", "member", a.member.ID, "group", a.member.Group, "slots", a.member.Slots, "from", c.From, "to", c.To, "reason", string(c.Reason),
			"slowness", c.Slowness, "accepted", c.Level, "answers", c.Answers)
	}
	if a.config.Observe != nil {
		a.config.Observe(*c)
	}
}

// observe reports the reply to a statement that was sent while running statements,
// itself included, held a slot.
func (a *pacer) observe(r *query.Request, o query.Reply, took time.Duration, running int) {
	switch {
	case o.Failure == nil:
		a.handle(pace.Answered{Kind: statementKind(r), Took: took, Running: running})
	case o.Failure.Reason == query.Overloaded:
		a.handle(pace.Busy{})
	}
}

// statementKind returns the kind of a request's statement. Requests of one database
// are of the same kind at all owners; those of others may be, too.
func statementKind(r *query.Request) pace.Kind {
	h := uint64(r.Action) | uint64(r.Rank)<<2
	if r.Action != query.ActionCommit {
		h |= uint64(r.MaxAge.Milliseconds()) << 4
	}
	return pace.Kind(h * kindMultiplier >> (64 - kindBits))
}

// endOpening reports the end of an opening.
func (a *pacer) endOpening(took time.Duration, err error) {
	if err == nil {
		a.handle(pace.Opened{Took: took})
		return
	}
	if f, ok := asFailure(err); ok && f.Reason == query.TooManyConnections {
		a.handle(pace.OpeningRefused{})
	}
}

// openings returns the number of connections to open at a time.
func (a *pacer) openings() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pace.Openings()
}

// openConn opens a connection in a team's name.
func (p *Pool) openConn(x context.Context, team string) (Conn, logpos.Position, error) {
	if p.pacer == nil {
		return p.config.Dialer.Dial(x, p.config.Member, team)
	}
	t := p.config.Now()
	c, at, err := p.config.Dialer.Dial(x, p.config.Member, team)
	p.pacer.endOpening(p.config.Now().Sub(t), err)
	p.limitOpenings()
	return c, at, err
}

// limitOpenings gives the set of connections the limit of openings in force.
func (p *Pool) limitOpenings() {
	if p.pacer == nil {
		return
	}
	n := p.pacer.openings()
	p.mu.Lock()
	defer p.mu.Unlock()
	if n != p.openingLimit {
		p.openingLimit = n
		p.handle(teamconns.Limited{Openings: n})
	}
}

// runRequestStep runs the statement or commit of a request and reports its time.
func (p *Pool) runRequestStep(c *conn, r *query.Request, floor logpos.Position, d time.Time) (query.Reply, error) {
	if p.pacer == nil {
		return p.runStep(c, c.requestStep(r, floor), d)
	}
	n, t := p.slots.Running(), p.config.Now()
	o, err := p.runStep(c, c.requestStep(r, floor), d)
	if err == nil {
		p.pacer.observe(r, o, p.config.Now().Sub(t), n)
	}
	return o, err
}

// Pace returns what this pool has found about the member's pace. It returns false if
// the limits are fixed.
func (p *Pool) Pace() (pace.State, bool) {
	a := p.pacer
	if a == nil {
		return pace.State{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pace.State(), true
}
