package daemon

import (
	"sort"

	"github.com/dragonflypick/dragonflypick/operator"
)

// Status returns what operators see of the daemon.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{
		ID: d.c.Host.ID, Region: d.c.Host.Region, FailureDomain: d.c.Host.FailureDomain,
		Callers: d.callers.Sessions(), CallerAddress: d.CallerAddress(),
	}
	d.mu.Lock()
	if d.held != nil {
		s.Version, s.Digest = d.held.Bundle.Version, d.held.Digest
	}
	w := make(map[string]*watch, len(d.watches))
	for n, x := range d.watches {
		w[n] = x
	}
	for _, h := range d.view.Known() {
		s.Hosts = append(s.Hosts, h.ID)
	}
	d.mu.Unlock()
	q := d.owner.QueueDepths()
	for n, x := range w {
		v := x.m.View()
		g := operator.Group{Name: n, Term: v.Term, Primary: v.Primary, Confirmed: v.Confirmed}
		for i := range x.g.Members {
			m := &x.g.Members[i]
			h, _ := d.ownerOf(m)
			o := operator.Member{Name: m.Name, Owner: h.ID, Queues: q[m.Name]}
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
