package fleet

import (
	"time"
)

// currentDuties returns the groups that this host may have to act for; f.mu is
// held.
func (f *Daemon) currentDuties() []*group {
	l := f.table.Duties(time.Now())
	o := make([]*group, len(l))
	for i, name := range l {
		o[i] = f.group(name)
	}
	return o
}
