package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Owner returns the host that owns a backend server: by rendezvous hashing
// over the live hosts of the server's failure domain, else of its region, else
// of all. It returns false if no host is live.
func (v *View) Owner(m *bundle.Member, now time.Time) (Host, bool) {
	if !now.Before(v.fresh) {
		v.owners = map[string]Host{}
		v.fresh = v.expiry(now)
	}
	k := m.Region + "/" + m.FailureDomain + "/" + m.Name
	if h, ok := v.owners[k]; ok {
		return h, h.ID != ""
	}
	h, ok := v.owner(m, now)
	v.owners[k] = h
	return h, ok
}

// expiry returns when the first correction ends.
func (v *View) expiry(now time.Time) time.Time {
	t := now.Add(SuspectTime)
	for _, s := range v.suspect {
		if now.Before(s.until) && s.until.Before(t) {
			t = s.until
		}
	}
	for _, l := range v.left {
		if now.Before(l) && l.Before(t) {
			t = l
		}
	}
	return t
}

func (v *View) owner(m *bundle.Member, now time.Time) (Host, bool) {
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
