package takeover

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
)

// PromotionRequested reports that a promotion is being requested with a fencing token. It
// may take effect at any time from then on.
type PromotionRequested struct {
	Member string
	Token  uint64
}

// PromotionAnswered reports the outcome of the call that PromotionRequested reported.
type PromotionAnswered struct {
	Member string
	Answer PromotionAnswer
}

// PromotionAnswer is the platform's answer to a call that requests a promotion.
type PromotionAnswer uint8

// The answers.
const (
	// NoPromotionAnswer means that the call may still be carried out.
	NoPromotionAnswer PromotionAnswer = iota
	// PromotionAccepted means that the promotion takes effect soon.
	PromotionAccepted
	// PromotionRejected means that the call has no effect.
	PromotionRejected
)

// PromotionEffective reports that the promotion which an earlier holder has requested has
// taken effect.
type PromotionEffective struct{}

func (PromotionRequested) event() {}
func (PromotionAnswered) event()  {}
func (PromotionEffective) event() {}

// promotions is what a holder knows of the promotions that it has requested.
type promotions struct {
	// inherited is set if an earlier holder may have requested promotions, with calls that
	// may have got no answer.
	inherited bool
	// target is the member whose promotion it has requested last; empty if it has
	// requested none since it knows the present primary. token is the fencing token of the
	// calls for it, so that none overtakes an earlier one with a higher token.
	target string
	token  uint64
	// calls counts the calls for target, and possible is set if one of them may have been
	// carried out.
	calls    int
	possible bool
	// requestedAt is when the first call for target was sent, and sentAt when the one was
	// sent that hasn't ended yet; zero if there is none.
	requestedAt, sentAt time.Time
	// callsUntil is until when a call that got no answer may be carried out, and
	// effectUntil until when a promotion may take effect.
	callsUntil, effectUntil time.Time
}

// request takes note that a promotion is being requested.
func (p *promotions) request(member string, token uint64, now time.Time) {
	if p.target != member {
		p.target, p.token, p.requestedAt, p.calls, p.possible = member, token, now, 0, false
	}
	p.calls++
	p.sentAt = now
}

// answer takes note of the outcome of the call under way.
func (p *promotions) answer(a PromotionAnswer, now time.Time) {
	switch a {
	case PromotionAccepted:
		p.effectUntil = latest(p.effectUntil, now.Add(lease.PromotionEffectTime))
	case NoPromotionAnswer:
		p.callsUntil = latest(p.callsUntil, p.sentAt.Add(lease.PromotionCallTime))
		p.effectUntil = latest(p.effectUntil, p.callsUntil.Add(lease.PromotionEffectTime))
	}
	p.possible = p.possible || a != PromotionRejected
	p.sentAt = time.Time{}
}

// confirm takes note that a member is the primary. Further calls for it have no effect
// unless they arrive after another promotion.
func (p *promotions) confirm(member string) {
	if member == p.target && p.calls == 1 && p.callsUntil.IsZero() && p.sentAt.IsZero() {
		p.effectUntil = time.Time{}
	}
	p.target, p.token, p.calls, p.possible = "", 0, 0, false
}

// rejected reports whether no call for target can have any effect.
func (p *promotions) rejected() bool { return p.target != "" && !p.possible && p.sentAt.IsZero() }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settledAt returns from when on every promotion that was requested has taken effect, or
// never will.
func (g *Group) settledAt() time.Time {
	p := &g.promotions
	t := p.effectUntil
	if !p.sentAt.IsZero() {
		t = latest(t, p.sentAt.Add(lease.PromotionCallTime+lease.PromotionEffectTime))
	}
	if p.inherited {
		t = latest(t, g.lease.EarlierCallsUntil().Add(lease.PromotionEffectTime))
	}
	return t
}

// callsPending reports whether a call that requested a promotion, of this holder or an
// earlier one, may yet be carried out.
func (g *Group) callsPending(now time.Time) bool {
	p := &g.promotions
	inherited := p.inherited && now.Before(g.lease.EarlierCallsUntil())
	return inherited || !p.sentAt.IsZero() || now.Before(p.callsUntil)
}

// promotionAwaited reports whether the promotion that an earlier holder has requested last
// may yet take effect. Its call may still be on its way, so that none is sent that has a
// higher token.
func (g *Group) promotionAwaited(now time.Time) bool {
	r, _ := g.lease.Record()
	return g.promotions.inherited && g.promotions.target == "" && r.Target != "" && g.primaryUnusable && !g.promotionsSettled(now)
}

// promotionsSettled reports whether a status that was requested at t shows the effect of all
// promotions that were requested before.
func (g *Group) promotionsSettled(t time.Time) bool { return !t.Before(g.settledAt()) }

