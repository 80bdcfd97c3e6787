package fleet

import "time"

// unheldLogInterval is the shortest time between two log lines about the same group.
const unheldLogInterval = 10 * time.Second

// reportUnheldGroups counts the groups that have a primary and no holder, and logs
// what this host believes of those that it would take over.
func (f *Daemon) reportUnheldGroups() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	l := f.table.FindUnheld(n)
	f.metrics.unheldGroups.Set(float64(len(l)))
	for _, u := range l {
		if !u.Candidate || n.Sub(f.unheldLogged[u.Name]) < unheldLogInterval {
			continue
		}
		f.unheldLogged[u.Name] = n
		g := f.group(u.Name)
		r, known := g.Record()
		f.config.Log.Warn("group has no holder", "group", u.Name, "since-ms", n.Sub(u.Since).Milliseconds(), "primary", u.Primary.ID,
			"candidates", u.Candidates, "record-known", known, "restored", g.RecordRestored(), "position", g.RecordPosition().String(), "holder", r.Holder.ID, "takeover-allowed", f.mayTakeOver(r.Holder.ID),
			"registered", f.hostLease != 0, "draining", f.draining.Load(), "task-running", g.taskRunning, "copy-age-ms", f.copyAgeMillis())
	}
}
