package membership

import (
	"sort"
	"time"
)

// View is one daemon's view of the hosts: the platform's list with corrections
// for hosts that are suspected, unlisted or draining. It is not safe for
// concurrent use.
type View struct {
	// self is this daemon's host, which is always live in its own view unless it
	// drains.
	self Host
	// listed holds the hosts of the platform's last list by ID.
	listed map[string]Host
	// unlisted and suspects hold, by ID, the hosts that aren't on the list, and
	// the state of those that haven't answered since a link to them failed.
	unlisted map[string]unlistedHost
	suspects map[string]suspicion
	// drainNotices and evicted map the ID of a host to the time when its drain
	// notice or its eviction expires.
	drainNotices map[string]time.Time
	evicted      map[string]time.Time
	// owners, successors and hostSets are a cache that is valid until an event
	// changes the view, or until validUntil. hostSets is nil before it is
	// computed.
	owners     map[serverKey]Host
	successors map[serverKey][]Host
	hostSets   map[hostSetKey]*hostSet
	validUntil time.Time
	// generation counts the invalidations of the cache.
	generation uint64
	// evidence holds, by host ID, what this daemon last observed of each host.
	evidence map[string]evidence
	// lastContact is when another daemon last answered or called, or the time
	// of the first event.
	lastContact time.Time
}

// New returns a view that contains only the daemon's own host.
func New(self Host) *View {
	return &View{
		self: self, listed: map[string]Host{}, unlisted: map[string]unlistedHost{}, suspects: map[string]suspicion{},
		drainNotices: map[string]time.Time{}, evicted: map[string]time.Time{}, owners: map[serverKey]Host{}, evidence: map[string]evidence{},
	}
}

// Handle processes an event and reports whether it changed the view.
func (v *View) Handle(e Event, now time.Time) bool {
	c := false
	if v.lastContact.IsZero() {
		v.lastContact = now
	}
	// Otherwise it would depend on the queries since then whether an expired
	// correction is still there to be extended.
	if !now.Before(v.validUntil) {
		v.removeExpired(now)
	}
	switch x := e.(type) {
	case ListReceived:
		c = v.replaceList(x.Hosts, now)
	case HostDiscovered:
		c = v.addUnlisted(x, now)
	case LinkFailed:
		v.observeFailure(x, now)
		c = v.markSuspect(x.ID, now)
	case HostAnswered:
		v.lastContact = now
		v.evidence[x.ID] = evidence{answeredAt: now}
		c = v.markReachable(x.ID, now)
	case DrainAnnounced:
		c = v.addDrainNotice(x, now)
	}
	if c {
		v.invalidate()
	}
	return c
}

// replaceList replaces the platform's list. Live hosts that are no longer on it
// stay in the view as unlisted ones.
func (v *View) replaceList(h []Host, now time.Time) bool {
	if len(h) == 0 {
		return false
	}
	old := v.listed
	v.listed = make(map[string]Host, len(h))
	for _, x := range h {
		v.listed[x.ID] = x
		delete(v.unlisted, x.ID)
	}
	for id, x := range old {
		if _, ok := v.listed[id]; !ok && v.isLive(x, now) && id != v.self.ID {
			v.unlisted[id] = unlistedHost{host: x, expiresAt: now.Add(DelistedTime), wasListed: true}
		}
	}
	v.removeExpired(now)
	return true
}

// removeExpired removes expired corrections to the list.
func (v *View) removeExpired(now time.Time) {
	for id, m := range v.unlisted {
		if now.After(m.expiresAt) {
			delete(v.unlisted, id)
		}
	}
	for _, l := range []map[string]time.Time{v.drainNotices, v.evicted} {
		for id, t := range l {
			if now.After(t) {
				delete(l, id)
			}
		}
	}
	for id, e := range v.evidence {
		if now.Sub(e.latest()) > DelistedTime {
			delete(v.evidence, id)
		}
	}
	for id, s := range v.suspects {
		if _, ok := v.Host(id); !ok && now.After(s.expiresAt) {
			delete(v.suspects, id)
		}
	}
}

func (v *View) addUnlisted(x HostDiscovered, now time.Time) bool {
	c := false
	if x.Direct {
		v.lastContact = now
		v.evidence[x.Host.ID] = evidence{answeredAt: now}
		c = v.markReachable(x.Host.ID, now)
	}
	if _, ok := v.Host(x.Host.ID); ok || now.Before(v.evicted[x.Host.ID]) {
		return c
	}
	v.unlisted[x.Host.ID] = unlistedHost{host: x.Host, expiresAt: now.Add(NeverListedTime)}
	return true
}

