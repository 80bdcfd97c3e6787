package membership

import (
	"sort"
	"time"
)

// View is one daemon's knowledge of the hosts. It is not safe for concurrent
// use.
type View struct {
	// self is always live in its own view unless it leaves.
	self Host
	// listed are the hosts of the platform's last list.
	listed map[string]Host
	// met are hosts that aren't listed.
	met     map[string]met
	suspect map[string]suspicion
	// left and gone map a host to the end of the correction.
	left map[string]time.Time
	gone map[string]time.Time
	// owners and rings hold what was computed of the hosts, until an event or
	// the time fresh; rings is nil before it is computed.
	owners map[serverKey]Host
	rings  map[ringKey]*ring
	fresh  time.Time
	// generation counts the times that owners and rings were dropped.
	generation uint64
	// contact is when another daemon last answered or called, or the time of the
	// first event.
	contact time.Time
}

// New returns a view that knows only its own host.
func New(self Host) *View {
	return &View{
		self: self, listed: map[string]Host{}, met: map[string]met{}, suspect: map[string]suspicion{},
		left: map[string]time.Time{}, gone: map[string]time.Time{}, owners: map[serverKey]Host{},
	}
}

// Handle takes in an event and reports whether it changed what is known.
func (v *View) Handle(e Event, now time.Time) bool {
	c := false
	if v.contact.IsZero() {
		v.contact = now
	}
	switch x := e.(type) {
	case ListReceived:
		c = v.list(x.Hosts, now)
	case HostDiscovered:
		c = v.meet(x, now)
	case LinkFailed:
		c = v.lose(x.ID, now)
	case HostAnswered:
		v.contact = now
		c = v.see(x.ID, now)
	case DrainAnnounced:
		c = v.leave(x, now)
	}
	if c {
		v.forget()
	}
	return c
}

func (v *View) list(h []Host, now time.Time) bool {
	if len(h) == 0 {
		return false
	}
	old := v.listed
	v.listed = make(map[string]Host, len(h))
	for _, x := range h {
		v.listed[x.ID] = x
		delete(v.met, x.ID)
	}
	for id, x := range old {
		if _, ok := v.listed[id]; !ok && v.live(x, now) && id != v.self.ID {
			v.met[id] = met{host: x, until: now.Add(LingerTime), listed: true}
		}
	}
	v.tidy(now)
	return true
}

// tidy forgets what has run out.
func (v *View) tidy(now time.Time) {
	for id, m := range v.met {
		if now.After(m.until) {
			delete(v.met, id)
		}
	}
	for _, l := range []map[string]time.Time{v.left, v.gone} {
		for id, t := range l {
			if now.After(t) {
				delete(l, id)
			}
		}
	}
	for id, s := range v.suspect {
		if _, ok := v.Host(id); !ok && now.After(s.until) {
			delete(v.suspect, id)
		}
	}
}

func (v *View) meet(x HostDiscovered, now time.Time) bool {
	c := false
	if x.Direct {
		v.contact = now
		c = v.see(x.Host.ID, now)
	}
	if _, ok := v.Host(x.Host.ID); ok || now.Before(v.gone[x.Host.ID]) {
		return c
	}
	v.met[x.Host.ID] = met{host: x.Host, until: now.Add(MetTime)}
	return true
}

// lose passes over a host, and forgets it if it is off the list or was never on
// it for long.
func (v *View) lose(id string, now time.Time) bool {
	s := v.suspect[id]
	s.span = min(max(2*s.span, SuspectTime), SuspectMost)
	s.until = now.Add(s.span)
	v.suspect[id] = s
	if m, ok := v.met[id]; ok && (m.listed || s.span == SuspectMost) {
		delete(v.met, id)
		v.gone[id] = now.Add(LeaveTime)
	}
	return true
}

func (v *View) see(id string, now time.Time) bool {
	if m, ok := v.met[id]; ok {
		m.until = now.Add(MetTime)
		if m.listed {
			m.until = now.Add(LingerTime)
		}
		v.met[id] = m
	}
	_, c := v.suspect[id]
	delete(v.suspect, id)
	delete(v.gone, id)
	return c
}

func (v *View) leave(x DrainAnnounced, now time.Time) bool {
	if now.Before(v.left[x.ID]) {
		return false
	}
	if x.Remaining <= 0 || x.Remaining > LeaveTime {
		x.Remaining = LeaveTime
	}
	v.left[x.ID] = now.Add(x.Remaining)
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
	m, ok := v.met[id]
	return m.host, ok
}

// IsListed reports whether the platform lists the host.
func (v *View) IsListed(id string) bool {
	_, ok := v.listed[id]
	return ok
}

// Known returns all hosts that are listed or met, and the own one, by ID.
func (v *View) Known() []Host {
	o := []Host{v.self}
	for id, h := range v.listed {
		if id != v.self.ID {
			o = append(o, h)
		}
	}
	for _, m := range v.met {
		o = append(o, m.host)
	}
	return sorted(o)
}

// UnlistedHosts returns the hosts that other daemons should be told of, since the
// platform doesn't list them.
func (v *View) UnlistedHosts(now time.Time) []Host {
	var o []Host
	for _, m := range v.met {
		if !m.listed && v.live(m.host, now) {
			o = append(o, m.host)
		}
	}
	if !v.IsListed(v.self.ID) && !v.self.Draining {
		o = append(o, v.self)
	}
	return sorted(o)
}

// DrainNotices returns the hosts whose leave notice still holds, with the time that it
// does.
func (v *View) DrainNotices(now time.Time) map[string]time.Duration {
	o := map[string]time.Duration{}
	for id, t := range v.left {
		if now.Before(t) {
			o[id] = t.Sub(now)
		}
	}
	return o
}

// Suspects returns the hosts that are passed over because a link failed, by ID.
func (v *View) Suspects(now time.Time) []Host {
	var o []Host
	for id := range v.suspect {
		if h, ok := v.Host(id); ok && id != v.self.ID && !h.Draining && !now.Before(v.left[id]) {
			o = append(o, h)
		}
	}
	return sorted(o)
}

// Live returns the hosts that may own backend servers, by ID.
func (v *View) Live(now time.Time) []Host {
	v.tidy(now)
	var o []Host
	for _, h := range v.Known() {
		if v.live(h, now) {
			o = append(o, h)
		}
	}
	return o
}

// IsLive reports whether a host may own backend servers.
func (v *View) IsLive(id string, now time.Time) bool {
	h, ok := v.Host(id)
	return ok && v.live(h, now)
}

// IsSuspect reports whether a host is passed over now because a link failed.
func (v *View) IsSuspect(id string, now time.Time) bool {
	return id != v.self.ID && now.Before(v.suspect[id].until)
}

func (v *View) live(h Host, now time.Time) bool {
	if h.Draining || now.Before(v.left[h.ID]) {
		return false
	}
	return h.ID == v.self.ID || !now.Before(v.suspect[h.ID].until)
}

func sorted(l []Host) []Host {
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	return l
}
