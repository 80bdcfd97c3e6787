package fleet

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// promoteMember requests a member's promotion, unless it leads already, and waits until the
// member is primary. It reports whether that succeeded.
func (f *Daemon) promoteMember(x context.Context, g *group, a selection) bool {
	if a.leads {
		return f.acceptPrimary(g, a.MemberStatus, a.Status)
	}
	t := time.Now()
	for time.Since(t) < promotionTimeout && x.Err() == nil {
		answer, ok := f.requestPromotion(x, g, a.Member)
		if !ok || answer == takeover.PromotionRejected {
			return false
		}
		if s, ok := f.awaitPromotion(x, g, a.Member, lease.PromotionEffectTime); ok {
			return f.acceptPrimary(g, a.MemberStatus, s)
		}
		if answer == takeover.PromotionAccepted {
			return false
		}
	}
	return false
}

// requestPromotion calls the platform to promote a member. It returns false if this host may
// not do so.
func (f *Daemon) requestPromotion(x context.Context, g *group, m catalog.Member) (takeover.PromotionAnswer, bool) {
	f.mu.Lock()
	token, ok := g.Promotion(m.ID, now())
	if ok {
		g.Handle(takeover.PromotionRequested{Member: m.ID, Token: token}, now())
	}
	f.mu.Unlock()
	if !ok {
		f.config.Log.Info("promotion not requested: it isn't announced, or another one may take effect", "group", g.name, "member", m.ID)
		return takeover.NoPromotionAnswer, false
	}
	y, stop := context.WithTimeout(x, promoteCallTimeout)
	defer stop()
	done, err := f.config.Promoter.Promote(y, g.name, m.ID, f.config.Self.ID, token)
	answer := takeover.PromotionAccepted
	switch {
	case err != nil:
		answer = takeover.NoPromotionAnswer
	case !done:
		answer = takeover.PromotionRejected
	}
	f.mu.Lock()
	g.Handle(takeover.PromotionAnswered{Member: m.ID, Answer: answer}, now())
	f.mu.Unlock()
	f.config.Log.Info("promotion requested", "group", g.name, "member", m.ID, "token", token, "accepted", done, "error", err)
	return answer, true
}

// awaitInheritedPromotion asks a member, whose promotion an earlier holder has requested,
// whether it leads, and then finds out about the primary.
func (f *Daemon) awaitInheritedPromotion(x context.Context, g *group, member string) {
	f.mu.Lock()
	m, ok := f.table.Member(member)
	f.mu.Unlock()
	if !ok {
		sleep(x, inheritedPollTime)
		return
	}
	s, ok := f.awaitPromotion(x, g, m, inheritedPollTime)
	if !ok {
		return
	}
	f.config.Log.Info("promotion by an earlier holder has taken effect", "group", g.name, "member", member, "term", s.Term, "position", s.Received.String())
	f.mu.Lock()
	g.Handle(takeover.PromotionEffective{}, now())
	f.mu.Unlock()
	f.discoverPrimary(x, g)
}

// awaitPromotion waits until a member leads as was requested.
func (f *Daemon) awaitPromotion(x context.Context, g *group, m catalog.Member, d time.Duration) (query.Status, bool) {
	x, stop := context.WithTimeout(x, d)
	defer stop()
	for x.Err() == nil {
		s, err := f.memberStatus(x, m)
		f.mu.Lock()
		ok := err == nil && g.LeadsAsRequested(takeover.MemberStatus{Member: m, Status: s})
		f.mu.Unlock()
		if ok {
			return s, true
		}
		sleep(x, statusPollInterval)
	}
	return query.Status{}, false
}

// acceptPrimary makes the promoted member this host's primary, unless it has lost
// log entries since it was selected. It reports whether the primary is usable.
func (f *Daemon) acceptPrimary(g *group, a takeover.MemberStatus, s query.Status) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Handle(takeover.PrimaryConfirmed{Member: a.Member.ID, Status: s, LogEnd: a.Status.Received}, now())
	if !g.PrimaryUsable() {
		f.config.Log.Warn("promoted member has lost log entries", "group", g.name, "member", a.Member.ID, "position", s.Received.String(), "had", a.Status.Received.String())
		return false
	}
	g.history.Add(staleness.Sample{Position: s.Received, At: now()})
	return true
}
