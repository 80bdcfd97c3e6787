package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
)

// Timing of positions.
const (
	// positionFresh is how old the end of the log may be that a holder tells
	// without asking the primary.
	positionFresh = 100 * time.Millisecond
	// positionInterval is how often the owner of a replica asks for the end of
	// the log while the replica is read; readMemory is how long that is.
	positionInterval = 250 * time.Millisecond
	readMemory       = 3 * time.Second
	// positionTimeout bounds the question.
	positionTimeout = 700 * time.Millisecond
)

// floor returns the position that a replica must hold for a read.
func (f *Daemon) floor(x context.Context, g *group, since time.Time, own logpos.Position) (logpos.Position, bool) {
	for range 2 {
		f.mu.Lock()
		p, ok := g.history.Floor(since, own)
		ask := f.mayAsk(g)
		f.mu.Unlock()
		if ok {
			return p, true
		}
		if !ask {
			return p, false
		}
		f.askPosition(x, g)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return g.history.Floor(since, own)
}

// mayAsk reports whether the group's holder can be asked for the end of the log: a
// host that is cut off reaches no other one. f.mu is held.
func (f *Daemon) mayAsk(g *group) bool {
	return g.Holder().ID == f.c.Self.ID || !f.isolated()
}

// askPosition asks the group's holder for the end of the log; callers at the
// same time share one question.
func (f *Daemon) askPosition(x context.Context, g *group) {
	f.mu.Lock()
	if w := g.asking; w != nil {
		f.mu.Unlock()
		select {
		case <-w:
		case <-x.Done():
		}
		return
	}
	w := make(chan struct{})
	g.asking = w
	h, ok := f.holder(g.name, "")
	f.mu.Unlock()
	t := now()
	var p positionReply
	var err error
	y, stop := context.WithTimeout(x, positionTimeout)
	switch {
	case !ok:
	case h.ID == f.c.Self.ID:
		p = f.position(y, g.name)
	default:
		err = f.node.Call(y, h, methodPosition, groupParams{Group: g.name}, &p)
	}
	stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && p.Known && h.ID != f.c.Self.ID {
		g.history.Add(staleness.Sample{Position: p.Position, At: t.Add(-p.Age)})
	}
	g.asking = nil
	close(w)
	if err != nil {
		f.c.Log.Debug("end of log not known", "group", g.name, "holder", h.ID, "error", err)
	}
}

// position tells the end of the log of a group that this host holds.
func (f *Daemon) position(x context.Context, name string) positionReply {
	for range 2 {
		f.mu.Lock()
		g := f.group(name)
		t := now()
		if !g.MaySend(t) {
			f.mu.Unlock()
			return positionReply{}
		}
		s, ok := g.history.Last()
		id, _ := g.Primary()
		m, known := f.members[id]
		var p *pool.Pool
		if known {
			p = f.pool(m)
		}
		f.mu.Unlock()
		if ok && t.Sub(s.At) < positionFresh {
			return positionReply{Known: true, Position: s.Position, Age: t.Sub(s.At)}
		}
		if !known {
			return positionReply{}
		}
		f.refresh(x, p)
	}
	return positionReply{}
}

// refresh has the primary tell its position by a step that needs no slot.
func (f *Daemon) refresh(x context.Context, p *pool.Pool) {
	if _, err := p.Probe(x, query.Reset{}, positionTimeout); err != nil {
		f.c.Log.Debug("primary not asked for its position", "member", p.Member().ID, "error", err)
	}
}
