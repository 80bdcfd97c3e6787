package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/placement"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

const (
	// catchUpProbeInterval is how old a replica's position may be while reads wait
	// for it.
	catchUpProbeInterval = 50 * time.Millisecond
	// catchUpProbeTimeout bounds one request for the position.
	catchUpProbeTimeout = 300 * time.Millisecond
)

// awaitLog waits until a replica's log has reached a position, for as long as the
// request allows. It returns how long the request is expected to wait still if that
// is too long, or zero.
func (f *Daemon) awaitLog(x context.Context, p *pool.Pool, r *query.Request, after logpos.Position) time.Duration {
	start, due := now(), time.Duration(-1)
	d := time.NewTimer(min(r.Patience, r.Remaining))
	defer d.Stop()
	for {
		f.mu.Lock()
		l, t := f.loads.member(p.Member().ID), now()
		if !l.position.Less(after) {
			if waited := t.Sub(start); waited > 0 && r.FloorAge > 0 && after == r.Floor {
				l.delay.Observe(0, r.FloorAge+waited)
			}
			f.mu.Unlock()
			f.metrics.catchUp.Observe(t.Sub(start).Seconds())
			return 0
		}
		f.startReplicaProbe(l, p, t, catchUpProbeInterval)
		waited := t.Sub(start)
		eta := f.catchUpTime(l, r, after, waited)
		if due < 0 {
			due = eta
		}
		// A member that is overdue is expected to take as long again.
		eta = max(eta, waited-due)
		if known := !l.positionAt.IsZero(); known && eta > r.Patience-waited {
			f.mu.Unlock()
			return eta
		}
		w := l.awaitAdvance()
		f.mu.Unlock()
		select {
		case <-w:
		case <-time.After(catchUpProbeInterval):
		case <-d.C:
			return max(eta, minReplicaRetry)
		case <-x.Done():
			return minReplicaRetry
		}
	}
}

// minReplicaRetry is the least time after which a read that a replica couldn't serve
// yet is sent to it again.
const minReplicaRetry = 20 * time.Millisecond

// catchUpTime predicts when a replica will have reached a position for which a
// request has waited, zero if that is past; f.mu is held.
func (f *Daemon) catchUpTime(l *load, r *query.Request, after logpos.Position, waited time.Duration) time.Duration {
	t := now()
	c := placement.Candidate{Report: placement.Report{Position: l.position, Lag: l.delay.Estimate, At: t}.WithDefaults(l.delay.Known)}
	q := placement.Read{Floor: after, FloorAge: r.FloorAge + waited, MaxAge: r.MaxAge + waited}
	if after != r.Floor {
		q.Floor = logpos.Position{}
	}
	return max(c.CatchUp(q, t), 0)
}

// awaitAdvance returns a channel that is closed when the member's position advances.
func (l *load) awaitAdvance() chan struct{} {
	if l.advanced == nil {
		l.advanced = make(chan struct{})
	}
	return l.advanced
}

// startReplicaProbe requests a replica's position if the last one is older than
// maxAge; f.mu is held.
func (f *Daemon) startReplicaProbe(l *load, p *pool.Pool, t time.Time, maxAge time.Duration) {
	if l.probing || t.Sub(l.positionAt) < maxAge {
		return
	}
	l.probing = true
	f.spawn(func(x context.Context) { f.probeReplica(x, l, p) })
}

// probeReplica makes a replica report its position, by a step that doesn't wait for
// a slot.
func (f *Daemon) probeReplica(x context.Context, l *load, p *pool.Pool) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		l.probing = false
	}()
	if _, err := p.Probe(x, query.ResetSession{}, catchUpProbeTimeout); err != nil {
		f.config.Log.Debug("position probe of a replica failed", "member", p.Member().ID, "error", err)
	}
}

const (
	// lagProbeInterval is how old the position of a replica that lags may be, so
	// that its recovery is noticed while no read is sent to it.
	lagProbeInterval = 500 * time.Millisecond
	// lagWorthProbing is a delay for which reads avoid a replica.
	lagWorthProbing = 400 * time.Millisecond
	// reportWindow is how long reports on a replica that lags are exchanged with the
	// holder after the last read at it.
	reportWindow = 10 * time.Second
)

// replicaWindow returns for how long after a replica's last read its owner follows
// the group's log; f.mu is held.
func (f *Daemon) replicaWindow(g *group) time.Duration {
	if !f.config.Features.UnevenMembers {
		return replicaReadWindow
	}
	for id, p := range f.pools {
		if p.Member().Group == g.name && f.loads.member(id).delay.Estimate > lagWorthProbing {
			return reportWindow
		}
	}
	return replicaReadWindow
}

// refreshLaggingReplicas requests the positions of the lagging replicas that have
// served reads at this host; f.mu is held.
func (f *Daemon) refreshLaggingReplicas(t time.Time) {
	if !f.config.Features.UnevenMembers {
		return
	}
	for id, p := range f.pools {
		l := f.loads.member(id)
		if g := f.group(p.Member().Group); f.replicaReads[g] && l.delay.Estimate > lagWorthProbing && !f.holdsPrimary(id) {
			f.startReplicaProbe(l, p.Pool, t, lagProbeInterval)
		}
	}
}