// markSuspect suspects a host after a failed link. If the host was removed from
// the list, it is evicted at once; if it was never listed, it is evicted once
// it is suspected for MaxSuspectTime.
func (v *View) markSuspect(id string, now time.Time) bool {
	s := v.suspects[id]
	s.duration = min(max(2*s.duration, SuspectTime), MaxSuspectTime)
	s.expiresAt = now.Add(s.duration)
	v.suspects[id] = s
	if m, ok := v.unlisted[id]; ok && (m.wasListed || s.duration == MaxSuspectTime) {
		delete(v.unlisted, id)
		v.evicted[id] = now.Add(DrainNoticeTime)
	}
	return true
}

// markReachable ends the suspicion and the eviction of a host, and keeps it in the
// view if it isn't listed. It reports whether the host was suspected.
func (v *View) markReachable(id string, now time.Time) bool {
	if m, ok := v.unlisted[id]; ok {
		m.expiresAt = now.Add(NeverListedTime)
		if m.wasListed {
			m.expiresAt = now.Add(DelistedTime)
		}
		v.unlisted[id] = m
	}
	_, c := v.suspects[id]
	delete(v.suspects, id)
	delete(v.evicted, id)
	return c
}

func (v *View) addDrainNotice(x DrainAnnounced, now time.Time) bool {
	if now.Before(v.drainNotices[x.ID]) {
		return false
	}
	if x.Remaining <= 0 || x.Remaining > DrainNoticeTime {
		x.Remaining = DrainNoticeTime
	}
	v.drainNotices[x.ID] = now.Add(x.Remaining)
	if x.ID == v.self.ID {
		v.self.Draining = true
	}
	return true
}

// Host returns the host with the given ID.
func (v *View) Host(id string) (Host, bool) {
	if id == v.self.ID {
		return v.self, true
	}
	if h, ok := v.listed[id]; ok {
		return h, true
	}
	m, ok := v.unlisted[id]
	return m.host, ok
}

// IsListed reports whether the platform lists the host.
func (v *View) IsListed(id string) bool {
	_, ok := v.listed[id]
	return ok
}

// Hosts returns all hosts in the view, this one included, sorted by ID.
func (v *View) Hosts() []Host {
	o := []Host{v.self}
	for id, h := range v.listed {
		if id != v.self.ID {
			o = append(o, h)
		}
	}
	for _, m := range v.unlisted {
		o = append(o, m.host)
	}
	return sortedByID(o)
}

// UnlistedHosts returns the live hosts, this one included, that the platform
// has never listed, sorted by ID. The daemon reports them to other daemons,
// since they aren't on the list.
func (v *View) UnlistedHosts(now time.Time) []Host {
	var o []Host
	for _, m := range v.unlisted {
		if !m.wasListed && v.isLive(m.host, now) {
			o = append(o, m.host)
		}
	}
	if !v.IsListed(v.self.ID) && !v.self.Draining {
		o = append(o, v.self)
	}
	return sortedByID(o)
}

// DrainNotices returns the IDs of the hosts whose drain notice is in force, with
// the time that remains.
func (v *View) DrainNotices(now time.Time) map[string]time.Duration {
	o := map[string]time.Duration{}
	for id, t := range v.drainNotices {
		if now.Before(t) {
			o[id] = t.Sub(now)
		}
	}
	return o
}

// Suspects returns the other hosts that haven't answered since a link to them
// failed and that don't drain, sorted by ID.
func (v *View) Suspects(now time.Time) []Host {
	var o []Host
	for id := range v.suspects {
		if h, ok := v.Host(id); ok && id != v.self.ID && !h.Draining && !now.Before(v.drainNotices[id]) {
			o = append(o, h)
		}
	}
	return sortedByID(o)
}

// Live returns the hosts that may own backend servers, sorted by ID.
func (v *View) Live(now time.Time) []Host {
	v.removeExpired(now)
	var o []Host
	for _, h := range v.Hosts() {
		if v.isLive(h, now) {
			o = append(o, h)
		}
	}
	return o
}

// IsLive reports whether a host may own backend servers.
func (v *View) IsLive(id string, now time.Time) bool {
	h, ok := v.Host(id)
	return ok && v.isLive(h, now)
}

// IsSuspect reports whether a host is suspected now, after a link to it has
// failed.
func (v *View) IsSuspect(id string, now time.Time) bool {
	return id != v.self.ID && now.Before(v.suspects[id].expiresAt)
}

func (v *View) isLive(h Host, now time.Time) bool {
	if h.Draining || now.Before(v.drainNotices[h.ID]) {
		return false
	}
	return h.ID == v.self.ID || !now.Before(v.suspects[h.ID].expiresAt)
}

func sortedByID(l []Host) []Host {
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	return l
}
