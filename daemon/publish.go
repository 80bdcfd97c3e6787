package daemon

import (
	"context"
)

// methodChanged tells that a group has another primary.
const methodChanged = "group.changed"

// publish tells the owners of a group's members that the group has another
// primary, so that they look at once. They believe only the members.
func (d *Daemon) publish(group string) {
	g, ok := d.bundle().Group(group)
	if !ok {
		return
	}
	told := map[string]bool{d.c.Host.ID: true}
	for i := range g.Members {
		m := &g.Members[i]
		h, ok := d.ownerOf(m)
		if !ok || told[h.ID] {
			continue
		}
		told[h.ID] = true
		d.start(func() error {
			x, stop := context.WithTimeout(d.ctx, callTimeout)
			defer stop()
			if err := d.node.Call(x, h, methodChanged, memberParams{Group: group, Member: m.Name}, nil); err != nil {
				d.c.Log.Debug("change not told", "group", group, "host", h.ID, "error", err)
			}
			return nil
		})
	}
}

// changed looks at a group's members at once.
func (d *Daemon) changed(p memberParams) error {
	if _, _, err := d.member(p); err != nil {
		return err
	}
	if m := d.watch(p.Group); m != nil {
		m.PollNow()
	}
	return nil
}
