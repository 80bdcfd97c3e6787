package daemon

import (
	"context"
)

// methodGroupChanged is the control call that announces a group's new primary.
const methodGroupChanged = "group.changed"

// notifyGroupChanged notifies the owners of a group's members that the group
// has a new primary, so that they poll the members at once. They take the new
// primary only from the members, not from this notice.
func (d *Daemon) notifyGroupChanged(group string) {
	g, ok := d.bundle().Group(group)
	if !ok {
		return
	}
	notified := map[string]bool{d.config.Host.ID: true}
	for i := range g.Members {
		m := &g.Members[i]
		h, ok := d.ownerOf(m)
		if !ok || notified[h.ID] {
			continue
		}
		notified[h.ID] = true
		d.startTask(func() error {
			x, stop := context.WithTimeout(d.ctx, callTimeout)
			defer stop()
			if err := d.node.Call(x, h, methodGroupChanged, memberParams{Group: group, Member: m.Name}, nil); err != nil {
				d.config.Log.Debug("group change notice failed", "group", group, "host", h.ID, "error", err)
			}
			return nil
		})
	}
}

// handleGroupChanged polls a group's members at once.
func (d *Daemon) handleGroupChanged(p memberParams) error {
	if _, _, err := d.lookUpMember(p); err != nil {
		return err
	}
	if m := d.watchGroup(p.Group); m != nil {
		m.PollNow()
	}
	return nil
}
