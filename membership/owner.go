package membership

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Owner returns the host that owns a backend server, or false if no host is
// live. The owner is selected by weighted rendezvous hashing among the live hosts in the
// server's failure domain; if there are none, among those in its region; and if
// there are none either, among all live hosts.
func (v *View) Owner(m *bundle.Member, now time.Time) (Host, bool) {
	v.refresh(now)
	k := serverKey{region: m.Region, domain: m.FailureDomain, name: m.Name}
	if h, ok := v.owners[k]; ok {
		return h, h.ID != ""
	}
	h, ok := v.lookupOwner(m)
	v.owners[k] = h
	return h, ok
}

// Successors returns the hosts that would own a backend server one after the
// other as each of them failed, up to n of them, the owner first.
func (v *View) Successors(m *bundle.Member, n int, now time.Time) []Host {
	v.refresh(now)
	k := serverKey{region: m.Region, domain: m.FailureDomain, name: m.Name}
	if l, ok := v.successors[k]; ok && (len(l) >= n) {
		return l[:n]
	}
	var o []Host
	if r, ok := v.lookupHostSet(m); ok {
		o = r.firstN(m.Name, n)
	}
	v.successors[k] = o
	return o
}

// Generation returns a number that increases whenever an owner may have changed.
func (v *View) Generation(now time.Time) uint64 {
	v.refresh(now)
	return v.generation
}

// serverKey identifies a backend server and its location.
type serverKey struct{ region, domain, name string }

// hostSetKey identifies the hosts of a failure domain, of a region (domain is
// empty), or all hosts (both are empty).
type hostSetKey struct{ region, domain string }

// invalidate drops the cached owners and host sets.
func (v *View) invalidate() {
	v.owners, v.successors, v.hostSets = map[serverKey]Host{}, map[serverKey][]Host{}, nil
	v.validUntil = time.Time{}
	v.generation++
}

// refresh recomputes the sets of live hosts if an event has changed the view or a
// correction to the list has expired.
func (v *View) refresh(now time.Time) {
	if v.hostSets != nil && now.Before(v.validUntil) {
		return
	}
	v.invalidate()
	v.validUntil = v.nextExpiry(now)
	v.hostSets = map[hostSetKey]*hostSet{}
	for _, h := range v.Live(now) {
		for _, k := range []hostSetKey{{h.Region, h.FailureDomain}, {h.Region, ""}, {}} {
			if v.hostSets[k] == nil {
				v.hostSets[k] = &hostSet{}
			}
			v.hostSets[k].add(h)
		}
	}
}

// nextExpiry returns when the next correction to the list expires, or now plus
// DrainNoticeTime if that is earlier.
func (v *View) nextExpiry(now time.Time) time.Time {
	t := now.Add(DrainNoticeTime)
	for _, s := range v.suspects {
		if now.Before(s.expiresAt) && s.expiresAt.Before(t) {
			t = s.expiresAt
		}
	}
	for _, m := range v.unlisted {
		if now.Before(m.expiresAt) && m.expiresAt.Before(t) {
			t = m.expiresAt
		}
	}
	for _, l := range v.drainNotices {
		if now.Before(l) && l.Before(t) {
			t = l
		}
	}
	return t
}

// lookupOwner determines the owner of a backend server without the cache of
// owners.
func (v *View) lookupOwner(m *bundle.Member) (Host, bool) {
	r, ok := v.lookupHostSet(m)
	if !ok {
		return Host{}, false
	}
	return r.first(m.Name), true
}

// lookupHostSet returns the nearest hosts to a backend server that are live.
func (v *View) lookupHostSet(m *bundle.Member) (*hostSet, bool) {
	for _, k := range []hostSetKey{{m.Region, m.FailureDomain}, {m.Region, ""}, {}} {
		if r, ok := v.hostSets[k]; ok {
			return r, true
		}
	}
	return nil, false
}
