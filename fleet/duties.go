package fleet

import (
	"time"
)

// currentDuties returns the groups that this host may have to act for; f.mu is
// held.
func (f *Daemon) currentDuties() []*group {
	l := f.table.Duties(time.Now())
	o := make([]*group, 0, len(l))
	for _, name := range l {
		if f.isConfigured(name) {
			o = append(o, f.group(name))
		}
	}
	return o
}

// isConfigured reports whether the configuration names a group, or isn't known yet. Other
// writers may name any group in a member's record.
func (f *Daemon) isConfigured(name string) bool {
	c := f.catalog.Load()
	if c == nil {
		return true
	}
	_, ok := c.Groups[name]
	return ok
}
