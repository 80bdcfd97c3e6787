package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
)

// Timing of log positions.
const (
	// heldPositionMaxAge is how old a position may be that a holder returns
	// without probing the primary.
	heldPositionMaxAge = 100 * time.Millisecond
	// positionInterval is how often the owner of a replica requests the end of the
	// log. It does so for replicaReadWindow after the last read at the replica.
	positionInterval  = 250 * time.Millisecond
	replicaReadWindow = 3 * time.Second
	// positionTimeout bounds one request for the end of the log, which takes a few round
	// trips between regions. Reads wait for it.
	positionTimeout = 350 * time.Millisecond
)

// readFloor returns the position that a replica must hold to serve a read, or
// false if it isn't known. It requests the end of the log if need be.
func (f *Daemon) readFloor(x context.Context, g *group, since time.Time, own logpos.Position) (logpos.Position, bool) {
	for range 2 {
		f.mu.Lock()
		p, ok := g.history.Floor(since, own)
		reachable := f.canReachHolder(g)
		f.mu.Unlock()
		if ok {
			return p, true
		}
		if !reachable {
			return p, false
		}
		f.requestPosition(x, g)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return g.history.Floor(since, own)
}

// canReachHolder reports whether the end of the log can be requested from the
// group's holder: a host that is cut off reaches only itself. f.mu is held.
func (f *Daemon) canReachHolder(g *group) bool {
	return g.Holder().ID == f.config.Self.ID || !f.isolated()
}

// requestPosition requests the end of the log from the group's holder.
// Concurrent callers share one request.
func (f *Daemon) requestPosition(x context.Context, g *group) {
	f.mu.Lock()
	if w := g.positionRequest; w != nil {
		f.mu.Unlock()
		select {
		case <-w:
		case <-x.Done():
		}
		return
	}
	w := make(chan struct{})
	g.positionRequest = w
	h, ok := f.holderHost(g.name, "")
	f.mu.Unlock()
	t := now()
	var p positionReply
	var err error
	y, stop := context.WithTimeout(x, positionTimeout)
	switch {
	case !ok:
	case h.ID == f.config.Self.ID:
		p = f.heldGroupPosition(y, g.name)
	default:
		err = f.node.Call(y, h, methodPosition, f.positionParams(g), &p)
	}
	stop()
	f.observeReports(p.Reports)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && p.Known && h.ID != f.config.Self.ID {
		g.history.Add(staleness.Sample{Position: p.Position, At: t.Add(-p.Age)})
	}
	g.positionRequest = nil
	close(w)
	if err != nil {
		f.config.Log.Debug("log position request failed", "group", g.name, "holder", h.ID, "error", err)
	}
}

// positionParams returns the parameters of a request for the end of the log. Every
// surveyInterval it carries the reports on the group's members, and asks for the
// holder's.
func (f *Daemon) positionParams(g *group) positionParams {
	o := positionParams{Group: g.name}
	if !f.config.Features.UnevenMembers {
		return o
	}
	f.mu.Lock()
	t := now()
	due := t.Sub(g.reportedAt) >= surveyInterval
	if due {
		g.reportedAt = t
	}
	f.mu.Unlock()
	if due {
		o.Survey, o.Reports = true, f.reports(g.name, "", bundle.Background)
	}
	return o
}

// answerPosition answers a request for the end of a group's log.
func (f *Daemon) answerPosition(x context.Context, p positionParams) positionReply {
	f.observeReports(p.Reports)
	o := f.heldGroupPosition(x, p.Group)
	if p.Survey {
		o.Reports = f.reports(p.Group, "", bundle.Background)
	}
	return o
}

// heldGroupPosition returns the end of the log of a group that this host holds. It
// probes the primary if the last known position is older than heldPositionMaxAge.
func (f *Daemon) heldGroupPosition(x context.Context, name string) positionReply {
	for range 2 {
		f.mu.Lock()
		g := f.group(name)
		t := now()
		if !g.MaySendWork(t) {
			f.mu.Unlock()
			return positionReply{}
		}
		s, ok := g.history.Last()
		id, _ := g.Primary()
		m, known := f.table.Member(id)
		var p *pool.Pool
		if known {
			p = f.memberPool(m)
		}
		f.mu.Unlock()
		if ok && t.Sub(s.At) < heldPositionMaxAge {
			return positionReply{Known: true, Position: s.Position, Age: t.Sub(s.At)}
		}
		if !known {
			return positionReply{}
		}
		f.probePosition(x, p)
	}
	return positionReply{}
}

// probePosition makes the primary report its position, by a step that doesn't wait
// for a slot.
func (f *Daemon) probePosition(x context.Context, p *pool.Pool) {
	if _, err := p.Probe(x, query.ResetSession{}, positionTimeout); err != nil {
		f.config.Log.Debug("position probe of the primary failed", "member", p.Member().ID, "error", err)
	}
}
