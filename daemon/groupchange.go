package daemon

import (
	"context"
)

// methodGroupChanged tells that a group has another primary.
const methodGroupChanged = "group.changed"

// notifyGroupChanged tells the owners of a group's members that the group has another
// primary, so that they look at once. They believe only the members.
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
				d.config.Log.Debug("change not told", "group", group, "host", h.ID, "error", err)
			}
			return nil
		})
	}
}

// handleGroupChanged looks at a group's members at once.
func (d *Daemon) handleGroupChanged(p memberParams) error {
	if _, _, err := d.lookUpMember(p); err != nil {
		return err
	}
	if m := d.watchGroup(p.Group); m != nil {
		m.Hasten()
	}
	return nil
}