// promotionExpected reports whether a member whose promotion was requested should lead soon.
func (g *Group) promotionExpected(now time.Time) bool {
	all, _ := g.pendingTargets()
	since := g.heldSince
	if g.promotions.target != "" {
		since = g.promotions.requestedAt
	}
	return len(all) > 0 && now.Sub(since) <= lease.PromotionEffectTime
}

// pendingTargets returns the members whose promotion may have been requested since the
// recorded term, and the last of them; empty if there is none.
func (g *Group) pendingTargets() (all []string, last string) {
	r, _ := g.lease.Record()
	all = slices.Clone(r.EarlierTargets)
	if r.Target == "" || r.Target == g.promotions.target && g.promotions.rejected() {
		return all, ""
	}
	return append(all, r.Target), r.Target
}

// mayLead reports whether a member's status shows that it leads a later term than the known
// primary, and that no member which answered knows of a later one.
func (g *Group) mayLead(a MemberStatus, l []MemberStatus) bool {
	r, _ := g.lease.Record()
	if a.Err != nil || !a.Status.Primary || a.Status.Term <= max(g.term, r.Term) {
		return false
	}
	return !slices.ContainsFunc(l, func(o MemberStatus) bool { return o.Err == nil && o.Status.Term > a.Status.Term })
}

// LeadsAsRequested reports whether a member's status shows that the promotion which was
// requested last has taken effect. Earlier ones had taken effect before it was requested.
func (g *Group) LeadsAsRequested(a MemberStatus) bool {
	r, _ := g.lease.Record()
	_, last := g.pendingTargets()
	return a.Member.ID == last && last != "" && g.mayLead(a, nil) && a.Status.Term >= r.TargetTerm
}

// leads reports whether a member may be used as the primary by the statuses of the listed
// members, requested at t: no promotion that was requested can have replaced it, or will.
func (g *Group) leads(a MemberStatus, l []MemberStatus, t time.Time) bool {
	all, last := g.pendingTargets()
	switch {
	case !g.mayLead(a, l):
		return false
	case len(all) == 0, g.LeadsAsRequested(a):
		return true
	case !g.promotionsSettled(t):
		return false
	}
	for _, id := range all {
		i := slices.IndexFunc(l, func(o MemberStatus) bool { return o.Member.ID == id })
		switch {
		case id == a.Member.ID, i >= 0 && l[i].Err == nil:
		case i < 0 && a.Member.ID == last:
			// The member is gone, and if it had led, the last promotion would have replaced it.
		default:
			return false
		}
	}
	return true
}

// Announcement is the input of AnnouncePromotion.
type Announcement struct {
	// Target is the member that is to be promoted, and Statuses are those by which it was
	// selected.
	Target   string
	Statuses []MemberStatus
}

// AnnouncePromotion returns the change that announces a promotion, and whether the host
// may make it.
func (g *Group) AnnouncePromotion(a Announcement, now time.Time) (lease.Change, bool) {
	r := g.lease.UpdateRecord(now)
	r.LogEnd = g.reachedEnd(r)
	r.Primary, r.Term = g.primary, max(g.term, r.Term)
	all, _ := g.pendingTargets()
	if r.Target != a.Target {
		// The promotion leads the term after all that are known.
		r.TargetTerm = r.Term
		for _, o := range a.Statuses {
			if o.Err == nil {
				r.TargetTerm = max(r.TargetTerm, o.Status.Term)
			}
		}
		r.TargetTerm++
	}
	r.EarlierTargets = slices.DeleteFunc(all, func(id string) bool { return id == a.Target })
	slices.Sort(r.EarlierTargets)
	r.EarlierTargets = slices.Compact(r.EarlierTargets)
	r.Target, r.CallsPending = a.Target, g.callsPending(now)
	return g.lease.Change(r), g.MayRequestPromotion(a.Target, now)
}

// Announced reports whether the record announces the promotion of a member as the last one.
func (g *Group) Announced(member string) bool {
	r, _ := g.lease.Record()
	return r.Target == member
}

// MayReplace reports whether the host may replace the primary.
func (g *Group) MayReplace(now time.Time) bool { return g.lease.MayReplacePrimary(now) }

// MayRequestPromotion reports whether the host may request the promotion of a member: not
// that of another one than the last while that one may yet take effect.
func (g *Group) MayRequestPromotion(member string, now time.Time) bool {
	return g.MayReplace(now) && (member == g.promotions.target || g.promotionsSettled(now))
}

// Promotion returns the fencing token of a member's promotion, and whether the host may
// request it.
func (g *Group) Promotion(member string, now time.Time) (token uint64, ok bool) {
	token = g.lease.Position().Token()
	if p := &g.promotions; member == p.target {
		token = p.token
	}
	return token, g.Announced(member) && g.MayRequestPromotion(member, now) && g.lease.MayRequestPromotion(now)
}
