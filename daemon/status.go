package daemon

import (
	"sort"

	"github.com/dragonflypick/dragonflypick/admin"
)

// Status returns the status of the daemon for operators.
func (d *Daemon) Status() admin.Status {
	s := admin.Status{
		ID: d.config.Host.ID, Region: d.config.Host.Region, FailureDomain: d.config.Host.FailureDomain,
		Callers: d.callerServer.SessionCount(), CallerAddress: d.CallerAddress(),
	}
	d.mu.Lock()
	if d.signedBundle != nil {
		s.BundleVersion, s.BundleDigest = d.signedBundle.Bundle.Version, d.signedBundle.Digest
	}
	w := make(map[string]*groupWatch, len(d.groupWatches))
	for n, x := range d.groupWatches {
		w[n] = x
	}
	for _, h := range d.hostView.Hosts() {
		s.HostIDs = append(s.HostIDs, h.ID)
	}
	d.mu.Unlock()
	q := d.owner.QueueDepths()
	for n, x := range w {
		v := x.monitor.View()
		g := admin.Group{Name: n, Term: v.Term, Primary: v.Primary, Confirmed: v.Confirmed}
		for i := range x.group.Members {
			m := &x.group.Members[i]
			h, _ := d.ownerOf(m)
			o := admin.Member{Name: m.Name, Owner: h.ID, Queues: q[m.Name]}
			for _, y := range v.Members {
				if y.Name == m.Name {
					o.Role, o.Position, o.Reachable = string(y.Role), y.Position.String(), y.Reachable
				}
			}
			g.Members = append(g.Members, o)
		}
		s.Groups = append(s.Groups, g)
	}
	sort.Slice(s.Groups, func(i, j int) bool { return s.Groups[i].Name < s.Groups[j].Name })
	return s
}
