// Package membership decides which entry hosts are live and which of them owns
// a backend server. It does no I/O and reads no clock.
package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timing of corrections to the listed hosts.
const (
	// SuspectTime is how long a host that a link has lost is passed over.
	SuspectTime = 3 * time.Second
	// LeaveTime is how long a leave notice holds against the lagging list.
	LeaveTime = 2 * time.Minute
)

// Host is an entry host as the platform lists it.
type Host struct {
	// ID is unique among hosts; a restarted daemon has a new one.
	ID string `json:"id"`
	// PeerAddress is the IP address and port for other daemons.
	PeerAddress string `json:"peer-address"`
	// FailureDomain and Region tell where the host stands.
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	// Leaving tells that the host drains.
	Leaving bool `json:"leaving,omitempty"`
}

// Event is something that the view learns.
type Event interface{ event() }

// Listed replaces the hosts that the platform lists.
type Listed struct{ Hosts []Host }

// Met adds a host that a peer told of, if it isn't known yet.
type Met struct{ Host Host }

// Lost tells that a link to a host failed.
type Lost struct{ ID string }

// Seen tells that a host has answered.
type Seen struct{ ID string }

// Left tells that a host has announced that it leaves.
type Left struct{ ID string }

func (Listed) event() {}
func (Met) event()    {}
func (Lost) event()   {}
func (Seen) event()   {}
func (Left) event()   {}

// View is one daemon's knowledge of the hosts. It is not safe for concurrent
// use.
type View struct {
	// self is always live in its own view unless it leaves.
	self Host
	// listed are the hosts of the platform's last list.
	listed map[string]Host
	// met are hosts that peers told of, until when.
	met map[string]Host
	// suspect and left map a host to the end of the correction.
	suspect map[string]time.Time
	left    map[string]time.Time
}

// New returns a view that knows only its own host.
func New(self Host) *View {
	return &View{
		self: self, listed: map[string]Host{}, met: map[string]Host{},
		suspect: map[string]time.Time{}, left: map[string]time.Time{},
	}
}

// Handle takes in an event.
func (v *View) Handle(e Event, now time.Time) {
	switch x := e.(type) {
	case Listed:
		v.list(x.Hosts)
	case Met:
		if _, ok := v.listed[x.Host.ID]; !ok && x.Host.ID != v.self.ID {
			v.met[x.Host.ID] = x.Host
		}
	case Lost:
		v.suspect[x.ID] = now.Add(SuspectTime)
	case Seen:
		delete(v.suspect, x.ID)
	case Left:
		v.left[x.ID] = now.Add(LeaveTime)
		if x.ID == v.self.ID {
			v.self.Leaving = true
		}
	}
}

// list takes the platform's list. An empty list is taken for a fault of the
// platform: the last list stands.
func (v *View) list(h []Host) {
	if len(h) == 0 {
		return
	}
	v.listed = make(map[string]Host, len(h))
	for _, x := range h {
		v.listed[x.ID] = x
		delete(v.met, x.ID)
	}
}

// Host returns the host with the given ID.
func (v *View) Host(id string) (Host, bool) {
	if id == v.self.ID {
		return v.self, true
	}
	if h, ok := v.listed[id]; ok {
		return h, true
	}
	h, ok := v.met[id]
	return h, ok
}

// Known returns all hosts that are listed or met, and the own one, by ID.
func (v *View) Known() []Host {
	o := []Host{v.self}
	for id, h := range v.listed {
		if id != v.self.ID {
			o = append(o, h)
		}
	}
	for _, h := range v.met {
		o = append(o, h)
	}
	sort.Slice(o, func(i, j int) bool { return o[i].ID < o[j].ID })
	return o
}

// Live returns the hosts that may own backend servers, by ID.
func (v *View) Live(now time.Time) []Host {
	var o []Host
	for _, h := range v.Known() {
		if v.live(h, now) {
			o = append(o, h)
		}
	}
	return o
}

func (v *View) live(h Host, now time.Time) bool {
	if h.Leaving || now.Before(v.left[h.ID]) {
		return false
	}
	return h.ID == v.self.ID || !now.Before(v.suspect[h.ID])
}

// Owner returns the host that owns a backend server: by rendezvous hashing
// over the live hosts of the server's failure domain, else of its region, else
// of all. It returns false if no host is live.
func (v *View) Owner(m *bundle.Member, now time.Time) (Host, bool) {
	l := v.Live(now)
	for _, in := range []func(Host) bool{
		func(h Host) bool { return h.FailureDomain == m.FailureDomain && h.Region == m.Region },
		func(h Host) bool { return h.Region == m.Region },
		func(Host) bool { return true },
	} {
		if h, ok := pick(l, in, m.Name); ok {
			return h, true
		}
	}
	return Host{}, false
}

func pick(l []Host, in func(Host) bool, key string) (Host, bool) {
	n := map[string]Host{}
	var ids []string
	for _, h := range l {
		if in(h) {
			n[h.ID] = h
			ids = append(ids, h.ID)
		}
	}
	if len(ids) == 0 {
		return Host{}, false
	}
	r := rendezvous.New(ids, xxhash.Sum64String)
	return n[r.Lookup(key)], true
}
